"""Choice between warm and cold replicas.

Answers three load patterns: a few cold replicas among warm ones, which get nothing
while the warm ones have room; a service whose replicas are all cold, whose
permits are then its only capacity; and a load that jumps while some replicas are
cold and this router has not heard of it.
"""

import random
import typing

import result

from papayaloom import errors
from papayaloom.routing import (
    decision_counts,
    dispatch_messages,
    placement_problems,
    replica_choice,
    replicas,
)
from papayaloom.routing.limits import (
    cold_permits,
    cold_replicas,
    unheard_replicas,
)
from papayaloom.routing.overload import load_shedding, retry_delays

_NO_ROOM = 503
# Bound for cold replicas; None if they need no care.
Bound: typing.TypeAlias = cold_permits.Cfg | None
_Result = result.Result[replica_choice.Choice, errors.Problem]
# Chooses among some replicas, which are either warm or cold; the second argument
# tells which.
_Choose = typing.Callable[[list[replicas.Replica], bool], _Result]


class ColdChoice:
    """Cold replicas and the permits of one router for them.

    :param returned_s: returns the time since a zone was returned after an
        evacuation, or infinity.
    """

    def __init__(
        self,
        bound: Bound,
        rng: random.Random,
        decisions: decision_counts.DecisionCounts,
        returned_s: cold_replicas.ReturnedS = cold_replicas.never_returned,
    ) -> None:
        """Initialise without cold replicas and without permits."""
        self._is_enabled = bound is not None
        self._rng = rng
        self._decisions = decisions
        self.replicas = cold_replicas.ColdReplicas(rng, returned_s)
        self.permits = cold_permits.ColdPermits(
            bound or cold_permits.Cfg(factor=0, slack=0)
        )
        self._unheard = unheard_replicas.UnheardReplicas(self.permits.rank)

    def is_cold(self, replica: replicas.Replica, now: float) -> bool:
        """Whether a replica may only get what permits allow."""
        return self._is_enabled and self.replicas.is_cold(replica, now)

    def choose(
        self,
        request: dispatch_messages.PlacementRequest,
        candidates: list[replicas.Replica],
        choose: _Choose,
        now: float,
    ) -> _Result:
        """Choose a replica, a cold one if no warm one has room."""
        if not self._is_enabled or not self.replicas.has_warm_ups(
            request.service
        ):
            return choose(candidates, False)
        split = self.replicas.split(candidates, request.prefix, now)
        if request.hedge_of:
            return _choose_hedge(split.warm, choose)
        chosen = self._choose_warm(request, split.warm, choose, now)
        held = [*split.ramping, *split.cold]
        if chosen is not None and not (held and _has_no_room(chosen)):
            return chosen
        permitted = [
            one
            for one in held
            if self._allows(one, now, has_warm=chosen is not None)
        ]
        beyond = choose(permitted, True) if permitted else None
        if isinstance(beyond, result.Ok):
            self._record(beyond.ok_value.replica, now)
            return beyond
        if chosen is None and split.ramping:
            return choose(split.ramping, False)
        self._decisions.add(decision_counts.Decision.REFUSED_COLD)
        return chosen or beyond or result.Err(self._problem(request))

    def record_response(self, replica: str, now: float) -> None:
        """Record a response of a replica."""
        if self._is_enabled:
            self._unheard.record_response(replica, now)

    def dump(self, now: float) -> dict[str, object]:
        """Return the state for the operator's dump."""
        return {
            'left_s': self.replicas.dump(now),
            'has_permits': self.permits.has_permits(now),
        }

    def _choose_warm(
        self,
        request: dispatch_messages.PlacementRequest,
        warm: list[replicas.Replica],
        choose: _Choose,
        now: float,
    ) -> _Result | None:
        """Choose among the warm replicas; None if there are none."""
        if not warm:
            return None
        is_jump = self._unheard.record_arrival(request.service, now)
        usable = self._unheard.usable(warm, now, is_jump=is_jump)
        if not usable and request.may_have_run:
            usable = warm
        if not usable:
            return result.Err(
                placement_problems.unavailable(
                    request.service, self._retry_s(request)
                )
            )
        chosen = choose(usable, False)
        if not is_jump and len(usable) < len(warm) and _has_no_room(chosen):
            chosen = choose(warm, False)
        if isinstance(chosen, result.Ok):
            self._unheard.record_request(chosen.ok_value.replica.id, now)
        return chosen

    def _allows(
        self, replica: replicas.Replica, now: float, *, has_warm: bool
    ) -> bool:
        """Whether a replica may get a request that warm ones do not take."""
        is_settled = self.replicas.is_settled(replica, now)
        if has_warm and not is_settled:
            return False
        per_s = self.replicas.permitted_per_s(replica, now)
        return self.permits.allows(replica, per_s, now, is_settled=is_settled)

    def _record(self, replica: replicas.Replica, now: float) -> None:
        """Record a request that a permit allowed."""
        per_s = self.replicas.permitted_per_s(replica, now)
        self.permits.spend(replica, per_s, now)
        if self.replicas.is_cold(replica, now):
            self._decisions.add(decision_counts.Decision.PLACED_ON_COLD)

    def _problem(
        self, request: dispatch_messages.PlacementRequest
    ) -> errors.Problem:
        return placement_problems.cold(
            request.service,
            self._retry_s(request),
        )

    def _retry_s(self, request: dispatch_messages.PlacementRequest) -> float:
        """Return the retry delay of a rejected request.

        Permits come at a steady rate, so callers return spread over the time
        that they accept.
        """
        return retry_delays.overload_s(
            self._rng.random(), request.left_s, self._rng
        )


def admit(
    demand: load_shedding.Demand, load: load_shedding.Load
) -> load_shedding.Admission | errors.Problem:
    """Return the cold replicas that have a free slot for a request.

    Unlike :meth:`load_shedding.LoadShedder.admit`, this ignores what other
    routers send meanwhile, as their permits bound it.
    """
    free = [
        one
        for one in load.candidates
        if not one.slots or load.estimates[one.id].total < one.slots
    ]
    if free:
        return load_shedding.Admission(free)
    return placement_problems.unavailable(demand.service)


def _choose_hedge(warm: list[replicas.Replica], choose: _Choose) -> _Result:
    """Choose a replica for a hedge, which takes no permit from others."""
    if warm:
        return choose(warm, False)
    return result.Err(placement_problems.not_hedged())


def _has_no_room(chosen: _Result) -> bool:
    """Whether a request was rejected that other replicas may take."""
    return isinstance(chosen, result.Err) and (
        chosen.err_value.status == _NO_ROOM
    )
