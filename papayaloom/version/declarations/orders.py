"""Settings of orders to engines."""

from papayaloom.version import setting

SETTINGS = (
    setting.number(
        'orders.lease_s',
        setting.Unit.SECONDS,
        10,
        (3, 120),
        setting.Axis.FLEET,
        'Term of the lease of the holder.',
    ),
    setting.number(
        'orders.send_margin_s',
        setting.Unit.SECONDS,
        3,
        (1, 60),
        setting.Axis.FLEET,
        'What must be left of the lease when an order is sent; must be '
        'smaller than two thirds of orders.lease_s.',
    ),
    setting.number(
        'orders.takeover_wait_s',
        setting.Unit.SECONDS,
        15,
        (5, 300),
        setting.Axis.FLEET,
        'Wait of a new holder before its first order; at least orders.lease_s '
        'and orders.longest_send_s together are waited.',
    ),
    setting.number(
        'orders.longest_send_s',
        setting.Unit.SECONDS,
        2,
        (0.5, 30),
        setting.Axis.FLEET,
        'Time limit of sending one order to an engine.',
    ),
    setting.number(
        'orders.observe_s',
        setting.Unit.SECONDS,
        5,
        (0.5, 60),
        setting.Axis.FLEET,
        "Time between two reads of an engine's state by the holder.",
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
        "Share of a model's replicas that go on serving while others "
        'carry out orders.',
    ),
)
