"""Port to the platform's host list, and its HTTP protocol.

``GET /v1/hosts`` answers ``{"hosts": [...]}`` with an ``ETag``; with
``If-None-Match`` it answers 304 if nothing has changed. The list lags behind
the hosts by seconds, and it can be stale or unreachable for longer.
"""

import enum
import typing

import msgspec
import urllib3

from papayaloom import decoding, errors, ids
from papayaloom.connection import client_connection


class Kind(enum.Enum):
    """What runs on a host."""

    ENTRY = 'entry'
    ENGINE = 'engine'
    SERVICE = 'service'


class HostState(enum.Enum):
    """State of a host according to the platform."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Host(msgspec.Struct, frozen=True):
    """A host in the list.

    :param address: base URL of an engine or a service, ``host:port`` of the
        control inbox of an entry host.
    :param name: the served model or service, empty for an entry host.
    """

    host: ids.HostId
    kind: Kind
    address: str
    zone: ids.ZoneId
    region: ids.RegionId
    name: str = ''
    state: HostState = HostState.LIVE


class HostList(msgspec.Struct, frozen=True):
    """The hosts as of some seconds ago, with the ETag of the list."""

    hosts: tuple[Host, ...]
    etag: str = ''


class Hosts(typing.Protocol):
    """Access to the host list."""

    def read(self, etag: str = '') -> HostList | None:
        """Return the list, or None if it still has this ETag.

        :raises papayaloom.errors.UpstreamError: there was no usable response.
        """


class HttpHosts:
    """HTTP client of the host list.

    :param url: base URL of the platform's host list.
    :param timeout_s: connect timeout and read timeout.
    """

    def __init__(self, url: str, timeout_s: float = 2) -> None:
        """Create a connection pool; connects on the first call."""
        self._url = f'{url}/v1/hosts'
        self._pool = client_connection.pool_manager(timeout=timeout_s)

    def read(self, etag: str = '') -> HostList | None:
        """Return the list, or None if it still has this ETag."""
        headers = {'If-None-Match': etag} if etag else {}
        try:
            response = self._pool.request(
                'GET', self._url, headers=headers, redirect=False
            )
        except urllib3.exceptions.HTTPError as exc:
            raise _read_error(str(exc)) from exc
        if response.status == 304:
            return None
        if response.status != 200:
            raise _read_error(f'status {response.status}')
        try:
            decoded = decoding.decode_json(response.data, HostList)
        except msgspec.MsgspecError as exc:
            raise _read_error(str(exc)) from exc
        return HostList(decoded.hosts, response.headers.get('ETag', ''))


def _read_error(reason: str) -> errors.UpstreamError:
    return errors.UpstreamError(
        f'the host list cannot be read: {reason}',
        errors.Verdict.MAY_HAVE_RUN,
    )
