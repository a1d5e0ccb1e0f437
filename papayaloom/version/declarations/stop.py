"""Settings of a planned stop."""

from papayaloom.version import setting

SETTINGS = (
    setting.number(
        'stop.spread_s',
        setting.Unit.SECONDS,
        10,
        (1, 120),
        setting.Axis.FLEET,
        'How long the leave mark takes to reach every locator.',
    ),
    setting.number(
        'stop.longest_s',
        setting.Unit.SECONDS,
        600,
        (10, 7200),
        setting.Axis.FLEET,
        'Maximum duration of a stop; requests that are still running then '
        'are cut off.',
    ),
    setting.number(
        'stop.hand_over_s',
        setting.Unit.SECONDS,
        5,
        (1, 60),
        setting.Axis.FLEET,
        'Maximum time for the handover to the next router in rank.',
    ),
)
