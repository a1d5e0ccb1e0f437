"""Settings of organisation rate limits."""

from papayaloom.version import setting

SETTINGS = (
    setting.number(
        'limits.rate_per_s',
        setting.Unit.REQUESTS_PER_SECOND,
        100.0,
        (0, 1_000_000),
        setting.Axis.ORGANISATION,
        'Maximum number of requests per second of an organisation, over all '
        'routers.',
    ),
    setting.number(
        'limits.weight',
        setting.Unit.FACTOR,
        1.0,
        (0.01, 100.0),
        setting.Axis.ORGANISATION,
        'Weight of an organisation among those that wait for an engine.',
    ),
    setting.number(
        'limits.burst',
        setting.Unit.FACTOR,
        0.5,
        (0, 60.0),
        setting.Axis.FLEET,
        'Maximum burst of requests, in seconds of the rate.',
    ),
    setting.number(
        'limits.term_s',
        setting.Unit.SECONDS,
        5.0,
        (0.5, 300.0),
        setting.Axis.FLEET,
        "Duration of a router's lease of a share of a rate.",
    ),
)
