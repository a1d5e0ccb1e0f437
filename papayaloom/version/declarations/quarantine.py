"""Settings of the crash quarantine."""

from papayaloom.version import setting

SETTINGS = (
    setting.integer(
        'quarantine.crash_limit',
        setting.Unit.COUNT,
        2,
        (1, 100),
        setting.Axis.FLEET,
        'Number of crashes on different upstreams that condemn a request.',
    ),
    setting.number(
        'quarantine.harmful_share',
        setting.Unit.SHARE,
        0.000001,
        (0, 1.0),
        setting.Axis.FLEET,
        'Assumed share of requests that crash the upstream that runs them.',
    ),
    setting.number(
        'quarantine.memory_s',
        setting.Unit.SECONDS,
        600.0,
        (1.0, 86400.0),
        setting.Axis.FLEET,
        'How long a suspicion is kept.',
    ),
    setting.number(
        'quarantine.condemned_s',
        setting.Unit.SECONDS,
        86400.0,
        (1.0, 2_592_000),
        setting.Axis.FLEET,
        'How long a condemned request is refused.',
    ),
    setting.number(
        'quarantine.mass_window_s',
        setting.Unit.SECONDS,
        10.0,
        (0, 3600.0),
        setting.Axis.FLEET,
        'Time window in which crashes of several upstreams count as one event.',
    ),
    setting.number(
        'quarantine.mass_share',
        setting.Unit.SHARE,
        0.34,
        (0, 1.0),
        setting.Axis.FLEET,
        'Share of the upstreams that must crash in the window to raise the '
        'crash limit by one.',
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
