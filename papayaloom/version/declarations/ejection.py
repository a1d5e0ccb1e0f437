"""Settings of upstream ejection."""

from papayaloom.version import setting

SETTINGS = (
    setting.integer(
        'ejection.consecutive',
        setting.Unit.COUNT,
        5,
        (1, 1000),
        setting.Axis.TARGET,
        'Number of consecutive failures that eject an upstream.',
    ),
    setting.integer(
        'ejection.window',
        setting.Unit.COUNT,
        20,
        (1, 10_000),
        setting.Axis.TARGET,
        'Number of most recent results over which the failure rate is '
        'computed.',
    ),
    setting.number(
        'ejection.share',
        setting.Unit.SHARE,
        0.5,
        (0, 1.0),
        setting.Axis.TARGET,
        'Failure rate that ejects an upstream.',
    ),
    setting.number(
        'ejection.above_others',
        setting.Unit.SHARE,
        0.25,
        (0, 1.0),
        setting.Axis.TARGET,
        'How much the failure rate must exceed that of the other upstreams.',
    ),
    setting.number(
        'ejection.base_s',
        setting.Unit.SECONDS,
        5.0,
        (0.1, 3600.0),
        setting.Axis.TARGET,
        'Duration of the first ejection; each further one lasts twice as long.',
    ),
    setting.number(
        'ejection.longest_s',
        setting.Unit.SECONDS,
        120.0,
        (0.1, 86400.0),
        setting.Axis.TARGET,
        'Maximum duration of an ejection.',
    ),
    setting.number(
        'ejection.max_share',
        setting.Unit.SHARE,
        0.34,
        (0, 1.0),
        setting.Axis.TARGET,
        'Maximum share of the upstreams of a model or service that is ejected.',
    ),
)
