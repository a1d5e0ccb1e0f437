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
        'Maximum number of consecutive attempts of one request without '
        'progress, including the first.',
    ),
    setting.number(
        'retry.base_s',
        setting.Unit.SECONDS,
        0.05,
        (0.001, 10),
        _TARGET,
        'Maximum delay before the first retry; it doubles with each attempt.',
    ),
    setting.number(
        'retry.longest_s',
        setting.Unit.SECONDS,
        2,
        (0.001, 60),
        _TARGET,
        'Maximum delay before any retry.',
    ),
    setting.number(
        'stream.connect_s',
        setting.Unit.SECONDS,
        1,
        (0.001, 30),
        _MODEL,
        'Timeout for connecting to an engine.',
    ),
    setting.number(
        'stream.first_token_s',
        setting.Unit.SECONDS,
        30,
        (0.001, 600),
        _MODEL,
        'Maximum time from sending a request to an engine until the first '
        'token.',
    ),
    setting.number(
        'stream.idle_s',
        setting.Unit.SECONDS,
        10,
        (0.001, 600),
        _MODEL,
        'Maximum time between two tokens of an engine.',
    ),
    setting.integer(
        'stream.resumes',
        setting.Unit.COUNT,
        5,
        (0, 100),
        _MODEL,
        'Maximum number of times that a started response is resumed at '
        'another engine.',
    ),
    setting.number(
        'call.connect_s',
        setting.Unit.SECONDS,
        1,
        (0.001, 30),
        _SERVICE,
        'Timeout for connecting to a service replica.',
    ),
    setting.number(
        'call.reply_s',
        setting.Unit.SECONDS,
        30,
        (0.001, 600),
        _SERVICE,
        'Maximum time without data from a service replica while a call '
        'waits for it.',
    ),
    setting.integer(
        'call.reply_bytes',
        setting.Unit.BYTES,
        4_194_304,
        (1024, 67_108_864),
        _SERVICE,
        'Maximum size of an accepted service response.',
    ),
    setting.number(
        'request.deadline_s',
        setting.Unit.SECONDS,
        60,
        (0.001, 3600),
        _ORGANISATION,
        'Deadline of requests whose caller sets none.',
    ),
    setting.number(
        'request.longest_deadline_s',
        setting.Unit.SECONDS,
        600,
        (0.001, 3600),
        _ORGANISATION,
        'Maximum deadline that a caller may set.',
    ),
)
