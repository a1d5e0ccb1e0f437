"""Explains where a request would be placed, without placing it.

Works on a copy of the dispatch state, so that nothing of it changes: neither
counters nor budgets, trials or rates.
"""

import collections
import random

import msgspec
import result

from papayaloom import errors, hashing, ids
from papayaloom.routing import dispatch, dispatch_messages, replicas

# Placements that are tried: where the choice is left to chance, their shares
# show how likely each replica is.
_SAMPLES = 10


class ReplicaView(msgspec.Struct, frozen=True):
    """What the host knows of one replica of the service.

    :param exclusion: why it gets no requests for the moment; empty if it may
        get some.
    :param rank: position among the replicas for the prompt prefix, from 1; 0
        without a prefix.
    :param running: estimated requests there, of all hosts.
    :param own: of them, those of this host.
    :param report_age_s: age of the load report.
    :param slowdown: how long work takes on its machine; 1 is usual.
    :param limit_per_s: rate limit that it named; None if it named none.
    :param chosen_share: share of the tried placements that chose it.
    """

    id: replicas.ReplicaId
    zone: str
    exclusion: str
    rank: int
    running: float
    own: int
    report_age_s: float
    slowdown: float
    limit_per_s: float | None
    chosen_share: float


class Preview(msgspec.Struct, frozen=True):
    """Where a request would be placed now, and why.

    :param decided_by: what the choice follows.
    :param mean: mean load of the candidates, at least.
    :param bound: load up to which a replica with the prefix is preferred; 0
        without a prefix.
    :param copy_from: replica from which the prompt prefix would be copied.
    :param problem: why the request would be rejected; None if it would not.
    :param replicas: all replicas of the service, by rank.
    """

    service: ids.ServiceId
    decided_by: str
    mean: float
    bound: float
    copy_from: str
    problem: errors.Problem | None
    replicas: tuple[ReplicaView, ...]


def preview(
    dispatcher: dispatch.Dispatcher,
    request: dispatch_messages.PlacementRequest,
    now: float,
    rng: random.Random,
) -> Preview:
    """Return where a request would be placed.

    :param dispatcher: a copy of the dispatch state.
    """
    outcomes = [
        dispatcher.copy(random.Random(rng.random())).place(request, now)
        for _ in range(_SAMPLES)
    ]
    placed = [one.ok_value for one in outcomes if isinstance(one, result.Ok)]
    rejected = [
        one.err_value for one in outcomes if isinstance(one, result.Err)
    ]
    chosen = collections.Counter(one.replica.id for one in placed)
    typical = placed[0] if placed else None
    source = typical.source if typical else None
    return Preview(
        service=request.service,
        decided_by=_decided_by(request, chosen, rejected),
        mean=typical.mean if typical else 0,
        bound=typical.bound if typical else 0,
        copy_from=source.id if source else '',
        problem=rejected[0] if rejected and not placed else None,
        replicas=_views(dispatcher, request, chosen, now),
    )


def _decided_by(
    request: dispatch_messages.PlacementRequest,
    chosen: collections.Counter[replicas.ReplicaId],
    rejected: list[errors.Problem],
) -> str:
    if not chosen:
        return 'rejected'
    if rejected:
        return f'admitted in {chosen.total()} of {_SAMPLES} tries'
    if request.prefix and len(chosen) == 1:
        return 'rank for the prompt prefix, within the load bound'
    return 'load of the replicas, by chance among those with room'


def _views(
    dispatcher: dispatch.Dispatcher,
    request: dispatch_messages.PlacementRequest,
    chosen: collections.Counter[replicas.ReplicaId],
    now: float,
) -> tuple[ReplicaView, ...]:
    listed = {
        one.id: one for one in dispatcher.replicas.listed(request.service)
    }
    names = list(listed)
    if request.prefix:
        ranked = hashing.rank(request.prefix, names, len(names))
        names = [replicas.ReplicaId(name) for name in ranked]
    estimates = dispatcher.estimates(
        request.service, list(listed.values()), now
    )
    exclusions = _exclusions(dispatcher, request, now)
    return tuple(
        ReplicaView(
            id=name,
            zone=listed[name].zone,
            exclusion=exclusions[name],
            rank=rank if request.prefix else 0,
            running=round(estimates[name].total, 1),
            own=estimates[name].own,
            report_age_s=round(estimates[name].age_s, 2),
            slowdown=round(estimates[name].slowdown, 2),
            limit_per_s=_limit_per_s(dispatcher, listed[name], now),
            chosen_share=chosen[name] / _SAMPLES,
        )
        for rank, name in enumerate(names, 1)
    )


def _exclusions(
    dispatcher: dispatch.Dispatcher,
    request: dispatch_messages.PlacementRequest,
    now: float,
) -> dict[replicas.ReplicaId, str]:
    """Return why replicas get no requests."""
    ready = dispatcher.replicas.ready(request.service, now)
    subject = dispatch_messages.subject(request)
    unsuspected = dispatcher.poison.isolated(subject, ready, now)
    found = {}
    for one in dispatcher.replicas.listed(request.service):
        reason = _state_exclusion(dispatcher, one, ready)
        unavailability = dispatcher.unavailability(one, now)
        if not reason and unavailability is not None:
            reason = unavailability.value
        if not reason and one not in unsuspected:
            reason = 'runs a request that may crash replicas'
        if not reason and dispatcher.cold.is_cold(one, now):
            reason = 'cold: it gets what permits allow'
        found[one.id] = reason
    return found


def _state_exclusion(
    dispatcher: dispatch.Dispatcher,
    replica: replicas.Replica,
    ready: list[replicas.Replica],
) -> str:
    """Return why the state of a replica keeps it out of use, or nothing."""
    if replica.state is replicas.State.DRAINING:
        return 'draining'
    if dispatcher.evacuations.is_evacuated(replica.zone):
        return 'its zone is evacuated'
    return '' if replica in ready else 'its entry has lapsed'


def _limit_per_s(
    dispatcher: dispatch.Dispatcher, replica: replicas.Replica, now: float
) -> float | None:
    if not dispatcher.rate_limits.has_limit(replica, now):
        return None
    return dispatcher.rate_limits.per_s(replica, now)
