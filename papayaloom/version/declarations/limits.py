"""Settings of the rate limits of organisations."""

from papayaloom.version import setting

SETTINGS = (
    setting.Setting(
        path='limits.rate_per_s',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.REQUESTS_PER_SECOND,
        default=100.0,
        low=0,
        high=1_000_000,
        axis=setting.Axis.ORGANISATION,
        doc='Requests a second of an organisation, over all routers.',
    ),
    setting.Setting(
        path='limits.weight',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.FACTOR,
        default=1.0,
        low=0.01,
        high=100.0,
        axis=setting.Axis.ORGANISATION,
        doc='Weight of an organisation among those that wait for an engine.',
    ),
    setting.Setting(
        path='limits.burst',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.FACTOR,
        default=0.5,
        low=0,
        high=60.0,
        axis=setting.Axis.FLEET,
        doc='Requests that may be saved, in seconds of the rate.',
    ),
    setting.Setting(
        path='limits.term_s',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SECONDS,
        default=5.0,
        low=0.5,
        high=300.0,
        axis=setting.Axis.FLEET,
        doc='Term for which a router leases a share of a rate.',
    ),
)
