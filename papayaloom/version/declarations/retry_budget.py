"""Settings of the retry budgets."""

from papayaloom.version import setting

SETTINGS = (
    setting.number(
        'retry.budget_ratio',
        setting.Unit.SHARE,
        0.1,
        (0, 1.0),
        setting.Axis.TARGET,
        'Number of retries allowed per success.',
    ),
    setting.number(
        'retry.saved_retries',
        setting.Unit.COUNT,
        10.0,
        (0, 1000.0),
        setting.Axis.TARGET,
        'Maximum number of retries saved for one upstream.',
    ),
    setting.number(
        'retry.idle_retries_per_s',
        setting.Unit.REQUESTS_PER_SECOND,
        0.05,
        (0, 100.0),
        setting.Axis.TARGET,
        'Number of retries gained per second without any success.',
    ),
)
