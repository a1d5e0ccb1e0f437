"""Settings of the address answers."""

from papayaloom.version import setting

SETTINGS = (
    setting.number(
        'addresses.ttl_s',
        setting.Unit.SECONDS,
        30,
        (1, 600),
        setting.Axis.FLEET,
        'How long callers may keep an address answer.',
    ),
    setting.integer(
        'addresses.count',
        setting.Unit.COUNT,
        4,
        (1, 16),
        setting.Axis.FLEET,
        'Most addresses in an answer.',
    ),
)
