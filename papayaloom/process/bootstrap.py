"""Settings file of one process: its addresses, zone and outside systems.

JSON with comments. Everything else is in the settings tree, which a process
reads from the key-value service or from its peers.
"""

import pathlib
import typing

import json5
import msgspec

from papayaloom import errors

_File = typing.TypeVar('_File', bound=msgspec.Struct)


class Place(msgspec.Struct, frozen=True, kw_only=True):
    """What all processes have in common.

    :param name: name of the process; for a router, its id in the host list.
    :param deployment: name of the deployment; messages of others are dropped.
    :param hosts_url: base URL of the platform's host list.
    :param statsd: ``host:port`` of the statsd server; empty for no metrics.
    """

    name: str
    zone: str
    region: str
    deployment: str
    hosts_url: str = ''
    statsd: str = ''


class Router(Place, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings file of a router.

    :param http: ``host:port`` towards callers.
    :param control: ``host:port`` of the inbox for other routers.
    :param local: ``host:port`` at which the locator on this host subscribes.
    :param kv_url: base URL of the key-value service.
    :param control_keys: secrets for control messages until the settings tree
        has been read; the first one signs.
    """

    http: str
    control: str
    local: str
    kv_url: str
    control_keys: tuple[str, ...]


class Locator(Place, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings file of a locator.

    :param http: ``host:port`` towards callers.
    :param local: ``host:port`` at which the router on this host publishes.
    """

    http: str
    local: str


class Orderer(Place, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings file of an orderer.

    :param http: ``host:port`` of the status pages.
    :param kv_url: base URL of the key-value service.
    :param weights_url: base URL of the weight store.
    """

    http: str
    kv_url: str
    weights_url: str = ''


def load(path: str, shape: type[_File]) -> _File:
    """Read a settings file.

    :param shape: :class:`Router`, :class:`Locator` or :class:`Orderer`.
    :raises errors.SettingsError: names the file, the field and what is wrong.
    """
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(f'cannot read {path}: {exc}') from exc
    try:
        return msgspec.convert(json5.loads(text), shape)
    except (msgspec.ValidationError, ValueError) as malformed:
        raise errors.SettingsError(f'{path}: {malformed}') from malformed


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
