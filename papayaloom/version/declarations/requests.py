"""Settings of retries, streams, service calls and deadlines."""

from papayaloom.version import setting

_TARGET = setting.Axis.TARGET
_MODEL = setting.Axis.MODEL
_SERVICE = setting.Axis.SERVICE
_ORGANISATION = setting.Axis.ORGANISATION

SETTINGS = (
    setting.integer(
        'retry.tries',
        setting.Unit.COUNT,
        3,
        (1, 10),
        _TARGET,
        'Tries of one request in a row without progress, the first included.',
    ),
    setting.number(
        'retry.base_s',
        setting.Unit.SECONDS,
        0.05,
        (0.001, 10),
        _TARGET,
        'Longest pause before the first retry; it doubles with each try.',
    ),
    setting.number(
        'retry.longest_s',
        setting.Unit.SECONDS,
        2,
        (0.001, 60),
        _TARGET,
        'Longest pause before any retry.',
    ),
    setting.number(
        'stream.connect_s',
        setting.Unit.SECONDS,
        1,
        (0.001, 30),
        _MODEL,
        'Time for a connection to an engine.',
    ),
    setting.number(
        'stream.first_token_s',
        setting.Unit.SECONDS,
        30,
        (0.001, 600),
        _MODEL,
        'Time from sending a request to an engine until the first token.',
    ),
    setting.number(
        'stream.idle_s',
        setting.Unit.SECONDS,
        10,
        (0.001, 600),
        _MODEL,
        'Longest silence of an engine between two tokens.',
    ),
    setting.integer(
        'stream.resumes',
        setting.Unit.COUNT,
        5,
        (0, 100),
        _MODEL,
        'How often an answer that has begun is resumed at another engine.',
    ),
    setting.number(
        'call.connect_s',
        setting.Unit.SECONDS,
        1,
        (0.001, 30),
        _SERVICE,
        'Time for a connection to a service replica.',
    ),
    setting.number(
        'call.reply_s',
        setting.Unit.SECONDS,
        30,
        (0.001, 600),
        _SERVICE,
        'Longest silence of a service replica while a call waits for it.',
    ),
    setting.integer(
        'call.reply_bytes',
        setting.Unit.BYTES,
        4_194_304,
        (1024, 67_108_864),
        _SERVICE,
        'Longest accepted answer of a service.',
    ),
    setting.number(
        'request.deadline_s',
        setting.Unit.SECONDS,
        60,
        (0.001, 3600),
        _ORGANISATION,
        'Deadline of requests whose caller states none.',
    ),
    setting.number(
        'request.longest_deadline_s',
        setting.Unit.SECONDS,
        600,
        (0.001, 3600),
        _ORGANISATION,
        'Longest deadline that a caller may state.',
    ),
)
