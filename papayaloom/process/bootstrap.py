"""Settings file of a process: its addresses, zone and external services.

The format is JSON with comments. All other settings are in the settings tree,
which a process reads from the key-value service or from its peers.
"""

import pathlib
import typing

import json5
import msgspec

from papayaloom import errors


def _pattern_meta(pattern: str, description: str) -> msgspec.Meta:
    return msgspec.Meta(pattern=pattern, description=description)


_HOST_PORT = r'[^\s/:]+:\d{1,5}'
_Name = typing.Annotated[
    str,
    _pattern_meta(
        r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$',
        'a name of letters, digits, ".", "_" and "-"',
    ),
]
_Url = typing.Annotated[
    str,
    _pattern_meta(
        r'^https?://[^\s/]+/?$', 'a URL such as "http://10.0.0.1:9000"'
    ),
]
_OptionalUrl = typing.Annotated[
    str,
    _pattern_meta(
        r'^(https?://[^\s/]+/?)?$',
        'a URL such as "http://10.0.0.1:9000", or ""',
    ),
]
_HostPort = typing.Annotated[
    str,
    _pattern_meta(f'^{_HOST_PORT}$', 'HOST:PORT such as "10.0.0.1:8080"'),
]
_OptionalHostPort = typing.Annotated[
    str,
    _pattern_meta(
        f'^({_HOST_PORT})?$', 'HOST:PORT such as "127.0.0.1:8125", or ""'
    ),
]
_ControlKeys = typing.Annotated[
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
_Settings = typing.TypeVar('_Settings', bound=msgspec.Struct)


class ProcessSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings common to all processes.

    :param name: name of the process; for a router, its id in the host list.
    :param deployment: name of the deployment; messages from other deployments
        are dropped.
    :param hosts_url: base URL of the platform's host list.
    :param statsd: ``host:port`` of the statsd server; empty to disable metrics.
    """

    name: _Name
    zone: _Name
    region: _Name
    deployment: _Name
    hosts_url: _OptionalUrl = ''
    statsd: _OptionalHostPort = ''


class Router(
    ProcessSettings, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings file of a router.

    :param http: ``host:port`` that serves callers.
    :param control: ``host:port`` that receives control messages of other
        routers.
    :param local: ``host:port`` to which the locator on this host subscribes.
    :param kv_url: base URL of the key-value service.
    :param control_keys: keys that authenticate control messages until the
        settings tree has been read; the first one signs.
    """

    http: _HostPort
    control: _HostPort
    local: _HostPort
    kv_url: _Url
    control_keys: _ControlKeys


class Locator(
    ProcessSettings, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings file of a locator.

    :param http: ``host:port`` that serves callers.
    :param local: ``host:port`` on which the router on this host publishes.
    :param router_port: port on which routers serve callers; used for answers
        from the host list, which has only the routers' control addresses.
    """

    http: _HostPort
    local: _HostPort
    router_port: _Port = 8080


class Orderer(
    ProcessSettings, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings file of an orderer.

    :param http: ``host:port`` of the status pages.
    :param kv_url: base URL of the key-value service.
    :param weights_url: base URL of the weight store.
    """

    http: _HostPort
    kv_url: _Url
    weights_url: _OptionalUrl = ''


def load(path: str, settings_type: type[_Settings]) -> _Settings:
    """Read a settings file.

    :param settings_type: :class:`Router`, :class:`Locator` or :class:`Orderer`.
    :raises errors.SettingsError: the file is unreadable or invalid; the
        message names the file, the field, its value and the accepted form.
    """
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(f'cannot read {path}: {exc}') from exc
    return parse(text, settings_type, path)


def parse(
    text: str, settings_type: type[_Settings], path: str = 'text'
) -> _Settings:
    """Parse the text of a settings file.

    :param path: source of the text, for error messages.
    :raises errors.SettingsError: the text is invalid.
    """
    try:
        fields = json5.loads(text)
    except Exception as exc:
        raise errors.SettingsError(
            f'{path} is not JSON with comments: {_first_line(exc)}'
        ) from exc
    if not isinstance(fields, dict):
        raise errors.SettingsError(f'{path} must hold one object')
    # json5 returns unquoted keys as a subclass of str, which msgspec rejects.
    fields = {str(name): content for name, content in fields.items()}
    try:
        return msgspec.convert(fields, settings_type)
    except msgspec.ValidationError as exc:
        raise errors.SettingsError(
            f'{path}: {_first_error(fields, settings_type)}'
        ) from exc


def parse_host_port(text: str, field: str) -> tuple[str, int]:
    """Split a ``host:port``.

    :param field: name of the field, for the error message.
    :raises errors.SettingsError: the text is malformed.
    """
    host, _, port = text.rpartition(':')
    if not host or not port.isdecimal() or int(port) >= 1 << 16:
        raise errors.SettingsError(
            f'{field} is {text!r}, expected HOST:PORT with a port below 65536',
        )
    return host, int(port)


def _first_line(exc: Exception) -> str:
    """Return the line of a multi-line parser error that states the cause."""
    lines = [line.strip() for line in str(exc).splitlines()]
    found = [line for line in lines if line.startswith('Syntax Error')]
    return (found or lines or ['unknown reason'])[0]


def _first_error(
    fields: dict[str, typing.Any], settings_type: type[msgspec.Struct]
) -> str:
    """Return one sentence that explains the first invalid field."""
    known = {
        field.name: field for field in msgspec.structs.fields(settings_type)
    }
    for name in fields:
        if name not in known:
            accepted = ', '.join(sorted(known))
            return f'unknown field "{name}"; accepted are {accepted}'
    for name, field in known.items():
        accepted = _describe_type(field.type)
        if name not in fields:
            if field.required:
                return f'field "{name}" is missing; accepted is {accepted}'
            continue
        try:
            msgspec.convert(fields[name], field.type)
        except msgspec.ValidationError:
            redacted = _redacted(name, fields[name])
            return f'field "{name}" is {redacted}; accepted is {accepted}'
    return 'the fields do not fit together'


def _describe_type(kind: typing.Any) -> str:
    annotations = getattr(kind, '__metadata__', ())
    return annotations[0].description if annotations else f'a {kind.__name__}'


def _redacted(name: str, content: typing.Any) -> str:
    # Secrets never appear in error messages or logs.
    if name == 'control_keys':
        return 'not shown'
    return repr(content)[:80]
