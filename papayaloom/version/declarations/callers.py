"""Limits on caller requests and connections."""

from papayaloom.version import setting

SETTINGS = (
    setting.integer(
        'callers.header_bytes',
        setting.Unit.BYTES,
        32_768,
        (1, 1_048_576),
        setting.Axis.FLEET,
        'Maximum size of the request line and headers together.',
    ),
    setting.integer(
        'callers.body_bytes',
        setting.Unit.BYTES,
        8_388_608,
        (1, 1_073_741_824),
        setting.Axis.FLEET,
        'Maximum size of a request body.',
    ),
    setting.number(
        'callers.header_s',
        setting.Unit.SECONDS,
        10.0,
        (1, 600),
        setting.Axis.FLEET,
        'Maximum time from the first byte of a request to its last header.',
    ),
    setting.number(
        'callers.body_s',
        setting.Unit.SECONDS,
        30.0,
        (1, 3600),
        setting.Axis.FLEET,
        'Maximum time to receive the whole body of a request.',
    ),
    setting.number(
        'callers.send_s',
        setting.Unit.SECONDS,
        10.0,
        (1, 600),
        setting.Axis.FLEET,
        'Timeout of one write to a caller that reads slowly.',
    ),
    setting.number(
        'callers.idle_s',
        setting.Unit.SECONDS,
        60.0,
        (1, 3600),
        setting.Axis.FLEET,
        'How long a connection without a request stays open.',
    ),
    setting.integer(
        'callers.connections',
        setting.Unit.COUNT,
        1024,
        (1, 65_536),
        setting.Axis.FLEET,
        'Maximum number of idle caller connections at one router.',
    ),
    setting.integer(
        'callers.threads',
        setting.Unit.COUNT,
        256,
        (1, 4096),
        setting.Axis.FLEET,
        'Maximum number of requests that one router serves concurrently; a '
        'lower number takes effect at its next start.',
    ),
    setting.integer(
        'callers.backlog',
        setting.Unit.COUNT,
        128,
        (1, 4096),
        setting.Axis.FLEET,
        'Maximum number of connections that wait to be accepted; read when '
        'a router starts.',
    ),
)
