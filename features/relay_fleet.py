"""Hosts of a large fleet, some of which answer the others over sockets."""

import functools
import random
import threading
import time

import msgspec

from papayaloom import clock
from papayaloom.connection import caller_connection, ingress
from papayaloom.ports import kv
from papayaloom.process import fleet_hosts, relay_plan, relay_watch
from papayaloom.routing.limits import rate_limits
from papayaloom.routing.load import request_counts
from papayaloom.standins import kv as memory_kv

# Hosts that do not run refuse connections.
REFUSING = '127.0.0.1:1'


def describe(key, content):
    """Return the content without its counter."""
    return content.split()[0]


def stopped_hosts(count, control=REFUSING):
    return [
        fleet_hosts.Host(f'h{number}', '', control=control)
        for number in range(count)
    ]


def with_role(hosts, role):
    return [
        host.name
        for host in hosts
        if relay_plan.plan(host.name, hosts).role is role
    ]


def roots(hosts):
    return with_role(hosts, relay_plan.Role.ROOT)


class Requests:
    """Requests of a host, without a decision state behind them."""

    def __init__(self):
        self.totals = None
        self.limits = rate_limits.RateLimits()

    def own_request_counts(self):
        return request_counts.RequestCounts({'a': 1})

    def update_fleet_counts(self, totals):
        self.totals = totals

    def rate_limit_reports(self):
        return self.limits.reports(time.monotonic())

    def apply_rate_limit_reports(self, reports, received_at):
        self.limits.apply_reports(reports, received_at, time.monotonic())


class Fleet:
    """Listed hosts and one store with one entry.

    :param hosts: all hosts.
    :param running: names of those that answer others.
    :param blocking: whether a watch of the store waits for a change.
    """

    def __init__(self, hosts, running=(), *, blocking=True):
        self.twin = memory_kv.MemoryKv(clock.SystemClock(), blocking=blocking)
        self.twin.put('servers/a', b'x 1', kv.ABSENT)
        self.servers = []
        self.watches = {}
        addresses = {name: self._serve(name) for name in running}
        self.hosts = [
            msgspec.structs.replace(
                host, control=addresses.get(host.name, host.control)
            )
            for host in hosts
        ]
        self.requests = {name: Requests() for name in running}
        for name, requests in self.requests.items():
            self.watches[name] = self.watcher(name, self.known(name), requests)

    def known(self, name):
        """Return the hosts as one of them knows them."""
        me = next(host for host in self.hosts if host.name == name)
        hosts = fleet_hosts.FleetHosts(me)
        hosts.replace(self.hosts, 0)
        # Removals count at once while the store is calm.
        hosts.lapses.store_answered(-60)
        return hosts

    def watcher(self, name, known, requests, **options):
        return relay_watch.RelayWatch(
            self.twin,
            name,
            known,
            requests,
            describe,
            random.Random(1),
            **options,
        )

    def close(self):
        # A server that still serves would keep the test run from ending.
        for server in self.servers:
            server.stop()

    def _serve(self, name):
        """Return the address at which a host answers others."""
        handler = functools.partial(self._answer, name)
        server = ingress.Ingress(
            ('127.0.0.1', 0), handler, caller_connection.CallerLimits(threads=2)
        )
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
        self.servers.append(server)
        return '%s:%d' % server.bind_addr

    def _answer(self, name, received):
        inbound = ingress.InboundRequest(received)
        content = self.watches[name].answer(inbound.body)
        inbound.answer(200 if content else 503, [], content)
