"""Stand-in of the platform's host list, which lags behind the hosts."""

import collections

import cheroot.wsgi
import msgspec
import xxhash

from papayaloom import clock
from papayaloom.ports import hosts
from papayaloom.standins import faults, wsgi


class HostDirectory:
    """Live and leaving hosts.

    :param lag_s: age of the list that readers get.
    """

    def __init__(self, ticks: clock.Clock, lag_s: float = 0) -> None:
        """Start without hosts."""
        self.faults = faults.Faults()
        self._clock = ticks
        self._lag_s = lag_s
        self._now: dict[str, hosts.Host] = {}
        self._history = collections.deque([(float('-inf'), _listed({}))])

    def put(self, host: hosts.Host) -> None:
        """Add or change a host."""
        self._now[host.host] = host
        self._record()

    def remove(self, host: str) -> None:
        """Remove a host."""
        self._now.pop(host, None)
        self._record()

    def read(self, etag: str = '') -> hosts.HostList | None:
        """Return the list, or nothing when it is the one with that ETag."""
        self.faults.before()
        visible = self._clock.monotonic() - self._lag_s
        while (
            not self.faults.stale
            and len(self._history) > 1
            and self._history[1][0] <= visible
        ):
            self._history.popleft()
        self.faults.after()
        listed = self._history[0][1]
        return None if listed.etag == etag else listed

    def _record(self) -> None:
        self._history.append((self._clock.monotonic(), _listed(self._now)))


def _listed(known: dict[str, hosts.Host]) -> hosts.HostList:
    listed = tuple(known[name] for name in sorted(known))
    digest = xxhash.xxh3_64_hexdigest(msgspec.json.encode(listed))
    return hosts.HostList(listed, f'"{digest}"')


def server(directory: HostDirectory, address: str) -> cheroot.wsgi.Server:
    """Return a bound server; PUT and DELETE of a host change the list."""

    def change(call: wsgi.Call) -> wsgi.Reply:
        if call.method == 'PUT':
            directory.put(msgspec.json.decode(call.body, type=hosts.Host))
        else:
            directory.remove(call.path[-1])
        return wsgi.Reply(204)

    def handle(call: wsgi.Call) -> wsgi.Reply:
        if call.path[:2] != ('v1', 'hosts'):
            return wsgi.refuse(404, 'no such resource')
        if call.method != 'GET':
            return change(call)
        listed = directory.read(call.headers.get('if-none-match', ''))
        if listed is None:
            return wsgi.Reply(304)
        content = msgspec.json.encode({'hosts': listed.hosts})
        return wsgi.Reply(200, content, headers=(('ETag', listed.etag),))

    return wsgi.server(address, handle, directory.faults)
