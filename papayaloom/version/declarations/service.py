"""Settings of services."""

from papayaloom.version import setting

SETTINGS = (
    setting.Setting(
        path='service.checks_keys',
        kind=setting.Kind.BOOLEAN,
        unit=setting.Unit.NONE,
        default=False,
        axis=setting.Axis.SERVICE,
        doc=(
            'Whether the service itself executes a call with the same '
            'idempotency key at most once; its calls continue while the '
            'key-value service is down.'
        ),
    ),
)
