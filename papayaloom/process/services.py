"""Plain services: replica selection, ejection and retry budgets."""

import random
import typing

import result

from papayaloom import errors, ids
from papayaloom.process import targets
from papayaloom.routing.health import ejection
from papayaloom.request import core_api
from papayaloom.version import snapshot


class Services:
    """Replicas of all services, as seen by one router.

    :param zone: availability zone of this router; its replicas are preferred.
    """

    def __init__(
        self,
        settings: snapshot.Snapshot,
        rng: random.Random,
        zone: ids.ZoneId,
    ) -> None:
        """Start without services."""
        self.services: dict[ids.ServiceId, targets.ServiceState] = {}
        self._settings = settings
        self._rng = rng
        self._zone = zone

    def configure(self, settings: snapshot.Snapshot) -> None:
        """Apply a new settings version."""
        self._settings = settings
        for state in self.services.values():
            state.configure(settings)

    def update(
        self,
        listed: typing.Mapping[str, list[targets.Upstream]],
    ) -> None:
        """Replace the replicas of all services."""
        for name in sorted({*listed, *self.services}):
            service = ids.ServiceId(name)
            if service not in self.services:
                self.services[service] = targets.ServiceState(
                    service,
                    self._settings,
                    self._rng,
                )
            self.services[service].update(listed.get(name, ()))

    def choose_replica(
        self,
        service: ids.ServiceId,
        avoid: tuple[str, ...],
        now: float,
    ) -> result.Result[core_api.Replica, errors.Problem]:
        """Choose a random replica, preferably in the zone of this router.

        Ejected replicas are used only if no other is available.
        """
        state = self.services.get(service)
        if state is None:
            return result.Err(errors.Problem('unknown service', 404))
        usable = [
            one
            for one in state.replicas.values()
            if not one.leaving and one.name not in avoid
        ]
        if not usable:
            problem = errors.Problem(
                'no replica of the service is left', 503, retry_after_s=1
            )
            return result.Err(problem)
        chosen = min(usable, key=lambda one: self._sort_key(state, one, now))
        status = state.ejection.status(chosen.name, now)
        if status is ejection.Status.TRIAL:
            state.ejection.start_trial(chosen.name, now)
        is_local = chosen.zone == self._zone
        reason = 'own zone' if is_local else f'zone {chosen.zone}'
        return result.Ok(
            core_api.Replica(
                chosen.name, chosen.url, f'{reason}, {status.value}'
            ),
        )

    def record_outcome(
        self, upstream: str, end: core_api.AttemptEnd, now: float
    ) -> None:
        """Update ejection and retry budget after an attempt."""
        for state in self.services.values():
            if upstream not in state.replicas:
                continue
            if end is core_api.AttemptEnd.FINISHED:
                state.ejection.record_success(upstream, now)
                state.budgets.record_success(upstream, now)
            elif end is not core_api.AttemptEnd.ABANDONED:
                state.ejection.record_failure(upstream, now)

    def dump(self, now: float) -> dict[str, dict[str, object]]:
        """Return the state for the status dump."""
        return {
            name: {
                'replicas': sorted(state.replicas),
                'ejection': state.ejection.dump(now),
                'retries': state.budgets.dump(now),
            }
            for name, state in self.services.items()
        }

    def _sort_key(
        self,
        state: targets.ServiceState,
        one: targets.Upstream,
        now: float,
    ) -> tuple[bool, bool, float]:
        status = state.ejection.status(one.name, now)
        return (
            status is ejection.Status.EJECTED,
            one.zone != self._zone,
            self._rng.random(),
        )
