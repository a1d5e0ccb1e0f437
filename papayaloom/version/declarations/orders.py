"""Settings of the orders sent to engines."""

from papayaloom.version import setting

SETTINGS = (
    setting.number(
        'orders.lease_s',
        setting.Unit.SECONDS,
        10,
        (3, 120),
        setting.Axis.FLEET,
        'Duration of the lease that allows its holder to send orders.',
    ),
    setting.number(
        'orders.send_margin_s',
        setting.Unit.SECONDS,
        3,
        (1, 60),
        setting.Axis.FLEET,
        'Minimum time left on the lease when an order is sent; must be '
        'smaller than two thirds of orders.lease_s.',
    ),
    setting.number(
        'orders.takeover_wait_s',
        setting.Unit.SECONDS,
        15,
        (5, 300),
        setting.Axis.FLEET,
        'How long a new lease holder waits before its first order; it waits '
        'at least the sum of orders.lease_s and orders.longest_send_s.',
    ),
    setting.number(
        'orders.longest_send_s',
        setting.Unit.SECONDS,
        2,
        (0.5, 30),
        setting.Axis.FLEET,
        'Timeout for sending one order to an engine.',
    ),
    setting.number(
        'orders.observe_s',
        setting.Unit.SECONDS,
        5,
        (0.5, 60),
        setting.Axis.FLEET,
        "Interval between the lease holder's reads of an engine's state.",
    ),
    setting.number(
        'orders.rate_share',
        setting.Unit.SHARE,
        0.5,
        (0.01, 1),
        setting.Axis.FLEET,
        "Share of the weight store's rate that orders may use.",
    ),
    setting.number(
        'orders.capacity_floor',
        setting.Unit.SHARE,
        0.5,
        (0, 1),
        setting.Axis.MODEL,
        "Minimum share of a model's replicas that keep serving while others "
        'carry out orders.',
    ),
)
