"""Settings of orders to engines."""

from papayaloom.version import setting


def _seconds(
    path: str, default: float, low: float, high: float, doc: str
) -> setting.Setting:
    return setting.Setting(
        path=path,
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SECONDS,
        default=default,
        low=low,
        high=high,
        axis=setting.Axis.FLEET,
        doc=doc,
    )


SETTINGS = (
    _seconds('orders.lease_s', 10, 3, 120, 'Term of the lease of the holder.'),
    _seconds(
        'orders.send_margin_s',
        3,
        1,
        60,
        'What must be left of the lease when an order is sent; must be '
        'smaller than two thirds of orders.lease_s.',
    ),
    _seconds(
        'orders.takeover_wait_s',
        15,
        5,
        300,
        'Wait of a new holder before its first order; at least orders.lease_s '
        'and orders.longest_send_s together are waited.',
    ),
    _seconds(
        'orders.longest_send_s',
        2,
        0.5,
        30,
        'Time limit of sending one order to an engine.',
    ),
    _seconds(
        'orders.observe_s',
        5,
        0.5,
        60,
        "Time between two reads of an engine's state by the holder.",
    ),
    setting.Setting(
        path='orders.rate_share',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SHARE,
        default=0.5,
        low=0.01,
        high=1,
        axis=setting.Axis.FLEET,
        doc="Share of the weight store's rate that orders may use.",
    ),
    setting.Setting(
        path='orders.capacity_floor',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SHARE,
        default=0.5,
        low=0,
        high=1,
        axis=setting.Axis.MODEL,
        doc=(
            "Share of a model's replicas that go on serving while others "
            'carry out orders.'
        ),
    ),
)
