"""Settings of the ejection of upstreams."""

from papayaloom.version import setting

SETTINGS = (
    setting.integer(
        'ejection.consecutive',
        setting.Unit.COUNT,
        5,
        (1, 1000),
        setting.Axis.TARGET,
        'Failures in a row that eject an upstream.',
    ),
    setting.integer(
        'ejection.window',
        setting.Unit.COUNT,
        20,
        (1, 10_000),
        setting.Axis.TARGET,
        'Newest results by which the share of failures is judged.',
    ),
    setting.number(
        'ejection.share',
        setting.Unit.SHARE,
        0.5,
        (0, 1.0),
        setting.Axis.TARGET,
        'Share of failures that ejects an upstream.',
    ),
    setting.number(
        'ejection.above_others',
        setting.Unit.SHARE,
        0.25,
        (0, 1.0),
        setting.Axis.TARGET,
        'By how much the share of failures must exceed that of the others.',
    ),
    setting.number(
        'ejection.base_s',
        setting.Unit.SECONDS,
        5.0,
        (0.1, 3600.0),
        setting.Axis.TARGET,
        'Time of the first ejection; each further one lasts twice as long.',
    ),
    setting.number(
        'ejection.longest_s',
        setting.Unit.SECONDS,
        120.0,
        (0.1, 86400.0),
        setting.Axis.TARGET,
        'Longest ejection.',
    ),
    setting.number(
        'ejection.max_share',
        setting.Unit.SHARE,
        0.34,
        (0, 1.0),
        setting.Axis.TARGET,
        'Largest share of the upstreams of a model or service that is ejected.',
    ),
)
