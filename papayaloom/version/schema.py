"""All declared settings, and the check of a value against its declaration."""

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
Checked = result.Result[setting.Value, str]

_QUANTITY = re.compile(
    r'\s*([+-]?\d{1,30}(?:\.\d{1,30})?(?:[eE][+-]?\d{1,3})?)\s*([^\s\d]+)\s*',
    re.ASCII,
)
_TIME = types.MappingProxyType(
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
_BYTES = types.MappingProxyType(
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


def _rates(amounts: typing.Mapping[str, str]) -> dict[str, str]:
    return {f'{name}/s': scale for name, scale in amounts.items()}


# Accepted unit names of each declared unit, as factors of that unit.
_NAMES: typing.Mapping[setting.Unit, typing.Mapping[str, str]] = (
    types.MappingProxyType(
        {
            setting.Unit.SECONDS: _TIME,
            setting.Unit.MILLISECONDS: {
                name: str(decimal.Decimal(scale) * 1000)
                for name, scale in _TIME.items()
            },
            setting.Unit.BYTES: _BYTES,
            setting.Unit.BYTES_PER_SECOND: _rates(_BYTES),
            setting.Unit.REQUESTS_PER_SECOND: {'requests/s': '1'},
            setting.Unit.TOKENS: {'tokens': '1'},
            setting.Unit.TOKENS_PER_SECOND: {'tokens/s': '1'},
            setting.Unit.SHARE: {'%': '0.01'},
        }
    )
)
# Units that are words rather than symbols in a range.
_ACCEPTED_UNITS = types.MappingProxyType(
    {
        setting.Unit.NONE: '',
        setting.Unit.SHARE: ' (a share)',
        setting.Unit.FACTOR: ' (a factor)',
        setting.Unit.COUNT: '',
    }
)
# Below this, the nearest name is rarely the one that was meant.
_SIMILARITY = 0.8
# Greater integers do not survive a conversion to a 64-bit float.
_MAX_INTEGER = 2**53


@functools.cache
def load() -> Schema:
    """Return every declared setting by its path.

    :raises errors.SettingsError: two declarations contradict each other.
    """
    found: dict[str, setting.Setting] = {}
    for module in pkgutil.iter_modules(declarations.__path__):
        part = importlib.import_module(
            f'{declarations.__name__}.{module.name}',
        )
        for declared in part.SETTINGS:
            if declared.path in found:
                raise errors.SettingsError(
                    f'setting {declared.path} is declared twice',
                )
            found[declared.path] = declared
    _check_declarations(found)
    return types.MappingProxyType(dict(sorted(found.items())))


def find(path: str, schema: Schema | None = None) -> setting.Setting:
    """Return the declaration of a setting.

    :raises errors.SettingsError: no such setting; names similar ones.
    """
    known = load() if schema is None else schema
    if path not in known:
        raise errors.SettingsError(
            f'setting {path} does not exist{similar(path, known)}',
        )
    return known[path]


def similar(path: str, known: typing.Iterable[str]) -> str:
    """Return a hint that names a known path similar to an unknown one."""
    close = difflib.get_close_matches(path[:200], list(known), 1, _SIMILARITY)
    return f'; did you mean {close[0]}?' if close else ''


def accepted(declared: setting.Setting) -> str:
    """Return the accepted values of a setting as text for operators."""
    if declared.choices:
        return 'one of {0}'.format(', '.join(declared.choices))
    unit = _ACCEPTED_UNITS.get(declared.unit, f' {declared.unit.value}')
    low, high = _plain(declared.low), _plain(declared.high)
    kind = declared.kind.value
    if low and high:
        return f'{kind} from {low} to {high}{unit}'
    if low:
        return f'{kind} of at least {low}{unit}'
    if high:
        return f'{kind} of at most {high}{unit}'
    return f'{kind}{unit}'


def check(declared: setting.Setting, raw: object) -> Checked:
    """Check a value and convert it to the declared unit.

    :param raw: what the document holds: a JSON value, lists included.
    :returns: the value in the declared kind and unit, or the reason for
        refusing it.
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


def _plain(number: float | None) -> str:
    """Return a bound in full digits, as operators must type it."""
    if number is None:
        return ''
    return str(int(number)) if number == int(number) else repr(number)


def _check_declarations(found: Schema) -> None:
    for path, declared in found.items():
        parts = path.split('.')
        ancestors = itertools.accumulate(parts[:-1], '{0}.{1}'.format)
        if any(ancestor in found for ancestor in ancestors):
            raise errors.SettingsError(
                f'setting {path} lies below another setting',
            )
        if not isinstance(check(declared, declared.default), result.Ok):
            raise errors.SettingsError(
                f'setting {path} has a default that it does not accept',
            )


def _check_text(declared: setting.Setting, raw: object) -> Checked:
    if not isinstance(raw, str):
        return result.Err('is not a text')
    if not _is_unicode(raw):
        return result.Err('holds half of a surrogate pair')
    if declared.choices and raw not in declared.choices:
        return result.Err('is not an accepted choice')
    return result.Ok(raw)


def _check_texts(declared: setting.Setting, raw: object) -> Checked:
    if not isinstance(raw, list | tuple):
        return result.Err('is not a list of texts')
    for element in raw:
        checked = _check_text(declared, element)
        if isinstance(checked, result.Err):
            return result.Err(f'has an element that {checked.err_value}')
    return result.Ok(tuple(raw))


def _check_number(declared: setting.Setting, raw: object) -> Checked:
    quantity = _number(declared, raw)
    if isinstance(quantity, result.Err):
        return quantity
    number = quantity.ok_value
    # Written so that NaN fails as well.
    if not abs(number) <= _MAX_INTEGER:
        return result.Err('is not a finite number of a usable size')
    if not _within(declared, number):
        return result.Err('is out of range')
    if declared.kind is setting.Kind.NUMBER:
        return result.Ok(float(number))
    if number != int(number):
        return result.Err('is not an integer')
    return result.Ok(int(number))


def _number(
    declared: setting.Setting,
    raw: object,
) -> result.Result[float, str]:
    if isinstance(raw, str):
        return _convert(declared, raw)
    if isinstance(raw, bool) or not isinstance(raw, int | float):
        return result.Err('is not a number')
    return result.Ok(raw)


def _within(declared: setting.Setting, number: float) -> bool:
    low = -math.inf if declared.low is None else declared.low
    high = math.inf if declared.high is None else declared.high
    return low <= number <= high


def _convert(
    declared: setting.Setting,
    text: str,
) -> result.Result[float, str]:
    names = _NAMES.get(declared.unit, {})
    match = _QUANTITY.fullmatch(text)
    if match is None:
        return result.Err('is not a number or a number with a unit')
    if match[2] not in names:
        usable = ', '.join(names) or 'none'
        return result.Err(f'has the wrong unit (usable units: {usable})')
    # Decimal arithmetic keeps "250 ms" exactly 0.25 s.
    return result.Ok(
        float(decimal.Decimal(match[1]) * decimal.Decimal(names[match[2]])),
    )


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
