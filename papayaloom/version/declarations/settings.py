"""Settings of the settings store itself."""

from papayaloom.version import setting

SETTINGS = (
    setting.integer(
        'settings.kept_versions',
        setting.Unit.COUNT,
        4096,
        # At least 256, because a reader pages through the log while editors
        # trim it.
        (256, 100_000),
        setting.Axis.FLEET,
        'Number of newest versions whose records the settings log keeps.',
    ),
)
