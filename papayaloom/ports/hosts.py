"""Port to the platform's host list, and its HTTP protocol.

``GET /v1/hosts`` answers ``{"hosts": [...]}`` with an ``ETag``; with
``If-None-Match`` it answers 304 when nothing changed. The list lags behind
the hosts by seconds, and it can be stale or unreachable for longer.
"""

import enum
import typing

import msgspec
import urllib3

from papayaloom import errors, ids


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
    """One host.

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
    """The hosts as of some seconds ago."""

    hosts: tuple[Host, ...]
    etag: str = ''


class Hosts(typing.Protocol):
    """What the fleet asks of the host list."""

    def read(self, etag: str = '') -> HostList | None:
        """Return the list, or nothing when it is the one with that ETag.

        :raises papayaloom.errors.UpstreamError: there was no answer.
        """


class HttpHosts:
    """Host list over HTTP.

    :param url: base URL of the platform's host list.
    :param timeout_s: limit of one call.
    """

    def __init__(self, url: str, timeout_s: float = 2) -> None:
        """Open no connection yet."""
        self._url = f'{url}/v1/hosts'
        self._pool = urllib3.PoolManager(retries=False, timeout=timeout_s)

    def read(self, etag: str = '') -> HostList | None:
        """Return the list, or nothing when it is the one with that ETag."""
        headers = {'If-None-Match': etag} if etag else {}
        try:
            reply = self._pool.request(
                'GET', self._url, headers=headers, redirect=False
            )
        except urllib3.exceptions.HTTPError as exc:
            raise _unreadable(str(exc)) from exc
        if reply.status == 304:
            return None
        if reply.status != 200:
            raise _unreadable(f'status {reply.status}')
        try:
            found = msgspec.json.decode(reply.data, type=HostList)
        except msgspec.MsgspecError as malformed:
            raise _unreadable(str(malformed)) from malformed
        return HostList(found.hosts, reply.headers.get('ETag', ''))


def _unreadable(reason: str) -> errors.UpstreamError:
    return errors.UpstreamError(
        f'the host list cannot be read: {reason}',
        errors.Verdict.MAY_HAVE_RUN,
    )
