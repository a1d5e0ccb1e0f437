"""Settings file of one process: its addresses, zone and outside systems.

JSON with comments. Everything else is in the settings tree, which a process
reads from the key-value service or from its peers.
"""

import pathlib
import typing

import json5
import msgspec

from papayaloom import errors


def _text(pattern: str, accepted: str) -> msgspec.Meta:
    return msgspec.Meta(pattern=pattern, description=accepted)


_HOST_PORT = r'[^\s/:]+:\d{1,5}'
_Name = typing.Annotated[
    str,
    _text(
        r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$',
        'a name of letters, digits, ".", "_" and "-"',
    ),
]
_Url = typing.Annotated[
    str,
    _text(r'^https?://[^\s/]+/?$', 'a URL such as "http://10.0.0.1:9000"'),
]
_OptionalUrl = typing.Annotated[
    str,
    _text(
        r'^(https?://[^\s/]+/?)?$',
        'a URL such as "http://10.0.0.1:9000", or ""',
    ),
]
_HostPort = typing.Annotated[
    str,
    _text(f'^{_HOST_PORT}$', 'HOST:PORT such as "10.0.0.1:8080"'),
]
_OptionalHostPort = typing.Annotated[
    str,
    _text(f'^({_HOST_PORT})?$', 'HOST:PORT such as "127.0.0.1:8125", or ""'),
]
_Keys = typing.Annotated[
    tuple[typing.Annotated[str, msgspec.Meta(min_length=8)], ...],
    msgspec.Meta(
        min_length=1,
        description='a list of one or more secrets of at least 8 characters',
    ),
]
_Port = typing.Annotated[
    int,
    msgspec.Meta(ge=1, le=65535, description='a whole number, 1 to 65535'),
]
_File = typing.TypeVar('_File', bound=msgspec.Struct)


class Place(msgspec.Struct, frozen=True, kw_only=True):
    """What all processes have in common.

    :param name: name of the process; for a router, its id in the host list.
    :param deployment: name of the deployment; messages of others are dropped.
    :param hosts_url: base URL of the platform's host list.
    :param statsd: ``host:port`` of the statsd server; empty for no metrics.
    """

    name: _Name
    zone: _Name
    region: _Name
    deployment: _Name
    hosts_url: _OptionalUrl = ''
    statsd: _OptionalHostPort = ''


class Router(Place, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings file of a router.

    :param http: ``host:port`` towards callers.
    :param control: ``host:port`` of the inbox for other routers.
    :param local: ``host:port`` at which the locator on this host subscribes.
    :param kv_url: base URL of the key-value service.
    :param control_keys: secrets for control messages until the settings tree
        has been read; the first one signs.
    """

    http: _HostPort
    control: _HostPort
    local: _HostPort
    kv_url: _Url
    control_keys: _Keys


class Locator(Place, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings file of a locator.

    :param http: ``host:port`` towards callers.
    :param local: ``host:port`` at which the router on this host publishes.
    :param router_port: port of the routers towards callers, for answers from
        the host list, which names only their inboxes.
    """

    http: _HostPort
    local: _HostPort
    router_port: _Port = 8080


class Orderer(Place, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings file of an orderer.

    :param http: ``host:port`` of the status pages.
    :param kv_url: base URL of the key-value service.
    :param weights_url: base URL of the weight store.
    """

    http: _HostPort
    kv_url: _Url
    weights_url: _OptionalUrl = ''


def load(path: str, shape: type[_File]) -> _File:
    """Read a settings file.

    :param shape: :class:`Router`, :class:`Locator` or :class:`Orderer`.
    :raises errors.SettingsError: one sentence that names the file, the
        field, its value and the accepted form.
    """
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(f'cannot read {path}: {exc}') from exc
    return parse(text, shape, path)


def parse(text: str, shape: type[_File], path: str = 'text') -> _File:
    """Return the settings of a text.

    :param path: where the text is from, for the error.
    :raises errors.SettingsError: the text cannot be used.
    """
    try:
        fields = json5.loads(text)
    except Exception as exc:
        raise errors.SettingsError(
            f'{path} is not JSON with comments: {_first_line(exc)}'
        ) from exc
    if not isinstance(fields, dict):
        raise errors.SettingsError(f'{path} must hold one object')
    # Unquoted keys are of a subclass of str, which msgspec refuses.
    fields = {str(name): content for name, content in fields.items()}
    try:
        return msgspec.convert(fields, shape)
    except msgspec.ValidationError as malformed:
        raise errors.SettingsError(
            f'{path}: {_explain(fields, shape)}'
        ) from malformed


def address(text: str, field: str) -> tuple[str, int]:
    """Split a ``host:port``.

    :param field: name of the field, for the error.
    :raises errors.SettingsError: it has another form.
    """
    host, _, port = text.rpartition(':')
    if not host or not port.isdecimal() or int(port) >= 1 << 16:
        raise errors.SettingsError(
            f'{field} is {text!r}, expected HOST:PORT with a port below 65536',
        )
    return host, int(port)


def _first_line(exc: Exception) -> str:
    """Return what matters of the several lines of the parser's error."""
    lines = [line.strip() for line in str(exc).splitlines()]
    found = [line for line in lines if line.startswith('Syntax Error')]
    return (found or lines or ['unknown reason'])[0]


def _explain(fields: dict[str, typing.Any], shape: type[msgspec.Struct]) -> str:
    """Return one sentence about the first field that is wrong."""
    known = {field.name: field for field in msgspec.structs.fields(shape)}
    for name in fields:
        if name not in known:
            accepted = ', '.join(sorted(known))
            return f'unknown field "{name}"; accepted are {accepted}'
    for name, field in known.items():
        accepted = _accepted(field.type)
        if name not in fields:
            if field.required:
                return f'field "{name}" is missing; accepted is {accepted}'
            continue
        try:
            msgspec.convert(fields[name], field.type)
        except msgspec.ValidationError:
            shown = _shown(name, fields[name])
            return f'field "{name}" is {shown}; accepted is {accepted}'
    return 'the fields do not fit together'


def _accepted(kind: typing.Any) -> str:
    notes = getattr(kind, '__metadata__', ())
    return notes[0].description if notes else f'a {kind.__name__}'


def _shown(name: str, content: typing.Any) -> str:
    # Keys never appear in error messages or logs.
    if name == 'control_keys':
        return 'not shown'
    return repr(content)[:80]
