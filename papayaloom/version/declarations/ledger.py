"""Settings of the at-most-once ledger."""

from papayaloom.version import setting

SETTINGS = (
    setting.Setting(
        path='ledger.retention_s',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SECONDS,
        default=86_400,
        low=600,
        high=86_400,
        axis=setting.Axis.FLEET,
        doc=(
            'Age up to which an idempotency key is accepted; an older one is '
            'refused with "may have run".'
        ),
    ),
    setting.Setting(
        path='ledger.claim_timeout_s',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SECONDS,
        default=2,
        low=0.5,
        high=30,
        axis=setting.Axis.FLEET,
        doc='Longest wait for the claim of a call before it is refused.',
    ),
    setting.Setting(
        path='ledger.forward_timeout_s',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SECONDS,
        default=0.5,
        low=0.1,
        high=10,
        axis=setting.Axis.FLEET,
        doc=(
            'Wait for the responsible router, after which a router claims a '
            'call by itself.'
        ),
    ),
    setting.Setting(
        path='ledger.writes_per_s',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.REQUESTS_PER_SECOND,
        default=4,
        low=1,
        high=20,
        axis=setting.Axis.FLEET,
        doc='Writes a second and shard; there are 16 shards.',
    ),
    setting.Setting(
        path='ledger.outcome_delay_s',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SECONDS,
        default=0.25,
        low=0,
        high=10,
        axis=setting.Axis.FLEET,
        doc='How long the outcome of a call waits to share a write.',
    ),
)
