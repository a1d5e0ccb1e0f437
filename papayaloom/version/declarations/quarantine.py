"""Settings of the crash quarantine."""

from papayaloom.version import setting

SETTINGS = (
    setting.Setting(
        path='quarantine.crash_limit',
        kind=setting.Kind.INTEGER,
        unit=setting.Unit.COUNT,
        default=2,
        low=1,
        high=100,
        axis=setting.Axis.FLEET,
        doc='Crashes on different upstreams that condemn a request.',
    ),
    setting.Setting(
        path='quarantine.harmful_share',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SHARE,
        default=0.000001,
        low=0,
        high=1.0,
        axis=setting.Axis.FLEET,
        doc='Share of requests that are assumed to crash what runs them.',
    ),
    setting.Setting(
        path='quarantine.memory_s',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SECONDS,
        default=600.0,
        low=1.0,
        high=86400.0,
        axis=setting.Axis.FLEET,
        doc='Time for which a suspicion is kept.',
    ),
    setting.Setting(
        path='quarantine.condemned_s',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SECONDS,
        default=86400.0,
        low=1.0,
        high=2_592_000,
        axis=setting.Axis.FLEET,
        doc='Time for which a condemned request is refused.',
    ),
    setting.Setting(
        path='quarantine.mass_window_s',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SECONDS,
        default=10.0,
        low=0,
        high=3600.0,
        axis=setting.Axis.FLEET,
        doc='Window in which crashes of several upstreams count as one event.',
    ),
    setting.Setting(
        path='quarantine.mass_share',
        kind=setting.Kind.NUMBER,
        unit=setting.Unit.SHARE,
        default=0.34,
        low=0,
        high=1.0,
        axis=setting.Axis.FLEET,
        doc=(
            'Share of the upstreams that crash in the window from which '
            'on no request is blamed.'
        ),
    ),
    setting.Setting(
        path='quarantine.released',
        kind=setting.Kind.TEXTS,
        unit=setting.Unit.NONE,
        default=(),
        axis=setting.Axis.FLEET,
        doc='Fingerprints that are never suspected or condemned.',
    ),
)
