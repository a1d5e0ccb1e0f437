"""Settings of control messages and of the distribution of settings."""

from papayaloom.version import setting

SETTINGS = (
    setting.Setting(
        path='control.keys',
        kind=setting.Kind.TEXTS,
        unit=setting.Unit.NONE,
        default=(),
        axis=setting.Axis.FLEET,
        doc=(
            'Keys that authenticate control messages; the first signs, all '
            'are accepted, and the key of the process settings file remains '
            'accepted.'
        ),
    ),
    setting.number(
        'control.bytes_per_second',
        setting.Unit.BYTES_PER_SECOND,
        6000,
        (2000, 1000000),
        setting.Axis.FLEET,
        'Maximum average rate of the control messages that a router sends.',
    ),
    setting.integer(
        'control.burst_bytes',
        setting.Unit.BYTES,
        12000,
        (4096, 1000000),
        setting.Axis.FLEET,
        'Maximum size of a burst of control messages that a router sends.',
    ),
    setting.integer(
        'control.queue_bytes',
        setting.Unit.BYTES,
        262144,
        (16384, 16000000),
        setting.Axis.FLEET,
        'Maximum size of the control messages queued in a router.',
    ),
    setting.number(
        'control.max_wait_s',
        setting.Unit.SECONDS,
        3,
        (0.5, 60),
        setting.Axis.FLEET,
        'How long a control message may wait before it is dropped as out of '
        'date.',
    ),
    setting.integer(
        'distribution.watchers',
        setting.Unit.COUNT,
        3,
        (1, 32),
        setting.Axis.FLEET,
        'Number of routers that hold a watch on the settings log.',
    ),
    setting.integer(
        'distribution.fanout',
        setting.Unit.COUNT,
        3,
        (1, 32),
        setting.Axis.FLEET,
        'Number of members to which a router pushes a new settings change.',
    ),
    setting.number(
        'distribution.start_wait_s',
        setting.Unit.SECONDS,
        2,
        (0.5, 30),
        setting.Axis.FLEET,
        'How long a starting router waits for its peers when the store is down.',
    ),
    setting.number(
        'distribution.check_s',
        setting.Unit.SECONDS,
        1,
        (0.1, 60),
        setting.Axis.FLEET,
        'Interval between reads of the settings log by the routers that do '
        'not watch it, taken together.',
    ),
    setting.integer(
        'distribution.chunk_bytes',
        setting.Unit.BYTES,
        2048,
        (512, 4000),
        setting.Axis.FLEET,
        'Size of a chunk of the full settings that one router sends to '
        'another; read when a router starts.',
    ),
    setting.integer(
        'distribution.delta_bytes',
        setting.Unit.BYTES,
        4096,
        (512, 16384),
        setting.Axis.FLEET,
        'Maximum size of the settings changes in one control message.',
    ),
    setting.integer(
        'distribution.kept_bytes',
        setting.Unit.BYTES,
        262144,
        (16384, 16000000),
        setting.Axis.FLEET,
        'Maximum size of the recent settings changes that a router keeps '
        'for others; read when a router starts.',
    ),
)
