"""Settings of the address answers."""

from papayaloom.version import setting

SETTINGS = (
    setting.Setting(
        path='addresses.ttl_s',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SECONDS,
        default=30,
        low=1,
        high=600,
        axis=setting.Axis.FLEET,
        doc='How long callers may keep an address answer.',
    ),
    setting.Setting(
        path='addresses.count',
        kind=setting.Kind.INTEGER,
        unit=setting.Unit.COUNT,
        default=4,
        low=1,
        high=16,
        axis=setting.Axis.FLEET,
        doc='Most addresses in an answer.',
    ),
)
