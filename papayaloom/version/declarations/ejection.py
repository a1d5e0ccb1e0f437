"""Settings of the ejection of upstreams."""

from papayaloom.version import setting

SETTINGS = (
    setting.Setting(
        path='ejection.consecutive',
        kind=setting.Kind.INTEGER,
        unit=setting.Unit.COUNT,
        default=5,
        low=1,
        high=1000,
        axis=setting.Axis.TARGET,
        doc='Failures in a row that eject an upstream.',
    ),
    setting.Setting(
        path='ejection.window',
        kind=setting.Kind.INTEGER,
        unit=setting.Unit.COUNT,
        default=20,
        low=1,
        high=10_000,
        axis=setting.Axis.TARGET,
        doc='Newest results by which the share of failures is judged.',
    ),
    setting.Setting(
        path='ejection.share',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SHARE,
        default=0.5,
        low=0,
        high=1.0,
        axis=setting.Axis.TARGET,
        doc='Share of failures that ejects an upstream.',
    ),
    setting.Setting(
        path='ejection.above_others',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SHARE,
        default=0.25,
        low=0,
        high=1.0,
        axis=setting.Axis.TARGET,
        doc='By how much the share of failures must exceed that of the others.',
    ),
    setting.Setting(
        path='ejection.base_s',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SECONDS,
        default=5.0,
        low=0.1,
        high=3600.0,
        axis=setting.Axis.TARGET,
        doc='Time of the first ejection; each further one lasts twice as long.',
    ),
    setting.Setting(
        path='ejection.longest_s',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SECONDS,
        default=120.0,
        low=0.1,
        high=86400.0,
        axis=setting.Axis.TARGET,
        doc='Longest ejection.',
    ),
    setting.Setting(
        path='ejection.max_share',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SHARE,
        default=0.34,
        low=0,
        high=1.0,
        axis=setting.Axis.TARGET,
        doc=(
            'Largest share of the upstreams of a model or service that is'
            ' ejected.'
        ),
    ),
)
