"""Detects poison in requests: whole requests, and parts of their prompts.

A replica may terminate whenever it responds to a prompt that contains a certain
part, at any event of the response. Requests with that part differ in all else, so no fingerprint of
a whole request repeats. Each part that other requests may share is therefore
tracked by itself:

- A part is suspect if it was in a request that ran when the replica terminated.
  Terminations at the same moment count once, since they may have one cause
  outside of the requests.
- A replica that terminates for another reason runs many requests. So a suspect
  is not condemned while chance explains its terminations, by the time for which
  the requests had run and by the other replicas that terminated.
- Only a complete response, from its beginning, acquits all parts of its prompt
  of earlier terminations. A part that was in one of the last seconds is not
  suspected, so the parts that most requests share stay free in a mass
  termination.
- Hosts wait a moment for each other's evidence. Of several parts with the same
  terminations the last in the prompt is condemned, and terminations that it
  explains do not count against the others: the first part may be in all
  requests. Evidence may come after a verdict: a condemned part is released when
  a part behind it explains its terminations.
- Suspect parts are not isolated: sound requests with them acquit them soon.

The evidence belongs to each host and expires; hosts share it by reports. A host
that has just started takes the reports from the store or from another host.
"""

import msgspec

from papayaloom import ids
from papayaloom.process import quarantine
from papayaloom.routing import replicas
from papayaloom.routing.poison import (
    poison,
    poison_evidence,
    termination_rate,
)

_PARTS_CFG = poison.Cfg(sound_s=5, moment_s=1, settle_s=0.5, reports_each=True)


class Subject(msgspec.Struct, frozen=True):
    """What a request has in common with others.

    :param fingerprint: equal for repetitions of the request.
    :param parts: names of the prompt parts that other requests may share.
    """

    fingerprint: ids.Fingerprint = ids.Fingerprint('')
    parts: tuple[ids.Fingerprint, ...] = ()


class Attempt(msgspec.Struct, frozen=True):
    """An attempt that has ended.

    :param began_at: time at which it was sent.
    :param suspicion: set if the replica terminated during the attempt.
    :param is_success: the response was complete and no error. The rest of a
        stream that had begun at another replica is not: what terminates
        replicas may have been behind it.
    """

    subject: Subject
    replica: replicas.ReplicaId
    began_at: float
    suspicion: poison_evidence.Suspicion | None = None
    is_success: bool = False


class PoisonDetector:
    """Suspect and condemned requests and prompt parts known to one host."""

    def __init__(self, cfg: poison.Cfg) -> None:
        """Start without suspects."""
        self._requests = poison.PoisonTracker(cfg)
        self._rate = termination_rate.TerminationRate()
        self._parts = poison.PoisonTracker(_PARTS_CFG, self._rate)

    def condemned(self, subject: Subject, now: float) -> ids.Fingerprint | None:
        """Return what is condemned of a request, or None if it may run."""
        refused = quarantine.Treatment.REFUSED
        if self._requests.treatment(subject.fingerprint, now) is refused:
            return subject.fingerprint
        for part in subject.parts:
            if self._parts.treatment(part, now) is refused:
                return part
        return None

    def is_suspect(self, subject: Subject, now: float) -> bool:
        """Whether a replica terminated while it ran the request."""
        treatment = self._requests.treatment(subject.fingerprint, now)
        return treatment is not quarantine.Treatment.UNRESTRICTED

    def isolated(
        self,
        subject: Subject,
        candidates: list[replicas.Replica],
        now: float,
    ) -> list[replicas.Replica]:
        """Return the replicas for a request, without those that run a suspect.

        If a replica then crashes, only one suspect can be the cause. A request
        that is not suspect may go to all, as may one without other replicas.
        """
        treatment = self._requests.treatment(subject.fingerprint, now)
        if treatment is not quarantine.Treatment.ISOLATED:
            return candidates
        suspect_replicas = self._requests.suspect_replicas()
        return [
            one for one in candidates if one.id not in suspect_replicas
        ] or candidates

    def retry_s(self) -> float:
        """Return the retry delay for a condemned request."""
        return self._requests.retry_s()

    def record_start(self, subject: Subject, replica: str) -> None:
        """Record that a request was placed."""
        self._requests.record_start(subject.fingerprint, replica)

    def record_attempt(self, attempt: Attempt, now: float) -> None:
        """Record the end of an attempt and what it says about the request."""
        fingerprint = attempt.subject.fingerprint
        self._requests.record_attempt_end(fingerprint, attempt.replica)
        if attempt.subject.parts:
            self._rate.record(
                now - attempt.began_at,
                now,
                is_terminated=attempt.suspicion is not None,
            )
        if attempt.suspicion is not None:
            self._record_termination(attempt, attempt.suspicion, now)
        if attempt.is_success:
            self._requests.record_complete_response(fingerprint, now)
            for part in attempt.subject.parts:
                self._parts.record_complete_response(
                    part, now, attempt.began_at
                )

    def apply_report(self, report: poison_evidence.Report, now: float) -> None:
        """Apply a report of another host."""
        self._requests.apply_report(report, now)
        if report.parts is not None:
            self._parts.apply_report(report.parts, now)

    def has_report(self) -> bool:
        """Whether there is a report for the other hosts."""
        return self._requests.has_report() or self._parts.has_report()

    def take_report(self) -> poison_evidence.Report:
        """Return the pending report for the other hosts, and clear it."""
        report = self._requests.take_report()
        if not self._parts.has_report():
            return report
        return msgspec.structs.replace(report, parts=self._parts.take_report())

    def tick(self, now: float) -> None:
        """Remove expired suspects and terminations."""
        self._requests.tick(now)
        self._parts.tick(now)

    def dump(self) -> dict[str, object]:
        """Return the suspects, condemned ones included."""
        parts = {
            f'part {name}': suspect
            for name, suspect in self._parts.dump().items()
        }
        return {**self._requests.dump(), **parts}

    def _record_termination(
        self, attempt: Attempt, suspicion: poison_evidence.Suspicion, now: float
    ) -> None:
        self._requests.record_termination(suspicion, now)
        for depth, part in enumerate(attempt.subject.parts):
            found = poison_evidence.Suspicion(
                part,
                suspicion.start,
                suspicion.has_begun,
                depth,
                ran_s=now - attempt.began_at,
            )
            self._parts.record_termination(found, now)
