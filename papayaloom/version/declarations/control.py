"""Settings of the control messages between routers."""

from papayaloom.version import setting

SETTINGS = (
    setting.Setting(
        path='control.keys',
        kind=setting.Kind.TEXTS,
        unit=setting.Unit.NONE,
        default=(),
        axis=setting.Axis.FLEET,
        doc=(
            'Keys of the control messages in hex; the first signs, all are '
            'accepted, and the key of the process settings file stays '
            'accepted.'
        ),
    ),
)
