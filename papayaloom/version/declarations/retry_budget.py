"""Settings of the retry budgets."""

from papayaloom.version import setting

SETTINGS = (
    setting.Setting(
        path='retry.budget_ratio',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SHARE,
        default=0.1,
        low=0,
        high=1.0,
        axis=setting.Axis.TARGET,
        doc='Retries allowed per success.',
    ),
    setting.Setting(
        path='retry.saved_retries',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.COUNT,
        default=10.0,
        low=0,
        high=1000.0,
        axis=setting.Axis.TARGET,
        doc='Most retries saved for one upstream.',
    ),
    setting.Setting(
        path='retry.idle_retries_per_s',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.REQUESTS_PER_SECOND,
        default=0.05,
        low=0,
        high=100.0,
        axis=setting.Axis.TARGET,
        doc='Retries gained per second without any success.',
    ),
)
