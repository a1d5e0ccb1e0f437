"""Settings of a planned stop."""

from papayaloom.version import setting

SETTINGS = (
    setting.Setting(
        path='stop.spread_s',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SECONDS,
        default=10,
        low=1,
        high=120,
        axis=setting.Axis.FLEET,
        doc='How long the leave mark takes to reach every locator.',
    ),
    setting.Setting(
        path='stop.longest_s',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SECONDS,
        default=600,
        low=10,
        high=7200,
        axis=setting.Axis.FLEET,
        doc='Longest stop; requests that still run then are cut off.',
    ),
    setting.Setting(
        path='stop.hand_over_s',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SECONDS,
        default=5,
        low=1,
        high=60,
        axis=setting.Axis.FLEET,
        doc='Longest time for the hand-over to the next router in rank.',
    ),
)
