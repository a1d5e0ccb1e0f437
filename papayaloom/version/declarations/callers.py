"""Limits on what callers send and on their connections."""

from papayaloom.version import setting


def _limit(
    name: str,
    unit: setting.Unit,
    default: int,
    high: int,
    doc: str,
) -> setting.Setting:
    is_time = unit is setting.Unit.SECONDS
    return setting.Setting(
        path=f'callers.{name}',
        kind=setting.Kind.NUMBER if is_time else setting.Kind.INTEGER,
        unit=unit,
        default=float(default) if is_time else default,
        low=1,
        high=high,
        axis=setting.Axis.FLEET,
        doc=doc,
    )


SETTINGS = (
    _limit(
        'header_bytes',
        setting.Unit.BYTES,
        32_768,
        1_048_576,
        'Longest request line and headers together.',
    ),
    _limit(
        'body_bytes',
        setting.Unit.BYTES,
        8_388_608,
        1_073_741_824,
        'Longest body of a request.',
    ),
    _limit(
        'header_s',
        setting.Unit.SECONDS,
        10,
        600,
        'Time from the first byte of a request to its last header.',
    ),
    _limit(
        'body_s',
        setting.Unit.SECONDS,
        30,
        3600,
        'Time for the whole body of a request.',
    ),
    _limit(
        'send_s',
        setting.Unit.SECONDS,
        10,
        600,
        'Time for one write to a caller that reads slowly.',
    ),
    _limit(
        'idle_s',
        setting.Unit.SECONDS,
        60,
        3600,
        'Time that a connection without a request stays open.',
    ),
    _limit(
        'connections',
        setting.Unit.COUNT,
        1024,
        65_536,
        'Open connections of callers at one router.',
    ),
    _limit(
        'threads',
        setting.Unit.COUNT,
        256,
        4096,
        'Requests that one router serves at the same time; read at its start.',
    ),
    _limit(
        'backlog',
        setting.Unit.COUNT,
        128,
        4096,
        'Connections that wait to be accepted; read at the start of a router.',
    ),
)
