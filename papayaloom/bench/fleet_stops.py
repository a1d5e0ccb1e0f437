"""Rolling restart of six routers under load, with the real stop and addresses.

Callers keep an address answer for its time to live, from a locator whose
view is some seconds old. Streams last long. Hints of a chat are a set of
names here: a turn has lost its reuse when its chat has been served before
and the router that is its home now knows nothing of it.
"""

import random
import typing

import msgspec

from papayaloom import hashing, ids, messages
from papayaloom.bench import fleet_net
from papayaloom.process import addresses, drain

_SIZE = 6
_CHATS = 400
_TURN_S = 20.0
_STREAM_S = 12.0
_LONGEST_STREAM_S = 120.0
_VIEW_LAG_S = 6.0
_STEP_S = 0.25
_RESTART_S = 5.0
_WARM_S = 60.0

Row = tuple[str, float, str, str]
_State = messages.MemberState
# Homes move to the next router when the stop is announced, hints when it ends.
PLANNED = 'planned stop'
# A leaving router stays the home of its chats until it hands them over.
KEPT = 'planned stop, homes kept'
# As above, and the routers that took chats over give the hints back when the
# restarted router joins.
GIVEN_BACK = 'planned stop, homes kept, hints given back'
KILL = 'kill'


class _Router:
    def __init__(self, member: messages.Member) -> None:
        self.member = member
        self.drain = drain.Drain(drain.Cfg())
        self.ends: list[float] = []
        self.hints: set[str] = set()
        self.is_up = True


class _Caller(msgspec.Struct):
    chat: str
    next_turn: float
    answer: addresses.Answer | None = None
    expires: float = 0


class _Load:
    """Callers, and what happened to their requests."""

    def __init__(self, seed: int, policy: str) -> None:
        self.turns = 0
        self.returning = 0
        self.lost_reuse = 0
        self.cut_off = 0
        self.refused = 0
        self.now: float = 0
        self.routers = [
            _Router(fleet_net.member(number, _SIZE)) for number in range(_SIZE)
        ]
        self._policy = policy
        self._rng = random.Random(seed)
        self._served: set[str] = set()
        self._views: list[tuple[float, messages.FleetView]] = []
        self._callers = [
            _Caller(f'chat-{number}', self._rng.uniform(0, _TURN_S))
            for number in range(_CHATS)
        ]

    def step(self) -> None:
        """Go on by one step of virtual time."""
        self.now += _STEP_S
        self._views.append((self.now, _view(self.routers, self.now)))
        while self._views[0][0] < self.now - _VIEW_LAG_S:
            self._views.pop(0)
        for router in self.routers:
            router.ends = [end for end in router.ends if end > self.now]
        for caller in self._callers:
            if caller.next_turn <= self.now:
                self._turn(caller)

    def stop(self, router: _Router) -> bool:
        """Go on with the stop of a router; true when it has stopped."""
        if self._policy == KILL:
            self._end(router)
            return True
        if router.drain.state is drain.State.SERVING:
            router.drain.begin(self.now)
            router.member = msgspec.structs.replace(
                router.member, state=_State.LEAVING
            )
        todo = router.drain.tick(len(router.ends), True, self.now)
        if todo.hand_over:
            for chat in router.hints:
                self._home(chat, without=router).hints.add(chat)
        if todo.stop:
            self._end(router)
        return todo.stop

    def start(self, router: _Router) -> None:
        """Start a router again."""
        router.is_up = True
        router.drain = drain.Drain(drain.Cfg())
        router.hints = set()
        router.member = msgspec.structs.replace(
            router.member, state=_State.ALIVE
        )
        if self._policy != GIVEN_BACK:
            return
        for other in self.routers:
            mine = {
                chat
                for chat in other.hints
                if other is not router and self._home(chat) is router
            }
            router.hints |= mine

    def _end(self, router: _Router) -> None:
        self.cut_off += len(router.ends)
        router.ends = []
        router.is_up = False
        router.member = msgspec.structs.replace(
            router.member, state=_State.DEAD
        )

    def _turn(self, caller: _Caller) -> None:
        caller.next_turn = self.now + self._rng.expovariate(1 / _TURN_S)
        router = self._reach(caller)
        if router is None:
            self.refused += 1
            return
        self.turns += 1
        home = self._home(caller.chat)
        if caller.chat in self._served:
            self.returning += 1
            self.lost_reuse += caller.chat not in home.hints
        self._served.add(caller.chat)
        home.hints.add(caller.chat)
        length = min(self._rng.expovariate(1 / _STREAM_S), _LONGEST_STREAM_S)
        router.ends.append(self.now + length)

    def _reach(self, caller: _Caller) -> _Router | None:
        if caller.answer is None or self.now >= caller.expires:
            view = self._views[0][1]
            caller.answer = addresses.answer(
                view,
                addresses.Question(chat=caller.chat, zone='zone-0'),
                ids.ZoneId('zone-0'),
                self._rng,
            )
            caller.expires = self.now + caller.answer.ttl_s
        by_name = {router.member.router: router for router in self.routers}
        for address in caller.answer.addresses:
            router = by_name[address.router]
            if router.is_up and router.drain.accepts_requests():
                return router
        return None

    def _home(self, chat: str, without: _Router | None = None) -> _Router:
        homes = {_State.ALIVE}
        if self._policy in {KEPT, GIVEN_BACK}:
            homes.add(_State.LEAVING)
        candidates = {
            router.member.router: router
            for router in self.routers
            if router is not without and router.member.state in homes
        }
        first = hashing.highest_ranked(chat, candidates)
        assert first is not None
        return candidates[first]


def _view(routers: list[_Router], now: float) -> messages.FleetView:
    return messages.FleetView(
        'bench',
        routers[0].member.router,
        1,
        round(now / _STEP_S),
        tuple(router.member for router in routers),
        addresses.Cfg().ttl_s,
        addresses.Cfg().count,
    )


def run(seed: int) -> typing.Iterator[Row]:
    """Yield name, value, unit and policy of each figure."""
    for policy in (PLANNED, KEPT, GIVEN_BACK, KILL):
        load = _Load(seed, policy)
        while load.now < _WARM_S:
            load.step()
        began = load.now
        for router in load.routers:
            while not load.stop(router):
                load.step()
            until = load.now + _RESTART_S
            while load.now < until:
                load.step()
            load.start(router)
        yield 'cut_off_requests', load.cut_off, 'count', policy
        yield 'unanswered_requests', load.refused, 'count', policy
        yield 'lost_reuse', load.lost_reuse / load.returning, 'share', policy
        yield 'rolling_restart_s', load.now - began, 's', policy
