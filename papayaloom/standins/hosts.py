"""Stand-in of the platform's host list, which lags behind changes."""

import collections

import cheroot.wsgi
import msgspec
import xxhash

from papayaloom import clock
from papayaloom.ports import hosts
from papayaloom.standins import faults, wsgi


class HostDirectory:
    """Live and leaving hosts.

    :param lag_s: delay after which readers see a change.
    """

    def __init__(self, time_source: clock.Clock, lag_s: float = 0) -> None:
        """Start without hosts."""
        self.faults = faults.Faults()
        self._clock = time_source
        self._lag_s = lag_s
        self._current_hosts: dict[str, hosts.Host] = {}
        self._history = collections.deque([(float('-inf'), _host_list({}))])

    def put(self, host: hosts.Host) -> None:
        """Add or change a host."""
        self._current_hosts[host.host] = host
        self._record()

    def remove(self, host: str) -> None:
        """Remove a host."""
        self._current_hosts.pop(host, None)
        self._record()

    def read(self, etag: str = '') -> hosts.HostList | None:
        """Return the list, or None if it still has the given ETag."""
        self.faults.before()
        visible_at = self._clock.monotonic() - self._lag_s
        while (
            not self.faults.stale
            and len(self._history) > 1
            and self._history[1][0] <= visible_at
        ):
            self._history.popleft()
        self.faults.after()
        host_list = self._history[0][1]
        return None if host_list.etag == etag else host_list

    def _record(self) -> None:
        self._history.append(
            (self._clock.monotonic(), _host_list(self._current_hosts))
        )


def _host_list(hosts_by_name: dict[str, hosts.Host]) -> hosts.HostList:
    host_list = tuple(hosts_by_name[name] for name in sorted(hosts_by_name))
    digest = xxhash.xxh3_64_hexdigest(msgspec.json.encode(host_list))
    return hosts.HostList(host_list, f'"{digest}"')


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
        host_list = directory.read(call.headers.get('if-none-match', ''))
        if host_list is None:
            return wsgi.Reply(304)
        content = msgspec.json.encode({'hosts': host_list.hosts})
        return wsgi.Reply(200, content, headers=(('ETag', host_list.etag),))

    return wsgi.server(address, handle, directory.faults)
