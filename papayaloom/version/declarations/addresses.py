"""Settings of address responses."""

from papayaloom.version import setting

SETTINGS = (
    setting.number(
        'addresses.ttl_s',
        setting.Unit.SECONDS,
        30,
        (1, 600),
        setting.Axis.FLEET,
        'How long callers may cache an address response.',
    ),
    setting.integer(
        'addresses.count',
        setting.Unit.COUNT,
        4,
        (1, 16),
        setting.Axis.FLEET,
        'Maximum number of addresses in a response.',
    ),
)
