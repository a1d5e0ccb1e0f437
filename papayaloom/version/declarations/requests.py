"""Settings of retries, streams, service calls and deadlines."""

from papayaloom.version import setting

_TARGET = setting.Axis.TARGET
_MODEL = setting.Axis.MODEL
_SERVICE = setting.Axis.SERVICE
_ORGANISATION = setting.Axis.ORGANISATION


def _seconds(
    path: str,
    default: float,
    high: float,
    axis: setting.Axis,
    doc: str,
) -> setting.Setting:
    return setting.Setting(
        path=path,
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SECONDS,
        default=default,
        axis=axis,
        doc=doc,
        low=0.001,
        high=high,
    )


def _count(
    path: str,
    default: int,
    high: int,
    axis: setting.Axis,
    doc: str,
) -> setting.Setting:
    return setting.Setting(
        path=path,
        kind=setting.Kind.INTEGER,
        unit=setting.Unit.COUNT,
        default=default,
        axis=axis,
        doc=doc,
        low=0 if path == 'stream.resumes' else 1,
        high=high,
    )


SETTINGS = (
    _count(
        'retry.tries',
        3,
        10,
        _TARGET,
        'Tries of one request in a row without progress, the first included.',
    ),
    _seconds(
        'retry.base_s',
        0.05,
        10,
        _TARGET,
        'Longest pause before the first retry; it doubles with each try.',
    ),
    _seconds(
        'retry.longest_s', 2, 60, _TARGET, 'Longest pause before any retry.'
    ),
    _seconds(
        'stream.connect_s',
        1,
        30,
        _MODEL,
        'Time for a connection to an engine.',
    ),
    _seconds(
        'stream.first_token_s',
        30,
        600,
        _MODEL,
        'Time from sending a request to an engine until the first token.',
    ),
    _seconds(
        'stream.idle_s',
        10,
        600,
        _MODEL,
        'Longest silence of an engine between two tokens.',
    ),
    _count(
        'stream.resumes',
        5,
        100,
        _MODEL,
        'How often an answer that has begun is resumed at another engine.',
    ),
    _seconds(
        'call.connect_s',
        1,
        30,
        _SERVICE,
        'Time for a connection to a service replica.',
    ),
    _seconds(
        'call.reply_s',
        30,
        600,
        _SERVICE,
        'Longest silence of a service replica while a call waits for it.',
    ),
    setting.Setting(
        path='call.reply_bytes',
        kind=setting.Kind.INTEGER,
        unit=setting.Unit.BYTES,
        default=4_194_304,
        low=1024,
        high=67_108_864,
        axis=_SERVICE,
        doc='Longest accepted answer of a service.',
    ),
    _seconds(
        'request.deadline_s',
        60,
        3600,
        _ORGANISATION,
        'Deadline of requests whose caller states none.',
    ),
    _seconds(
        'request.longest_deadline_s',
        600,
        3600,
        _ORGANISATION,
        'Longest deadline that a caller may state.',
    ),
)
