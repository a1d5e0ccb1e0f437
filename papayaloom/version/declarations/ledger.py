"""Settings of the at-most-once ledger."""

from papayaloom.version import setting

SETTINGS = (
    setting.number(
        'ledger.retention_s',
        setting.Unit.SECONDS,
        86_400,
        (600, 86_400),
        setting.Axis.FLEET,
        'Maximum age of an accepted idempotency key; an older one is '
        'refused with "may have run".',
    ),
    setting.number(
        'ledger.claim_timeout_s',
        setting.Unit.SECONDS,
        2,
        (0.5, 30),
        setting.Axis.FLEET,
        'How long a call may wait for its claim before it is refused.',
    ),
    setting.number(
        'ledger.forward_timeout_s',
        setting.Unit.SECONDS,
        0.5,
        (0.1, 10),
        setting.Axis.FLEET,
        'How long a router waits for the responsible router before it '
        'claims a call by itself.',
    ),
    setting.number(
        'ledger.writes_per_s',
        setting.Unit.REQUESTS_PER_SECOND,
        4,
        (1, 20),
        setting.Axis.FLEET,
        'Maximum number of writes per second and shard; there are 16 shards.',
    ),
    setting.number(
        'ledger.outcome_delay_s',
        setting.Unit.SECONDS,
        0.25,
        (0, 10),
        setting.Axis.FLEET,
        'How long the outcome of a call is delayed to share a write with '
        'others.',
    ),
)
