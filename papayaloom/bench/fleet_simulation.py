"""Simulated fleet of routers in one process, on virtual time.

Every router runs the real codec, outbox, membership and dissemination. The
network model is minimal: a packet is lost, or it arrives after a delay.
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
_CODEC_KEY = b'bench key of sixteen bytes'
_BOOT_MS = 1_700_000_000_000
# One-way delays in seconds: within a zone, between zones, between regions.
_SAME_ZONE_DELAY_S, _SAME_REGION_DELAY_S, _INTER_REGION_DELAY_S = (
    0.0003,
    0.0015,
    0.04,
)
_STORE_DELAY_S = 0.004
_WATCH_TIMEOUT_S = 30.0


def make_member(number: int, size: int) -> messages.Member:
    """Return the member with this number.

    Fleets of 24 and more have six zones in three regions, smaller ones three
    zones in one region.
    """
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
    """One router: the real components, and counters of their cost."""

    def __init__(
        self, me: messages.Member, boot: int, now: float, seed: int
    ) -> None:
        """Start with an empty view and settings version 0."""
        rng = random.Random(f'{seed} {me.router} {boot}')
        self.me = me
        self.started = now
        self.next_store_poll = now
        self.cpu_s: float = 0
        self.sent_bytes = 0
        self.watching = False
        self.next_check = now
        self.last_version = 0
        self.versions: list[tuple[int, float]] = []
        self.now = now
        self.reverts = 0
        # Dissemination never reads a setting, so no declarations are needed.
        self.current = current_settings.CurrentSettings({})
        self.codec = codec.Codec(
            codec.Cfg('bench', (_CODEC_KEY,)), me.router, _BOOT_MS + boot
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
        self.current.subscribe(self._record_version)

    def tick(self, now: float) -> list[outbox.Packet]:
        """Run the periodic work and return the packets to send."""
        self.now = now
        started_at = time.thread_time()
        self.outbox.put(self.membership.tick(now), now)
        self.outbox.put(self.settings.tick(now), now)
        return self._flush(now, started_at)

    def receive(self, packet: bytes, now: float) -> list[outbox.Packet]:
        """Handle a packet and return the packets to send."""
        self.now = now
        started_at = time.thread_time()
        try:
            received = self.codec.open(packet)
        except errors.CodecError:
            return []
        sender, message = received.sender, received.message
        self.outbox.put(self.membership.handle(sender, message, now), now)
        self.outbox.put(self.settings.handle(sender, message, now), now)
        return self._flush(now, started_at)

    def send(
        self, sends: list[messages.Send], now: float
    ) -> list[outbox.Packet]:
        """Send messages that a component returned outside a tick."""
        started_at = time.thread_time()
        self.outbox.put(sends, now)
        return self._flush(now, started_at)

    def _flush(self, now: float, started_at: float) -> list[outbox.Packet]:
        packets = self.outbox.take(now)
        self.sent_bytes += sum(len(packet.content) for packet in packets)
        self.cpu_s += time.thread_time() - started_at
        return packets

    def _record_version(self, snapshot: typing.Any) -> None:
        self.reverts += snapshot.version < self.last_version
        self.last_version = snapshot.version
        self.versions.append((snapshot.version, self.now))


class Store:
    """The settings log, with counters of the calls to it."""

    def __init__(self) -> None:
        """Start with an empty log."""
        self.records: list[bytes] = []
        self.committed: list[float] = []
        self.reads = 0
        self.writes = 0
        self.watches: float = 0
        self._digest = change.EMPTY_DIGEST

    def commit(self, now: float) -> None:
        """Commit the next edit; its record has the size of a typical edit."""
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
        has_full_views: bool = True,
    ) -> None:
        """Start all routers at once, with a complete host list."""
        self.now: float = 0
        self.size = size
        self.false_deaths = 0
        self.store = Store()
        self.routers: dict[ids.RouterId, Router] = {}
        self.host_list = [make_member(number, size) for number in range(size)]
        self.is_blocked: typing.Callable[[ids.RouterId, ids.RouterId], bool] = (
            lambda *_: False
        )
        # Additional delay in seconds of all packets from and to a router.
        self.extra_delay_s: dict[ids.RouterId, float] = {}
        self._paused_until: dict[ids.RouterId, float] = {}
        self._loss = loss
        self._seed = seed
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, typing.Any, typing.Any]] = []
        self._sequence = 0
        self._boots = 0
        for one in self.host_list:
            self.start(one)
        if has_full_views:
            self._fill_views()

    def start(self, me: messages.Member) -> Router:
        """Start a router, or restart it after a crash."""
        self._boots += 1
        router = Router(me, self._boots, self.now, self._seed)
        router.membership.update_host_list(self.host_list, self.now)
        self.routers[me.router] = router
        router.membership.subscribe(self._count_false_death)
        self._schedule(self.now + self._rng.uniform(0, TICK_S), 'tick', router)
        return router

    def pause(self, router: ids.RouterId, seconds: float) -> None:
        """Pause a router's process; its packets are delivered afterwards."""
        self._paused_until[router] = self.now + seconds

    def crash(self, router: ids.RouterId) -> Router:
        """Remove a router without announcing that it leaves."""
        return self.routers.pop(router)

    def call_at(self, when: float, action: typing.Callable[[], object]) -> None:
        """Schedule an action at a point of virtual time."""
        self._schedule(when, 'call', action)

    def run(self, until: float) -> None:
        """Process events until a point of virtual time."""
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            kind, payload = event[2:]
            if kind == 'tick':
                self._tick(payload)
            elif kind == 'packet':
                self._receive_packet(*payload)
            else:
                payload()
        self.now = until

    def deliver(self, sender: Router, packets: list[outbox.Packet]) -> None:
        """Schedule the arrival of packets that are neither lost nor cut off."""
        for packet in packets:
            target = self.routers.get(packet.to)
            lost = self._rng.random() < self._loss
            if (
                target is None
                or lost
                or self.is_blocked(sender.me.router, packet.to)
            ):
                continue
            delay = _delay(sender.me, target.me) * self._rng.uniform(1, 1.5)
            delay += self.extra_delay_s.get(sender.me.router, 0)
            delay += self.extra_delay_s.get(packet.to, 0)
            self._schedule(
                self.now + delay, 'packet', (packet.to, packet.content)
            )

    def commit(self) -> None:
        """Commit an edit now; pending watches return it."""
        self.store.commit(self.now)
        for router in self.routers.values():
            if router.watching:
                self.store.watches += 1
                delay = _STORE_DELAY_S * self._rng.uniform(0.5, 1.5)
                self.call_at(
                    self.now + delay,
                    functools.partial(self._read_store, router),
                )

    def _count_false_death(self, update: messages.Member) -> None:
        """Count each time a router believes a running router dead."""
        victim = self.routers.get(update.router)
        if victim is None or update.state is not messages.MemberState.DEAD:
            return
        self.false_deaths += update.incarnation >= victim.me.incarnation

    def _schedule(self, when: float, kind: str, payload: typing.Any) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (when, self._sequence, kind, payload))

    def _tick(self, router: Router) -> None:
        if self.routers.get(router.me.router) is not router:
            return
        resumes_at = self._paused_until.get(router.me.router, 0)
        if self.now < resumes_at:
            self._schedule(resumes_at, 'tick', router)
            return
        self.deliver(router, router.tick(self.now))
        self._schedule(self.now + TICK_S, 'tick', router)
        if self.now >= router.next_store_poll:
            self._poll_store(router)

    def _poll_store(self, router: Router) -> None:
        """Update once a second whether a router watches the store.

        Every router also reads the log at long intervals as a fallback.
        """
        started_at = time.thread_time()
        watching = router.settings.is_watching()
        router.cpu_s += time.thread_time() - started_at
        is_unsynced = router.settings.source is dissemination.Source.NONE
        if is_unsynced or watching and not router.watching:
            self.store.reads += 1
            self._read_store(router)
            router.next_check = self.now + self._jittered_check_s(router)
        elif self.now >= router.next_check:
            self.store.reads += 1
            router.next_check = self.now + self._jittered_check_s(router)
            self._read_store(router)
        if watching:
            # A pending watch times out and is renewed once in this period.
            self.store.watches += 1 / _WATCH_TIMEOUT_S
        router.watching = watching
        router.next_store_poll = self.now + 1

    def _jittered_check_s(self, router: Router) -> float:
        period = dissemination.check_period_s(
            dissemination.Cfg(), len(router.membership.alive())
        )
        return period * self._rng.uniform(0.5, 1.5)

    def _read_store(self, router: Router) -> None:
        if self.routers.get(router.me.router) is router:
            records = self.store.records[router.current.head().version :]
            router.now = self.now
            sends = router.settings.apply_from_store(records, self.now)
            self.deliver(router, router.send(sends, self.now))

    def _receive_packet(self, to: ids.RouterId, content: bytes) -> None:
        router = self.routers.get(to)
        resumes_at = self._paused_until.get(to, 0)
        if self.now < resumes_at:
            self._schedule(resumes_at, 'packet', (to, content))
        elif router is not None:
            self.deliver(router, router.receive(content, self.now))

    def _fill_views(self) -> None:
        """Give every router the full view, as if membership had converged."""
        for router in self.routers.values():
            for entry in self.host_list:
                router.membership.table.merge(entry, self.now)


def _delay(sender: messages.Member, receiver: messages.Member) -> float:
    if sender.zone == receiver.zone:
        return _SAME_ZONE_DELAY_S
    return (
        _SAME_REGION_DELAY_S
        if sender.region == receiver.region
        else _INTER_REGION_DELAY_S
    )
