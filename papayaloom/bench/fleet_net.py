"""Routers of one fleet in one process, on virtual time, with delay and loss.

Every router runs the real codec, outbox, membership and dissemination. This
is no cluster simulator: a packet is lost, or it arrives after a delay.
"""

import functools
import heapq
import random
import time
import typing

from papayaloom import errors, ids, messages
from papayaloom.connection import codec
from papayaloom.process import (
    current_settings,
    dissemination,
    membership,
    outbox,
)
from papayaloom.version import change

TICK_S = 0.1
_KEY = b'bench key of sixteen bytes'
_BOOT_MS = 1_700_000_000_000
# One-way delays in seconds: within a zone, between zones, between regions.
_SAME_ZONE, _SAME_REGION, _FAR = 0.0003, 0.0015, 0.04
_STORE_DELAY_S = 0.004
_WATCH_S = 30.0


def member(number: int, size: int) -> messages.Member:
    """Return the router with a number; six zones in three regions from 24."""
    zones, regions = (3, 1) if size < 24 else (6, 3)
    zone = number % zones
    return messages.Member(
        router=ids.RouterId(f'router-{number:03}'),
        address=f'tcp://10.0.{number // 250}.{number % 250}:7100',
        http=f'http://10.0.{number // 250}.{number % 250}:8080',
        zone=ids.ZoneId(f'zone-{zone}'),
        region=ids.RegionId(f'region-{zone * regions // zones}'),
        incarnation=1_700_000_000,
    )


class Router:
    """One router: real parts, and counters of what they cost."""

    def __init__(
        self, me: messages.Member, boot: int, now: float, seed: int
    ) -> None:
        """Start with an empty view and settings version 0."""
        rng = random.Random(f'{seed} {me.router} {boot}')
        self.me = me
        self.started = now
        self.next_store = now
        self.cpu_s: float = 0
        self.sent_bytes = 0
        self.watching = False
        self.next_check = now
        self.lowest = 0
        self.versions: list[tuple[int, float]] = []
        self.now = now
        self.reverts = 0
        # Distribution never reads a setting, so none has to be declared.
        self.current = current_settings.CurrentSettings({})
        self.codec = codec.Codec(
            codec.Cfg('bench', (_KEY,)), me.router, _BOOT_MS + boot
        )
        self.outbox = outbox.Outbox(outbox.Cfg(), self.codec, now)
        self.membership = membership.Membership(
            membership.Cfg(), me, rng, self.current.head
        )
        self.settings = dissemination.Dissemination(
            dissemination.Cfg(),
            me.router,
            self.current,
            lambda: self.membership.alive(leaving=False),
            rng,
        )
        self.current.subscribe(self._check)

    def tick(self, now: float) -> list[outbox.Packet]:
        """Do the periodic work."""
        self.now = now
        began = time.thread_time()
        self.outbox.put(self.membership.tick(now), now)
        self.outbox.put(self.settings.tick(now), now)
        return self._flush(now, began)

    def receive(self, packet: bytes, now: float) -> list[outbox.Packet]:
        """Take a packet."""
        self.now = now
        began = time.thread_time()
        try:
            received = self.codec.open(packet)
        except errors.CodecError:
            return []
        sender, message = received.sender, received.message
        self.outbox.put(self.membership.handle(sender, message, now), now)
        self.outbox.put(self.settings.handle(sender, message, now), now)
        return self._flush(now, began)

    def send(
        self, sends: list[messages.Send], now: float
    ) -> list[outbox.Packet]:
        """Send messages that a part returned outside a tick."""
        began = time.thread_time()
        self.outbox.put(sends, now)
        return self._flush(now, began)

    def _flush(self, now: float, began: float) -> list[outbox.Packet]:
        packets = self.outbox.take(now)
        self.sent_bytes += sum(len(packet.content) for packet in packets)
        self.cpu_s += time.thread_time() - began
        return packets

    def _check(self, snapshot: typing.Any) -> None:
        self.reverts += snapshot.version < self.lowest
        self.lowest = snapshot.version
        self.versions.append((snapshot.version, self.now))


class Store:
    """The settings log and the calls that it costs."""

    def __init__(self) -> None:
        """Start with an empty log."""
        self.records: list[bytes] = []
        self.committed: list[float] = []
        self.reads = 0
        self.writes = 0
        self.watches: float = 0
        self._digest = change.EMPTY_DIGEST

    def commit(self, now: float) -> None:
        """Commit the next edit; a record has the size of a usual edit."""
        version = ids.SettingsVersion(len(self.records) + 1)
        branch = f'organisations/org-{version % 200}'
        settings: change.Values = {
            'limits.requests_per_second': 40.0 + version % 7,
            'limits.burst': 2.5,
            'queue.longest_s': 20.0,
            'queue.weight': 1.0 + version % 3,
        }
        self._digest = change.digest(self._digest, branch, '', settings)
        self.records.append(
            change.encode_delta(
                change.Delta(version, branch, '', settings, self._digest)
            )
        )
        self.committed.append(now)
        self.writes += 1


class Fleet:
    """Routers, the packets between them, and the store.

    :param loss: share of the packets that are lost.
    """

    def __init__(
        self,
        size: int,
        loss: float,
        seed: int,
        *,
        settled: bool = True,
    ) -> None:
        """Start all routers at once, with a complete host list."""
        self.now: float = 0
        self.size = size
        self.false_deaths = 0
        self.store = Store()
        self.routers: dict[ids.RouterId, Router] = {}
        self.listed = [member(number, size) for number in range(size)]
        self.cut: typing.Callable[[ids.RouterId, ids.RouterId], bool] = (
            lambda *_: False
        )
        # Seconds that all packets of some routers take more, both ways.
        self.slow: dict[ids.RouterId, float] = {}
        self._paused: dict[ids.RouterId, float] = {}
        self._loss = loss
        self._seed = seed
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, typing.Any, typing.Any]] = []
        self._number = 0
        self._boots = 0
        for one in self.listed:
            self.start(one)
        if settled:
            self._settle()

    def start(self, me: messages.Member) -> Router:
        """Start a router, or start it again after a crash."""
        self._boots += 1
        router = Router(me, self._boots, self.now, self._seed)
        router.membership.update_host_list(self.listed, self.now)
        self.routers[me.router] = router
        router.membership.subscribe(self._judge)
        self._at(self.now + self._rng.uniform(0, TICK_S), 'tick', router)
        return router

    def pause(self, router: ids.RouterId, seconds: float) -> None:
        """Stop a router's process for a while; its packets wait."""
        self._paused[router] = self.now + seconds

    def crash(self, router: ids.RouterId) -> Router:
        """End a router without a word."""
        return self.routers.pop(router)

    def at(self, when: float, action: typing.Callable[[], object]) -> None:
        """Do something at a time."""
        self._at(when, 'call', action)

    def run(self, until: float) -> None:
        """Run until a time."""
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            kind, what = event[2:]
            if kind == 'tick':
                self._tick(what)
            elif kind == 'packet':
                self._arrive(*what)
            else:
                what()
        self.now = until

    def deliver(self, sender: Router, packets: list[outbox.Packet]) -> None:
        """Put packets on their way."""
        for packet in packets:
            target = self.routers.get(packet.to)
            lost = self._rng.random() < self._loss
            if target is None or lost or self.cut(sender.me.router, packet.to):
                continue
            delay = _delay(sender.me, target.me) * self._rng.uniform(1, 1.5)
            delay += self.slow.get(sender.me.router, 0)
            delay += self.slow.get(packet.to, 0)
            self._at(self.now + delay, 'packet', (packet.to, packet.content))

    def commit(self) -> None:
        """Commit an edit now; the watches that wait return with it."""
        self.store.commit(self.now)
        for router in self.routers.values():
            if router.watching:
                self.store.watches += 1
                delay = _STORE_DELAY_S * self._rng.uniform(0.5, 1.5)
                self.at(self.now + delay, functools.partial(self._read, router))

    def _judge(self, changed: messages.Member) -> None:
        """Count a death that a router believes although it is not true."""
        victim = self.routers.get(changed.router)
        if victim is None or changed.state is not messages.MemberState.DEAD:
            return
        self.false_deaths += changed.incarnation >= victim.me.incarnation

    def _at(self, when: float, kind: str, what: typing.Any) -> None:
        self._number += 1
        heapq.heappush(self._events, (when, self._number, kind, what))

    def _tick(self, router: Router) -> None:
        if self.routers.get(router.me.router) is not router:
            return
        wakes = self._paused.get(router.me.router, 0)
        if self.now < wakes:
            self._at(wakes, 'tick', router)
            return
        self.deliver(router, router.tick(self.now))
        self._at(self.now + TICK_S, 'tick', router)
        if self.now >= router.next_store:
            self._use_store(router)

    def _use_store(self, router: Router) -> None:
        """Decide once a second who watches; read seldom as a safety net."""
        began = time.thread_time()
        watching = router.settings.is_watching()
        router.cpu_s += time.thread_time() - began
        is_new = router.settings.source is dissemination.Source.NONE
        if is_new or watching and not router.watching:
            self.store.reads += 1
            self._read(router)
            router.next_check = self.now + self._check_s(router)
        elif self.now >= router.next_check:
            self.store.reads += 1
            router.next_check = self.now + self._check_s(router)
            self._read(router)
        if watching:
            # A waiting watch comes back and is renewed once in this time.
            self.store.watches += 1 / _WATCH_S
        router.watching = watching
        router.next_store = self.now + 1

    def _check_s(self, router: Router) -> float:
        period = dissemination.check_period_s(
            dissemination.Cfg(), len(router.membership.alive())
        )
        return period * self._rng.uniform(0.5, 1.5)

    def _read(self, router: Router) -> None:
        if self.routers.get(router.me.router) is router:
            records = self.store.records[router.current.head().version :]
            router.now = self.now
            sends = router.settings.apply_from_store(records, self.now)
            self.deliver(router, router.send(sends, self.now))

    def _arrive(self, to: ids.RouterId, content: bytes) -> None:
        router = self.routers.get(to)
        wakes = self._paused.get(to, 0)
        if self.now < wakes:
            self._at(wakes, 'packet', (to, content))
        elif router is not None:
            self.deliver(router, router.receive(content, self.now))

    def _settle(self) -> None:
        """Give every router the full view, as after a long run."""
        for router in self.routers.values():
            for one in self.listed:
                router.membership.table.merge(one, self.now)


def _delay(one: messages.Member, other: messages.Member) -> float:
    if one.zone == other.zone:
        return _SAME_ZONE
    return _SAME_REGION if one.region == other.region else _FAR
