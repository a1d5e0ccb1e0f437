"""Rolling restart of six routers under load, with the real drain and addresses.

Callers cache an address answer for its time to live; the locator's view is
some seconds old. Streams are long. The hints of a router are modelled as a set
of chat names: a turn loses cache reuse if its chat has been served before but
the current home router holds no hint of it.
"""

import random
import typing

import msgspec

from papayaloom import hashing, ids, messages
from papayaloom.bench import fleet_simulation
from papayaloom.process import addresses, drain

_SIZE = 6
_CHAT_COUNT = 400
_MEAN_TURN_INTERVAL_S = 20.0
_MEAN_STREAM_S = 12.0
_MAX_STREAM_S = 120.0
_VIEW_LAG_S = 6.0
_STEP_S = 0.25
_RESTART_DELAY_S = 5.0
_WARM_UP_S = 60.0

Row = tuple[str, float, str, str]
_State = messages.MemberState
# Chats get a new home when the stop is announced, hints move when it ends.
PLANNED = 'planned stop'
# A leaving router remains the home of its chats until it hands them over.
HOMES_KEPT = 'planned stop, homes kept'
# As above, and the routers that took over chats return the hints when the
# restarted router joins.
HINTS_RETURNED = 'planned stop, homes kept, hints given back'
KILL = 'kill'


class _Router:
    def __init__(self, member: messages.Member) -> None:
        self.member = member
        self.drain = drain.Drain(drain.Cfg())
        self.stream_ends: list[float] = []
        self.hints: set[str] = set()
        self.is_up = True


class _Caller(msgspec.Struct):
    chat: str
    next_turn: float
    answer: addresses.Answer | None = None
    expires: float = 0


class _Simulation:
    """Routers, callers, and counters of what happened to the requests."""

    def __init__(self, seed: int, policy: str) -> None:
        self.turns = 0
        self.repeat_turns = 0
        self.lost_reuse = 0
        self.cut_off = 0
        self.refused = 0
        self.now: float = 0
        self.routers = [
            _Router(fleet_simulation.make_member(number, _SIZE))
            for number in range(_SIZE)
        ]
        self._policy = policy
        self._rng = random.Random(seed)
        self._served: set[str] = set()
        self._views: list[tuple[float, messages.FleetView]] = []
        self._callers = [
            _Caller(
                f'chat-{number}', self._rng.uniform(0, _MEAN_TURN_INTERVAL_S)
            )
            for number in range(_CHAT_COUNT)
        ]

    def step(self) -> None:
        """Advance virtual time by one step."""
        self.now += _STEP_S
        self._views.append((self.now, _view(self.routers, self.now)))
        while self._views[0][0] < self.now - _VIEW_LAG_S:
            self._views.pop(0)
        for router in self.routers:
            router.stream_ends = [
                end for end in router.stream_ends if end > self.now
            ]
        for caller in self._callers:
            if caller.next_turn <= self.now:
                self._run_turn(caller)

    def stop(self, router: _Router) -> bool:
        """Advance the stop of a router; return whether it has stopped."""
        if self._policy == KILL:
            self._terminate(router)
            return True
        if router.drain.state is drain.State.SERVING:
            router.drain.begin(self.now)
            router.member = msgspec.structs.replace(
                router.member, state=_State.LEAVING
            )
        actions = router.drain.tick(len(router.stream_ends), True, self.now)
        if actions.hand_over:
            for chat in router.hints:
                self._home(chat, excluded=router).hints.add(chat)
        if actions.stop:
            self._terminate(router)
        return actions.stop

    def start(self, router: _Router) -> None:
        """Restart a stopped router."""
        router.is_up = True
        router.drain = drain.Drain(drain.Cfg())
        router.hints = set()
        router.member = msgspec.structs.replace(
            router.member, state=_State.ALIVE
        )
        if self._policy != HINTS_RETURNED:
            return
        for other in self.routers:
            returned = {
                chat
                for chat in other.hints
                if other is not router and self._home(chat) is router
            }
            router.hints |= returned

    def _terminate(self, router: _Router) -> None:
        self.cut_off += len(router.stream_ends)
        router.stream_ends = []
        router.is_up = False
        router.member = msgspec.structs.replace(
            router.member, state=_State.DEAD
        )

    def _run_turn(self, caller: _Caller) -> None:
        caller.next_turn = self.now + self._rng.expovariate(
            1 / _MEAN_TURN_INTERVAL_S
        )
        router = self._choose_router(caller)
        if router is None:
            self.refused += 1
            return
        self.turns += 1
        home = self._home(caller.chat)
        if caller.chat in self._served:
            self.repeat_turns += 1
            self.lost_reuse += caller.chat not in home.hints
        self._served.add(caller.chat)
        home.hints.add(caller.chat)
        length = min(self._rng.expovariate(1 / _MEAN_STREAM_S), _MAX_STREAM_S)
        router.stream_ends.append(self.now + length)

    def _choose_router(self, caller: _Caller) -> _Router | None:
        if caller.answer is None or self.now >= caller.expires:
            view = self._views[0][1]
            caller.answer = addresses.answer(
                view,
                addresses.Question(chat=caller.chat, zone='zone-0'),
                ids.ZoneId('zone-0'),
                self._rng,
            )
            caller.expires = self.now + caller.answer.ttl_s
        routers_by_id = {
            router.member.router: router for router in self.routers
        }
        for address in caller.answer.addresses:
            router = routers_by_id[address.router]
            if router.is_up and router.drain.accepts_requests():
                return router
        return None

    def _home(self, chat: str, excluded: _Router | None = None) -> _Router:
        home_states = {_State.ALIVE}
        if self._policy in {HOMES_KEPT, HINTS_RETURNED}:
            home_states.add(_State.LEAVING)
        candidates = {
            router.member.router: router
            for router in self.routers
            if router is not excluded and router.member.state in home_states
        }
        home = hashing.highest_ranked(chat, candidates)
        assert home is not None
        return candidates[home]


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
    """Yield the name, value, unit and policy of each figure."""
    for policy in (PLANNED, HOMES_KEPT, HINTS_RETURNED, KILL):
        simulation = _Simulation(seed, policy)
        while simulation.now < _WARM_UP_S:
            simulation.step()
        started_at = simulation.now
        for router in simulation.routers:
            while not simulation.stop(router):
                simulation.step()
            restart_at = simulation.now + _RESTART_DELAY_S
            while simulation.now < restart_at:
                simulation.step()
            simulation.start(router)
        yield 'cut_off_requests', simulation.cut_off, 'count', policy
        yield 'unanswered_requests', simulation.refused, 'count', policy
        yield (
            'lost_reuse',
            simulation.lost_reuse / simulation.repeat_turns,
            'share',
            policy,
        )
        yield 'rolling_restart_s', simulation.now - started_at, 's', policy
