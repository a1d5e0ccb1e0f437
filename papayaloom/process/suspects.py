"""Quarantine at one router, with its messages and refusals."""

import typing

from papayaloom import errors, ids, messages
from papayaloom.process import quarantine
from papayaloom.request import desk


class Suspects:
    """Requests that may crash upstreams, as known to one router."""

    def __init__(self, cfg: quarantine.Cfg) -> None:
        """Start without suspicions."""
        self.quarantine = quarantine.Quarantine(cfg)
        self._incarnations: dict[ids.RouterId, int] = {}

    def refusal(
        self,
        mark: ids.Fingerprint,
        now: float,
    ) -> errors.Problem | None:
        """Return why a request is refused, or nothing."""
        treatment = self.quarantine.treatment(mark, now)
        if treatment is not quarantine.Treatment.REFUSED:
            return None
        return errors.Problem(
            'this request crashed the upstreams that ran it',
            422,
            f'fingerprint {mark} is condemned',
            setting='quarantine.crash_limit',
        )

    def keeps_apart(
        self,
        mark: ids.Fingerprint,
        upstream: str,
        now: float,
    ) -> bool:
        """Tell whether a suspect must not run on an upstream."""
        treatment = self.quarantine.treatment(mark, now)
        return (
            treatment is quarantine.Treatment.APART
            and upstream in self.quarantine.avoid(mark)
        )

    def ended(
        self,
        mark: ids.Fingerprint,
        upstream: str,
        end: desk.End,
        now: float,
    ) -> messages.Suspects | None:
        """Note the end of a request.

        :returns: the suspects of a crash, for the other routers.
        """
        suspects = None
        if end is desk.End.CRASHED:
            suspects = self.quarantine.crashed(upstream, now)
        self.quarantine.finished(mark, upstream, ran=end is desk.End.FINISHED)
        return suspects if suspects and suspects.crashes else None

    def crashed_by(
        self,
        mark: ids.Fingerprint,
        upstream: str,
        now: float,
    ) -> messages.Suspects:
        """Note that a service crashed while it ran a call.

        Only this call is known to have run there.
        """
        self.quarantine.started(mark, upstream, now)
        return self.quarantine.crashed(upstream, now)

    def update_members(
        self, members: typing.Iterable[messages.Member]
    ) -> list[messages.Send]:
        """Take the other routers; tells those that have started what it knows.

        A router that starts again within one membership has another
        incarnation.
        """
        before = self._incarnations
        self._incarnations = {one.router: one.incarnation for one in members}
        known = self.quarantine.known()
        if not known.crashes:
            return []
        return [
            messages.Send(router, known, messages.Priority.ADMISSION)
            for router, incarnation in self._incarnations.items()
            if before.get(router) != incarnation
        ]

    def dump(self, now: float) -> dict[str, dict[str, object]]:
        """Return the suspicions, condemned ones included."""
        return {
            mark: {
                'crashes': list(suspicion.crashes),
                'condemned': suspicion.condemned is not None,
            }
            for mark, suspicion in self.quarantine.dump(now).items()
        }


def broadcast(
    message: messages.Message,
    routers: typing.Iterable[ids.RouterId],
    me: ids.RouterId,
) -> list[messages.Send]:
    """Send a message to all other routers."""
    return [
        messages.Send(peer, message, messages.Priority.ADMISSION)
        for peer in routers
        if peer != me
    ]
