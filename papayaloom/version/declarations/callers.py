"""Limits on what callers send and on their connections."""

from papayaloom.version import setting

SETTINGS = (
    setting.integer(
        'callers.header_bytes',
        setting.Unit.BYTES,
        32_768,
        (1, 1_048_576),
        setting.Axis.FLEET,
        'Longest request line and headers together.',
    ),
    setting.integer(
        'callers.body_bytes',
        setting.Unit.BYTES,
        8_388_608,
        (1, 1_073_741_824),
        setting.Axis.FLEET,
        'Longest body of a request.',
    ),
    setting.number(
        'callers.header_s',
        setting.Unit.SECONDS,
        10.0,
        (1, 600),
        setting.Axis.FLEET,
        'Time from the first byte of a request to its last header.',
    ),
    setting.number(
        'callers.body_s',
        setting.Unit.SECONDS,
        30.0,
        (1, 3600),
        setting.Axis.FLEET,
        'Time for the whole body of a request.',
    ),
    setting.number(
        'callers.send_s',
        setting.Unit.SECONDS,
        10.0,
        (1, 600),
        setting.Axis.FLEET,
        'Time for one write to a caller that reads slowly.',
    ),
    setting.number(
        'callers.idle_s',
        setting.Unit.SECONDS,
        60.0,
        (1, 3600),
        setting.Axis.FLEET,
        'Time that a connection without a request stays open.',
    ),
    setting.integer(
        'callers.connections',
        setting.Unit.COUNT,
        1024,
        (1, 65_536),
        setting.Axis.FLEET,
        'Connections of callers without a request at one router.',
    ),
    setting.integer(
        'callers.threads',
        setting.Unit.COUNT,
        256,
        (1, 4096),
        setting.Axis.FLEET,
        'Requests that one router serves at the same time; a lower number counts '
        'from its next start on.',
    ),
    setting.integer(
        'callers.backlog',
        setting.Unit.COUNT,
        128,
        (1, 4096),
        setting.Axis.FLEET,
        'Connections that wait to be accepted; read at the start of a router.',
    ),
)
