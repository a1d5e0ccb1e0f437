"""Declaration of a setting.

Each component declares its settings in a module of
:mod:`papayaloom.version.declarations` as a tuple named ``SETTINGS``.
"""

import enum
import functools

import msgspec

Value = bool | int | float | str | tuple[str, ...]


class Axis(enum.Enum):
    """Group of branch kinds that may set a setting.

    A setting belongs to a single axis, so that two branches can never set
    conflicting values for the same request.
    """

    FLEET = 'fleet'
    ORGANISATION = 'organisation'
    SERVICE = 'service'
    MODEL = 'model'
    TARGET = 'service or model'


class Kind(enum.Enum):
    """Type of a setting's value."""

    BOOLEAN = 'boolean'
    INTEGER = 'integer'
    NUMBER = 'number'
    TEXT = 'text'
    TEXTS = 'list of texts'


class Unit(enum.Enum):
    """Unit of a setting's value."""

    NONE = ''
    SECONDS = 's'
    MILLISECONDS = 'ms'
    BYTES = 'bytes'
    BYTES_PER_SECOND = 'bytes/s'
    REQUESTS_PER_SECOND = 'requests/s'
    TOKENS = 'tokens'
    TOKENS_PER_SECOND = 'tokens/s'
    SHARE = 'share (0 to 1)'
    FACTOR = 'factor'
    COUNT = 'count'


class Setting(msgspec.Struct, frozen=True):
    """Declaration of one setting.

    :param path: dotted path, such as ``placement.load_multiple``.
    :param low: lowest accepted number, inclusive.
    :param high: highest accepted number, inclusive.
    :param choices: accepted texts; empty if every text is accepted.
    :param doc: one-sentence description for operators.
    """

    path: str
    kind: Kind
    unit: Unit
    default: Value
    axis: Axis
    doc: str
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()


def _numeric(
    kind: Kind,
    path: str,
    unit: Unit,
    default: float,
    bounds: tuple[float, float],
    axis: Axis,
    doc: str,
) -> Setting:
    """Declare a numeric setting with inclusive lower and upper bounds."""
    low, high = bounds
    return Setting(path, kind, unit, default, axis, doc, low, high)


integer = functools.partial(_numeric, Kind.INTEGER)
number = functools.partial(_numeric, Kind.NUMBER)
