"""Declarations and deltas for the scenarios of the settings."""

from papayaloom.version import change, setting


def declare(path, kind, unit, default, axis, **limits):
    return setting.Setting(
        path=path,
        kind=kind,
        unit=unit,
        default=default,
        axis=axis,
        doc='A setting of the tests.',
        **limits,
    )


KIND, UNIT, AXIS = setting.Kind, setting.Unit, setting.Axis
SCHEMA = {
    declared.path: declared
    for declared in (
        declare('test.rate', KIND.NUMBER, UNIT.REQUESTS_PER_SECOND, 10.0,
                AXIS.ORGANISATION, low=0, high=100_000),
        declare('test.pause_s', KIND.NUMBER, UNIT.SECONDS, 3.0, AXIS.TARGET,
                low=0, high=60),
        declare('test.copies', KIND.INTEGER, UNIT.COUNT, 1, AXIS.MODEL, low=1),
        declare('test.share', KIND.NUMBER, UNIT.SHARE, 0.5, AXIS.FLEET,
                low=0, high=1),
        declare('test.mode', KIND.TEXT, UNIT.NONE, 'steady', AXIS.TARGET,
                choices=('slow', 'steady')),
        declare('test.names', KIND.TEXTS, UNIT.NONE, (), AXIS.FLEET),
        declare('test.on', KIND.BOOLEAN, UNIT.NONE, True, AXIS.FLEET),
    )
}  # fmt: skip


def delta_after(current, branch, parent, values, removed=False):
    values = {
        path: tuple(value) if isinstance(value, list) else value
        for path, value in values.items()
    }
    digest = change.digest(
        current.digest, branch, parent, values, removed=removed
    )
    return change.Delta(
        current.version + 1, branch, parent, values, digest, removed
    )
