"""Settings of placement and admission to engines."""

from papayaloom.version import setting

SETTINGS = (
    setting.Setting(
        path='placement.load_multiple',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.FACTOR,
        default=1.15,
        low=1.0,
        high=10.0,
        axis=setting.Axis.MODEL,
        doc='Highest load of an engine as a multiple of the mean load.',
    ),
    setting.Setting(
        path='placement.reuse_weight',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SHARE,
        default=0.6,
        low=0,
        high=1.0,
        axis=setting.Axis.MODEL,
        doc='How much load skew is accepted to keep a chat with its cache.',
    ),
)
