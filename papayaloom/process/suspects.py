"""Quarantine of one router: refusals, and messages to the other routers."""

import typing

from papayaloom import errors, ids, messages
from papayaloom.process import quarantine
from papayaloom.request import core_api


class SuspectRequests:
    """Requests suspected of crashing upstreams, as known to one router."""

    def __init__(self, cfg: quarantine.Cfg) -> None:
        """Start without suspicions."""
        self.quarantine = quarantine.Quarantine(cfg)
        self._incarnations: dict[ids.RouterId, int] = {}

    def refusal(
        self,
        fingerprint: ids.Fingerprint,
        now: float,
    ) -> errors.Problem | None:
        """Return a problem if the request is refused."""
        treatment = self.quarantine.treatment(fingerprint, now)
        if treatment is not quarantine.Treatment.REFUSED:
            return None
        return errors.Problem(
            'this request crashed the upstreams that ran it',
            422,
            f'fingerprint {fingerprint} is condemned',
            setting='quarantine.crash_limit',
        )

    def must_isolate(
        self,
        fingerprint: ids.Fingerprint,
        upstream: str,
        now: float,
    ) -> bool:
        """Return whether a suspect request must not run on an upstream."""
        treatment = self.quarantine.treatment(fingerprint, now)
        return (
            treatment is quarantine.Treatment.ISOLATED
            and upstream in self.quarantine.upstreams_to_avoid(fingerprint)
        )

    def record_end(
        self,
        fingerprint: ids.Fingerprint,
        upstream: str,
        end: core_api.AttemptEnd,
        now: float,
    ) -> messages.Suspects | None:
        """Record the end of a request.

        :returns: after a crash, the suspects to send to the other routers.
        """
        suspects = None
        if end is core_api.AttemptEnd.CRASHED:
            suspects = self.quarantine.record_crash(upstream, now)
        self.quarantine.record_end(
            fingerprint, upstream, ran=end is core_api.AttemptEnd.FINISHED
        )
        return suspects if suspects and suspects.crashes else None

    def record_service_crash(
        self,
        fingerprint: ids.Fingerprint,
        upstream: str,
        now: float,
    ) -> messages.Suspects:
        """Record that a service crashed while it processed a call.

        Only this call is known to have been running on the upstream.
        """
        self.quarantine.record_start(fingerprint, upstream, now)
        return self.quarantine.record_crash(upstream, now)

    def update_members(
        self, members: typing.Iterable[messages.Member]
    ) -> list[messages.Send]:
        """Update the members; send all suspicions to those that have started.

        A member that restarts between two updates has a new incarnation.
        """
        previous = self._incarnations
        self._incarnations = {one.router: one.incarnation for one in members}
        known = self.quarantine.all_suspicions()
        if not known.crashes:
            return []
        return [
            messages.Send(router, known, messages.Priority.ADMISSION)
            for router, incarnation in self._incarnations.items()
            if previous.get(router) != incarnation
        ]

    def dump(self, now: float) -> dict[str, dict[str, object]]:
        """Return the suspect and condemned fingerprints."""
        return {
            fingerprint: {
                'crashes': list(suspicion.crashes),
                'condemned': suspicion.condemned is not None,
            }
            for fingerprint, suspicion in self.quarantine.dump(now).items()
        }


def broadcast(
    message: messages.Message,
    routers: typing.Iterable[ids.RouterId],
    me: ids.RouterId,
) -> list[messages.Send]:
    """Address a message to all routers but this one."""
    return [
        messages.Send(peer, message, messages.Priority.ADMISSION)
        for peer in routers
        if peer != me
    ]
