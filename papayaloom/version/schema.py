"""Schema of all declared settings, and validation of values against it."""

import decimal
import difflib
import functools
import importlib
import itertools
import math
import pkgutil
import re
import types
import typing

import result

from papayaloom import errors
from papayaloom.version import declarations, setting

Schema = typing.Mapping[str, setting.Setting]
CheckResult = result.Result[setting.Value, str]

_QUANTITY = re.compile(
    r'\s*([+-]?\d{1,30}(?:\.\d{1,30})?(?:[eE][+-]?\d{1,3})?)\s*([^\s\d]+)\s*',
    re.ASCII,
)
_TIME_UNITS = types.MappingProxyType(
    {
        'ns': '1e-9',
        'us': '1e-6',
        'µs': '1e-6',
        'ms': '1e-3',
        's': '1',
        'min': '60',
        'h': '3600',
        'd': '86400',
    }
)
_BYTE_UNITS = types.MappingProxyType(
    {
        'bytes': '1',
        'B': '1',
        'KB': '1e3',
        'MB': '1e6',
        'GB': '1e9',
        'KiB': '1024',
        'MiB': '1048576',
        'GiB': '1073741824',
    }
)


def _per_second(units: typing.Mapping[str, str]) -> dict[str, str]:
    return {f'{name}/s': factor for name, factor in units.items()}


# Accepted unit names for each declared unit, with their conversion factors.
_UNIT_FACTORS: typing.Mapping[setting.Unit, typing.Mapping[str, str]] = (
    types.MappingProxyType(
        {
            setting.Unit.SECONDS: _TIME_UNITS,
            setting.Unit.MILLISECONDS: {
                name: str(decimal.Decimal(factor) * 1000)
                for name, factor in _TIME_UNITS.items()
            },
            setting.Unit.BYTES: _BYTE_UNITS,
            setting.Unit.BYTES_PER_SECOND: _per_second(_BYTE_UNITS),
            setting.Unit.REQUESTS_PER_SECOND: {'requests/s': '1'},
            setting.Unit.TOKENS: {'tokens': '1'},
            setting.Unit.TOKENS_PER_SECOND: {'tokens/s': '1'},
            setting.Unit.SHARE: {'%': '0.01'},
        }
    )
)
# Range suffixes of units that have no symbol.
_RANGE_SUFFIXES = types.MappingProxyType(
    {
        setting.Unit.NONE: '',
        setting.Unit.SHARE: ' (a share)',
        setting.Unit.FACTOR: ' (a factor)',
        setting.Unit.COUNT: '',
    }
)
# Minimum similarity of a suggested path; below it, the closest path is
# rarely the intended one.
_MIN_SIMILARITY = 0.8
# Larger integers are not represented exactly by a 64-bit float.
_MAX_INTEGER = 2**53


@functools.cache
def load() -> Schema:
    """Return all declared settings, keyed by path.

    :raises errors.SettingsError: the declarations are inconsistent.
    """
    declared_settings: dict[str, setting.Setting] = {}
    for module in pkgutil.iter_modules(declarations.__path__):
        declaring_module = importlib.import_module(
            f'{declarations.__name__}.{module.name}',
        )
        for declared in declaring_module.SETTINGS:
            if declared.path in declared_settings:
                raise errors.SettingsError(
                    f'setting {declared.path} is declared twice',
                )
            declared_settings[declared.path] = declared
    _check_declarations(declared_settings)
    return types.MappingProxyType(dict(sorted(declared_settings.items())))


def find(path: str, schema: Schema | None = None) -> setting.Setting:
    """Return the declaration of a setting.

    :raises errors.SettingsError: the setting does not exist; the message
        suggests a similar path, if there is one.
    """
    declared_settings = load() if schema is None else schema
    if path not in declared_settings:
        raise errors.SettingsError(
            f'setting {path} does not exist{suggestion(path, declared_settings)}',
        )
    return declared_settings[path]


def suggestion(path: str, known_paths: typing.Iterable[str]) -> str:
    """Return a message suffix that suggests a known path for an unknown one.

    The suffix is empty if no known path is similar enough.
    """
    close = difflib.get_close_matches(
        path[:200], list(known_paths), 1, _MIN_SIMILARITY
    )
    return f'; did you mean {close[0]}?' if close else ''


def describe_accepted(declared: setting.Setting) -> str:
    """Describe the accepted values of a setting for operators."""
    if declared.choices:
        return 'one of {0}'.format(', '.join(declared.choices))
    unit = _RANGE_SUFFIXES.get(declared.unit, f' {declared.unit.value}')
    low, high = _format_bound(declared.low), _format_bound(declared.high)
    kind = declared.kind.value
    if low and high:
        return f'{kind} from {low} to {high}{unit}'
    if low:
        return f'{kind} of at least {low}{unit}'
    if high:
        return f'{kind} of at most {high}{unit}'
    return f'{kind}{unit}'


def check(declared: setting.Setting, raw: object) -> CheckResult:
    """Validate a value and convert it to the declared unit.

    :param raw: the JSON value in the document, possibly a list.
    :returns: the value in the declared kind and unit, or the reason why it
        is rejected.
    """
    if declared.kind is setting.Kind.BOOLEAN:
        if isinstance(raw, bool):
            return result.Ok(raw)
        return result.Err('is not true or false')
    if declared.kind is setting.Kind.TEXT:
        return _check_text(declared, raw)
    if declared.kind is setting.Kind.TEXTS:
        return _check_texts(declared, raw)
    return _check_number(declared, raw)


def _format_bound(number: float | None) -> str:
    """Format a bound with all its digits, as operators must type it."""
    if number is None:
        return ''
    return str(int(number)) if number == int(number) else repr(number)


def _check_declarations(schema: Schema) -> None:
    for path, declared in schema.items():
        parts = path.split('.')
        ancestors = itertools.accumulate(parts[:-1], '{0}.{1}'.format)
        if any(ancestor in schema for ancestor in ancestors):
            raise errors.SettingsError(
                f'setting {path} is nested under another setting',
            )
        if not isinstance(check(declared, declared.default), result.Ok):
            raise errors.SettingsError(
                f'setting {path} has an invalid default',
            )


def _check_text(declared: setting.Setting, raw: object) -> CheckResult:
    if not isinstance(raw, str):
        return result.Err('is not a text')
    if not _is_encodable(raw):
        return result.Err('contains an unpaired surrogate')
    if declared.choices and raw not in declared.choices:
        return result.Err('is not an accepted choice')
    return result.Ok(raw)


def _check_texts(declared: setting.Setting, raw: object) -> CheckResult:
    if not isinstance(raw, list | tuple):
        return result.Err('is not a list of texts')
    for element in raw:
        checked = _check_text(declared, element)
        if isinstance(checked, result.Err):
            return result.Err(f'has an element that {checked.err_value}')
    return result.Ok(tuple(raw))


def _check_number(declared: setting.Setting, raw: object) -> CheckResult:
    quantity = _parse_number(declared, raw)
    if isinstance(quantity, result.Err):
        return quantity
    number = quantity.ok_value
    # The negated comparison also rejects NaN.
    if not abs(number) <= _MAX_INTEGER:
        return result.Err('is not a finite number or is too large')
    if not _is_in_range(declared, number):
        return result.Err('is out of range')
    if declared.kind is setting.Kind.NUMBER:
        return result.Ok(float(number))
    if number != int(number):
        return result.Err('is not an integer')
    return result.Ok(int(number))


def _parse_number(
    declared: setting.Setting,
    raw: object,
) -> result.Result[float, str]:
    if isinstance(raw, str):
        return _parse_quantity(declared, raw)
    if isinstance(raw, bool) or not isinstance(raw, int | float):
        return result.Err('is not a number')
    return result.Ok(raw)


def _is_in_range(declared: setting.Setting, number: float) -> bool:
    low = -math.inf if declared.low is None else declared.low
    high = math.inf if declared.high is None else declared.high
    return low <= number <= high


def _parse_quantity(
    declared: setting.Setting,
    text: str,
) -> result.Result[float, str]:
    factors = _UNIT_FACTORS.get(declared.unit, {})
    match = _QUANTITY.fullmatch(text)
    if match is None:
        return result.Err('is not a number or a number with a unit')
    if match[2] not in factors:
        accepted_units = ', '.join(factors) or 'none'
        return result.Err(
            f'has the wrong unit (accepted units: {accepted_units})'
        )
    # With decimal arithmetic, "250 ms" is exactly 0.25 s.
    return result.Ok(
        float(decimal.Decimal(match[1]) * decimal.Decimal(factors[match[2]])),
    )


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
