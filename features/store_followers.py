"""Hosts that follow one store, directly or through relays, in one process."""

import concurrent.futures
import itertools
import random
import threading
import time

from features import relay_fleet
from papayaloom import errors, ids
from papayaloom.ports import kv
from papayaloom.process import feed, relay_plan
from papayaloom.routing import replicas

SERVICE = ids.ServiceId('pool')
HEARTBEAT_S = 1.2
# Time after which a client gives up the check that follows a cut watch.
CHECK_S = 0.4


class Client:
    """A host's client of the store, whose check after a cut watch may fail."""

    def __init__(self, twin):
        self.failing_s = None
        self.list_prefix = twin.list_prefix
        self._twin = twin

    def watch(self, prefix, after, wait_s):
        if self.failing_s is not None and wait_s < CHECK_S:
            time.sleep(self.failing_s)
            self.failing_s = None
            raise errors.StoreUnavailableError('no answer')
        return self._twin.watch(prefix, after, wait_s)


class Follower:
    """A host's feed, and the replicas that it knows."""

    def __init__(self, client, watch, name):
        self._known = replicas.Replicas(replicas.Cfg())
        self._known.lapses.store_answered(-60)
        self._lock = threading.Lock()
        source = feed.Source(
            'servers/', self._replace, self._update, self._remove
        )
        lapses = self._known.lapses
        health = feed.Health(
            lambda: lapses.store_answered(time.monotonic()),
            lapses.store_failed,
            lambda: None,
            lambda: None,
        )
        self.feed = feed.Feed(
            client, watch, (source,), health, random.Random(name)
        )

    def uses(self, name):
        """Whether new requests may go to a replica."""
        now = time.monotonic()
        with self._lock:
            self._known.tick(now)
            ready = self._known.ready(SERVICE, now)
        return name in {one.id for one in ready}

    def _replace(self, entries):
        with self._lock:
            self._known.replace(map(replica, entries), time.monotonic())

    def _update(self, key, content):
        with self._lock:
            entry = kv.Entry(key, content, 0)
            self._known.update(replica(entry), time.monotonic())

    def _remove(self, key):
        with self._lock:
            name = replicas.ReplicaId(key.removeprefix('servers/'))
            self._known.remove(name, time.monotonic())


def replica(entry):
    name = replicas.ReplicaId(entry.key.removeprefix('servers/'))
    return replicas.Replica(name, SERVICE, ('127.0.0.1', 1))


class Followers(relay_fleet.Fleet):
    """All hosts of a fleet, and three replicas that send heartbeats."""

    def __init__(self, count):
        hosts = relay_fleet.stopped_hosts(count)
        self.late = set()
        self.clients = []
        super().__init__(hosts, [one.name for one in hosts])
        self._stopping = threading.Event()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()
        self.followers = {}
        for name, client in zip(self.watches, self.clients, strict=True):
            watch = self.watches[name].watch
            self.followers[name] = Follower(client, watch, name)
            self.followers[name].feed.start()

    def watcher(self, name, known, requests, **options):
        watch = super().watcher(name, known, requests, **options)
        self.clients.append(Client(self.twin))
        watch._store = self.clients[-1]
        return watch

    def using(self, name):
        """Return the hosts that use a replica."""
        return {host for host, one in self.followers.items() if one.uses(name)}

    def all_wait(self):
        """Whether all hosts that watch the store wait for a change."""
        direct = relay_fleet.with_role(self.hosts, relay_plan.Role.ALONE)
        watchers = direct or relay_fleet.roots(self.hosts)
        return self.twin.counts.waiting == len(watchers)

    def remove(self, key):
        entry = self.twin.get(key)
        assert self.twin.delete(key, entry.revision).done

    def fail_checks(self, seconds):
        """Let the next check of each host fail after some time."""
        for client in self.clients:
            client.failing_s = seconds

    def end_relay(self):
        """End the process of a host that others ask."""
        root = relay_fleet.roots(self.hosts)[0]
        self.servers[list(self.watches).index(root)].stop()
        self.followers.pop(root).feed.stop()

    def delay_relay(self):
        """Let a host that others ask answer too late."""
        self.late.add(relay_fleet.roots(self.hosts)[0])

    def close(self):
        self._stopping.set()
        for one in self.followers.values():
            one.feed.stop()
        with concurrent.futures.ThreadPoolExecutor(len(self.servers)) as pool:
            list(pool.map(lambda server: server.stop(), self.servers))
        # Connections to the other hosts, which would stay open.
        for watch in self.watches.values():
            watch._pool.clear()

    def _answer(self, name, received):
        if name in self.late:
            time.sleep(0.7)
        super()._answer(name, received)

    def _send_heartbeats(self):
        for number in itertools.count(2):
            for name in 'bc':
                if not self.twin.faults.outage:
                    self._beat(name, number)
            if self._stopping.wait(HEARTBEAT_S):
                return

    def _beat(self, name, number):
        known = self.twin.get(f'servers/{name}')
        expect = known.revision if known else kv.ABSENT
        self.twin.put(f'servers/{name}', b'x %d' % number, expect)
