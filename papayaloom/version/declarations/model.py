"""Settings of models and their engines."""

from papayaloom.version import setting

SETTINGS = (
    setting.integer(
        'model.replicas',
        setting.Unit.COUNT,
        0,
        (0, 100_000),
        setting.Axis.MODEL,
        'Number of engines that serve the model; with 0, no engine gets '
        'orders.',
    ),
    setting.Setting(
        path='model.version',
        kind=setting.Kind.TEXT,
        unit=setting.Unit.NONE,
        default='',
        axis=setting.Axis.MODEL,
        doc=(
            'Version that the engines load; if empty, they keep the version '
            'they have.'
        ),
    ),
    setting.Setting(
        path='model.adapters',
        kind=setting.Kind.TEXTS,
        unit=setting.Unit.NONE,
        default=(),
        axis=setting.Axis.MODEL,
        doc='Adapters that the engines have loaded.',
    ),
    setting.Setting(
        path='engine.role',
        kind=setting.Kind.TEXT,
        unit=setting.Unit.NONE,
        default='serve',
        choices=('serve', 'prefill', 'decode'),
        axis=setting.Axis.MODEL,
        doc='Role of the engines of the model.',
    ),
    setting.Setting(
        path='engine.checks_fencing',
        kind=setting.Kind.BOOLEAN,
        unit=setting.Unit.NONE,
        default=True,
        axis=setting.Axis.MODEL,
        doc='Whether the engines refuse orders with a stale fencing token.',
    ),
)
