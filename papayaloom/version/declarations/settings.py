"""Settings of the settings store itself."""

from papayaloom.version import setting

SETTINGS = (
    setting.Setting(
        path='settings.kept_versions',
        kind=setting.Kind.INTEGER,
        unit=setting.Unit.COUNT,
        default=4096,
        # A reader pages through the log while editors trim it.
        low=256,
        high=100_000,
        axis=setting.Axis.FLEET,
        doc='Newest versions whose records the settings log keeps.',
    ),
)
