"""Decision state of a forwarding router: replicas, loads, ejections, budgets.

Owned by one actor. Takes typed facts and the time, and returns placements.
"""

import random
import typing

import msgspec
import result

from papayaloom import errors, ids
from papayaloom.process import (
    arrival_rates,
    budgets,
    ejection,
    pauses,
    poison,
    quarantine,
    replicas,
    request_counts,
    sightings,
    spread,
)
from papayaloom.request import onward

# A replica that could not be reached gets no new work for this long.
_UNREACHABLE_S = 2.0
_NONE_READY_S = 0.5
_SAVED_SHARE = 0.5
_IDLE_SHARE = 0.35
_RATIO_SHARE = 0.6
_NO_BUDGET_S = 1.0
# Callers of a paused service come back spread over so much of the pause more.
_PAUSE_SPREAD = 0.25
_LEAST_WORK_S = 0.02
_USUAL_WORK_S = 1.0
_CENSUS_EXPIRY_S = 3.0


class RepeatBound(msgspec.Struct, frozen=True):
    """Bound on repeats of all routers together, for each service.

    In every window, repeats may be ``ratio`` x the requests + ``slack``.
    """

    ratio: float = 0.2
    slack: float = 52
    window_s: float = 10

    def share(self, hosts: int) -> budgets.Cfg:
        """Return the budget of one of so many routers.

        Saved and refilled retries may fall into one window, and a router that
        restarts saves anew, so their sum stays under the slack.
        """
        slack = self.slack / max(hosts, 1)
        saved = max(slack * _SAVED_SHARE, 1)
        return budgets.Cfg(
            budget_ratio=self.ratio * _RATIO_SHARE,
            saved_retries=saved,
            idle_retries_per_s=slack * _IDLE_SHARE / self.window_s,
            first_retries=saved,
        )


class Cfg(msgspec.Struct, frozen=True):
    """Settings of the parts."""

    lapses: replicas.Cfg = replicas.Cfg()
    spreading: spread.Cfg = spread.Cfg()
    ejecting: ejection.Cfg = ejection.Cfg(
        consecutive=4, window=16, base_s=2, longest_s=8
    )
    repeats: RepeatBound = RepeatBound()
    blaming: poison.Cfg = poison.Cfg()


class Wanted(msgspec.Struct, frozen=True):
    """A request that needs a replica.

    :param prefix: name of its shared prompt prefix, or empty.
    :param mark: what it has in common with its returns.
    :param tried: replicas that have had it.
    :param is_repeat: a replica has received it before.
    """

    service: ids.ServiceId
    prefix: str = ''
    tried: frozenset[str] = frozenset()
    is_repeat: bool = False
    mark: ids.Fingerprint = ids.Fingerprint('')


class Outcome(msgspec.Struct, frozen=True):
    """End of an attempt.

    :param is_failure: the replica failed; None when it was not at fault.
    :param is_unreachable: no connection to it could be made.
    :param mark: what the request has in common with its returns.
    :param suspicion: the replica ended meanwhile.
    :param is_whole: the caller got a whole answer that is no failure.
    """

    service: ids.ServiceId
    replica: replicas.ReplicaId
    is_failure: bool | None = None
    is_unreachable: bool = False
    mark: ids.Fingerprint = ids.Fingerprint('')
    suspicion: poison.Suspicion | None = None
    is_whole: bool = False


Placed = result.Result[spread.Choice, errors.Problem]


class Dispatch:
    """Placement of requests at the replicas of all services."""

    def __init__(self, cfg: Cfg, rng: random.Random, hosts: int = 1) -> None:
        """Start without replicas.

        :param hosts: number of routers of the fleet.
        """
        self.replicas = replicas.Replicas(cfg.lapses)
        self.poison = poison.PoisonTracker(cfg.blaming)
        self._cfg = cfg
        self._rng = rng
        self._loads = sightings.Loads()
        self._hosts = hosts
        self._fleet = request_counts.RequestCounts()
        self._fleet_at = float('-inf')
        self._by_service: arrival_rates.ArrivalRates[ids.ServiceId] = (
            arrival_rates.ArrivalRates()
        )
        self._by_first: arrival_rates.ArrivalRates[replicas.ReplicaId] = (
            arrival_rates.ArrivalRates()
        )
        self._budgets = budgets.RetryBudgets(cfg.repeats.share(hosts))
        self._ejections: dict[ids.ServiceId, ejection.Ejection] = {}
        self._unreachable: dict[str, float] = {}
        self._pauses = pauses.Pauses()

    def resize(self, hosts: int) -> None:
        """Take the number of routers of the fleet."""
        if hosts != self._hosts:
            self._hosts = hosts
            self._budgets.configure(self._cfg.repeats.share(hosts))

    def place(self, wanted: Wanted, now: float) -> Placed:
        """Return the replica for an attempt, and count it there."""
        treatment = self.poison.treatment(wanted.mark, now)
        if treatment is quarantine.Treatment.REFUSED:
            return result.Err(_condemned(wanted, self.poison.retry_s()))
        ready = self.replicas.ready(wanted.service, now)
        if not ready:
            return result.Err(_none_ready(wanted))
        ejections = self._ejection(wanted.service)
        ejections.update_upstreams(one.id for one in ready)
        candidates = self._candidates(wanted, ready, now)
        if treatment is quarantine.Treatment.ISOLATED:
            candidates = self._apart(candidates)
        if not candidates:
            return result.Err(_none_ready(wanted, self._pause_s(ready, now)))
        if wanted.is_repeat and not self._budgets.spend(wanted.service, now):
            return result.Err(
                errors.Problem(
                    'the retry budget is spent', 503, retry_after_s=_NO_BUDGET_S
                )
            )
        offer = self._offer(wanted, candidates, now)
        sight = self._loads.sighted([one.id for one in ready], now)
        choice = spread.choose(
            offer,
            sight,
            self._traffic(wanted.service, sight, now),
            wanted.prefix,
            self._cfg.spreading,
            self._rng,
        )
        self._note(wanted, choice, now)
        chosen = choice.replica.id
        if ejections.status(chosen, now) is ejection.Status.TRIAL:
            ejections.start_trial(chosen, now)
        self._loads.started(chosen)
        self.poison.started(wanted.mark, chosen)
        return result.Ok(choice)

    def ended(self, outcome: Outcome, now: float) -> None:
        """Take the end of an attempt."""
        self._loads.ended(outcome.replica)
        self.poison.stopped(outcome.mark, outcome.replica)
        if outcome.suspicion is not None:
            self.poison.ended(outcome.suspicion, now)
        if outcome.is_whole:
            self.poison.ran(outcome.mark, now)
        if outcome.is_unreachable:
            self._unreachable[outcome.replica] = now + _UNREACHABLE_S
        if outcome.is_failure is None:
            return
        ejections = self._ejection(outcome.service)
        if outcome.is_failure:
            ejections.record_failure(outcome.replica, now)
            return
        ejections.record_success(outcome.replica, now)
        self._budgets.record_success(outcome.service, now)

    def reported(
        self, replica: replicas.ReplicaId, load: onward.Load, now: float
    ) -> None:
        """Take the load that a replica states."""
        self._loads.reported(replica, load, now)

    def own_request_counts(self, now: float) -> request_counts.RequestCounts:
        """Return the requests of this router."""
        return request_counts.RequestCounts(
            self._loads.own(),
            self._by_first.counts(request_counts.ARRIVAL_WINDOW_S, now),
            self._by_service.counts(request_counts.ARRIVAL_WINDOW_S, now),
        )

    def paused(
        self, replica: replicas.Replica, pause_s: float, now: float
    ) -> None:
        """Take a replica's wish to get nothing for some seconds."""
        self._pauses.add(replica, pause_s, now)

    def update_fleet_counts(
        self, totals: request_counts.RequestCounts, now: float
    ) -> None:
        """Take the requests of all routers."""
        names = [one.id for one in self.replicas.dump()]
        self._loads.shared(
            names, totals.running, now - request_counts.TRANSIT_S
        )
        self._fleet = totals
        self._fleet_at = now

    def forget(self, gone: typing.Iterable[replicas.ReplicaId]) -> None:
        """Drop what is known of replicas that are gone or started anew."""
        for replica in gone:
            self._loads.forget(replica)
            self._by_first.forget(replica)
            self._unreachable.pop(replica, None)

    def dump(self, now: float) -> dict[str, object]:
        """Return the state for the dump."""
        listed = self.replicas.dump()
        names = [one.id for one in listed]
        return {
            'replicas': listed,
            'loads': {
                name: one.total
                for name, one in self._loads.sighted(names, now).items()
            },
            'unreachable': dict(self._unreachable),
            'paused_s': self._pauses.dump(now),
            'ejections': {
                service: part.dump(now)
                for service, part in self._ejections.items()
            },
            'retries_left': self._budgets.dump(now),
            'poison': self.poison.dump(),
        }

    def _note(self, wanted: Wanted, choice: spread.Choice, now: float) -> None:
        self._by_service.note(wanted.service, now)
        if choice.first is not None:
            self._by_first.note(choice.first.id, now)

    def _traffic(
        self,
        service: ids.ServiceId,
        sight: dict[str, sightings.Sighting],
        now: float,
    ) -> spread.Traffic:
        """Return the traffic of the other routers."""
        arrived = self._arrived(service, now)
        running = sum(one.total for one in sight.values())
        others = (
            (self._hosts - 1) / self._hosts / request_counts.ARRIVAL_WINDOW_S
        )
        return spread.Traffic(
            per_s=arrived * others,
            first_per_s=lambda name: self._first(name, now) * others,
            work_s=_work_s(running, arrived / request_counts.ARRIVAL_WINDOW_S),
            is_summed=self._has_sums(now),
        )

    def _has_sums(self, now: float) -> bool:
        return now - self._fleet_at < _CENSUS_EXPIRY_S

    def _arrived(self, service: ids.ServiceId, now: float) -> int:
        """Return the arrivals at all routers, if need be as at this one."""
        if self._has_sums(now):
            return self._fleet.arrived.get(service, 0)
        return self._by_service.count(service, self._fleet_span_s(), now)

    def _first(self, replica: str, now: float) -> int:
        """Return the arrivals at all routers that rank a replica first."""
        if self._has_sums(now):
            return self._fleet.first.get(replica, 0)
        name = replicas.ReplicaId(replica)
        return self._by_first.count(name, self._fleet_span_s(), now)

    def _fleet_span_s(self) -> float:
        """Return the span in which this router gets what all get in one."""
        return request_counts.ARRIVAL_WINDOW_S * self._hosts

    def _offer(
        self,
        wanted: Wanted,
        candidates: list[replicas.Replica],
        now: float,
    ) -> spread.Offer:
        if not wanted.prefix:
            return spread.Offer(candidates)
        holders = [
            one
            for one in self.replicas.listed(wanted.service)
            if self._unreachable.get(one.id, 0) <= now
        ]
        newcomers = self.replicas.newcomers(wanted.service, now)
        return spread.Offer(candidates, holders, newcomers)

    def _candidates(
        self,
        wanted: Wanted,
        ready: list[replicas.Replica],
        now: float,
    ) -> list[replicas.Replica]:
        """Return the replicas that may get it, the sound ones if any are."""
        untried = [
            one
            for one in ready
            if one.id not in wanted.tried and not self._pauses.left_s(one, now)
        ]
        reachable = [
            one for one in untried if self._unreachable.get(one.id, 0) <= now
        ]
        ejections = self._ejection(wanted.service)
        sound = [
            one
            for one in reachable
            if ejections.status(one.id, now) is not ejection.Status.EJECTED
        ]
        return sound or reachable or untried

    def _apart(
        self, candidates: list[replicas.Replica]
    ) -> list[replicas.Replica]:
        """Return replicas without a suspect, if there are any.

        So the next end of a replica has one suspect only.
        """
        taken = self.poison.suspect_replicas()
        return [one for one in candidates if one.id not in taken] or candidates

    def _pause_s(self, ready: list[replicas.Replica], now: float) -> float:
        """Return when to come back if the replicas of a service pause."""
        shortest_s = pauses.shortest_s(self._pauses, ready, now)
        return shortest_s * self._rng.uniform(1, 1 + _PAUSE_SPREAD)

    def _ejection(self, service: ids.ServiceId) -> ejection.Ejection:
        if service not in self._ejections:
            self._ejections[service] = ejection.Ejection(
                self._cfg.ejecting, self._rng
            )
        return self._ejections[service]


def _work_s(running: float, per_s: float) -> float:
    """Return how long a request stays at a replica, by Little's law."""
    if not per_s:
        return _USUAL_WORK_S
    return max(running / per_s, _LEAST_WORK_S)


def _none_ready(wanted: Wanted, pause_s: float = 0) -> errors.Problem:
    """Return the refusal of a request that no replica can take.

    :param pause_s: time for which all of them pause, 0 if they don't.
    """
    return errors.Problem(
        'no replica can take the request',
        503,
        detail=f'service {wanted.service}',
        retry_after_s=pause_s or _NONE_READY_S,
    )


def _condemned(wanted: Wanted, retry_s: float) -> errors.Problem:
    """Return the refusal of a request that replicas end under."""
    return errors.Problem(
        'replicas ended while they ran this request',
        503,
        detail=f'fingerprint {wanted.mark} is condemned',
        retry_after_s=retry_s,
    )
