"""Plain services: choice of a replica, ejection, retry budgets."""

import random
import typing

import result

from papayaloom import errors, ids
from papayaloom.process import ejection, targets
from papayaloom.request import desk
from papayaloom.version import snapshot


class Services:
    """Replicas of all services, as seen by one router.

    :param zone: own availability zone; its replicas go first.
    """

    def __init__(
        self,
        settings: snapshot.Snapshot,
        rng: random.Random,
        zone: ids.ZoneId,
    ) -> None:
        """Start without services."""
        self.services: dict[ids.ServiceId, targets.ServiceParts] = {}
        self._settings = settings
        self._rng = rng
        self._zone = zone

    def configure(self, settings: snapshot.Snapshot) -> None:
        """Take the settings of a new version."""
        self._settings = settings
        for parts in self.services.values():
            parts.configure(settings)

    def update(
        self,
        listed: typing.Mapping[str, list[targets.Upstream]],
    ) -> None:
        """Take the newest replicas of all services."""
        for name in sorted({*listed, *self.services}):
            service = ids.ServiceId(name)
            if service not in self.services:
                self.services[service] = targets.ServiceParts(
                    service,
                    self._settings,
                    self._rng,
                )
            self.services[service].update(listed.get(name, ()))

    def replica(
        self,
        service: ids.ServiceId,
        avoid: tuple[str, ...],
        now: float,
    ) -> result.Result[desk.Replica, errors.Problem]:
        """Choose a replica: the own zone first, then at random.

        An ejected replica is used only when no other is left.
        """
        parts = self.services.get(service)
        if parts is None:
            return result.Err(errors.Problem('unknown service', 404))
        usable = [
            one
            for one in parts.replicas.values()
            if not one.leaving and one.name not in avoid
        ]
        if not usable:
            problem = errors.Problem(
                'no replica of the service is left', 503, retry_after_s=1
            )
            return result.Err(problem)
        chosen = min(usable, key=lambda one: self._distance(parts, one, now))
        standing = parts.ejection.standing(chosen.name, now)
        if standing is ejection.Standing.TRIAL:
            parts.ejection.try_out(chosen.name, now)
        same = chosen.zone == self._zone
        reason = 'own zone' if same else f'zone {chosen.zone}'
        return result.Ok(
            desk.Replica(
                chosen.name, chosen.url, f'{reason}, {standing.value}'
            ),
        )

    def served(self, upstream: str, end: desk.End, now: float) -> None:
        """Learn from the end of a try."""
        for parts in self.services.values():
            if upstream not in parts.replicas:
                continue
            if end is desk.End.FINISHED:
                parts.ejection.succeeded(upstream, now)
                parts.budgets.succeeded(upstream, now)
            elif end is not desk.End.ABANDONED:
                parts.ejection.failed(upstream, now)

    def dump(self, now: float) -> dict[str, dict[str, object]]:
        """Return the state for the dump."""
        return {
            name: {
                'replicas': sorted(parts.replicas),
                'ejection': parts.ejection.dump(now),
                'retries': parts.budgets.dump(now),
            }
            for name, parts in self.services.items()
        }

    def _distance(
        self,
        parts: targets.ServiceParts,
        one: targets.Upstream,
        now: float,
    ) -> tuple[bool, bool, float]:
        standing = parts.ejection.standing(one.name, now)
        return (
            standing is ejection.Standing.EJECTED,
            one.zone != self._zone,
            self._rng.random(),
        )
