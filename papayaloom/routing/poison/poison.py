"""Detects poison requests, which terminate every replica that runs them.

A poison request may be retried under new request ids and at any host. Each host
tracks the terminations of replicas that all hosts have seen while a request
ran. Suspect requests are placed on separate replicas, and a condemned request
is not sent to any replica.

A request that ran to a complete response is not poison. A termination after the
response had gone beyond its first event is weaker evidence than an earlier one:
a poison request usually terminates a replica as it starts, while a request that
had run for long was probably present by chance. Where many requests are alike,
the rate of all terminations tells how probable that is.
"""

import collections

import msgspec

from papayaloom import ids
from papayaloom.process import quarantine
from papayaloom.routing.poison import (
    known_good,
    poison_evidence,
    poison_suspects,
    recent_terminations,
    termination_rate,
)


class Cfg(msgspec.Struct, frozen=True):
    """Conditions under which a request is condemned.

    :param early_ends: number of replicas that terminated before the response
        had gone beyond its first event.
    :param ends: number of replicas that terminated at any point.
    :param memory_s: seconds for which a suspect is kept.
    :param sound_s: seconds for which a complete response clears a request.
    :param unrest_s: window in which terminations of unrelated replicas count.
    :param unrest_ends: number of unrelated terminations in the window from
        which ``early_ends`` no longer suffices and ``ends`` is required.
    :param moment_s: terminations within this time count once.
    :param settle_s: seconds for which the other hosts are waited for before a
        termination counts; 0 if verdicts are made, and kept, at once.
    :param reports_each: whether a complete response is reported also if it
        clears a single termination.
    :param chance: probability, up to which a suspect is condemned, that the
        terminations under it are chance.
    :param doubt: factor on ``chance`` for each other replica that terminated
        for one under the suspect.
    """

    early_ends: int = 2
    ends: int = 3
    memory_s: float = 600
    sound_s: float = 60
    unrest_s: float = 10
    unrest_ends: int = 2
    moment_s: float = 0
    settle_s: float = 0
    reports_each: bool = False
    chance: float = 0.02
    doubt: float = 0.015


class PoisonTracker:
    """Suspect and condemned requests known to one host."""

    def __init__(
        self,
        cfg: Cfg,
        rate: termination_rate.TerminationRate | None = None,
    ) -> None:
        """Start without suspects.

        :param rate: of all requests; None if chance is ruled out because few
            requests are alike.
        """
        self._cfg = cfg
        self._rate = rate
        self._suspects: poison_suspects.Suspects = collections.OrderedDict()
        self._known_good = known_good.KnownGood(cfg.sound_s)
        self._released: dict[ids.Fingerprint, float] = {}
        self._recent = recent_terminations.RecentTerminations()
        self._running: dict[str, collections.Counter[ids.Fingerprint]] = (
            collections.defaultdict(collections.Counter)
        )
        self._pending: list[poison_evidence.Report] = []

    def treatment(
        self, fingerprint: ids.Fingerprint, now: float
    ) -> quarantine.Treatment:
        """Return how to place a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.is_expired(self._cfg.memory_s, now):
            return quarantine.Treatment.UNRESTRICTED
        if suspect.condemned_at is None:
            return quarantine.Treatment.ISOLATED
        suspect.condemned_at = now
        # Keeps new suspects from evicting it.
        self._suspects.move_to_end(fingerprint)
        if now - suspect.reported_at > self._cfg.memory_s / 2:
            # The stored report expires; hosts that start later need a new one.
            self._report_condemned(fingerprint, suspect, now)
        return quarantine.Treatment.REFUSED

    def retry_s(self) -> float:
        """Return the retry delay for a condemned request."""
        return self._cfg.memory_s

    def suspect_replicas(self) -> set[str]:
        """Return the replicas that run a suspect for this host."""
        return {
            replica
            for replica, fingerprints in self._running.items()
            if any(
                fingerprint in self._suspects for fingerprint in fingerprints
            )
        }

    def record_start(self, fingerprint: ids.Fingerprint, replica: str) -> None:
        """Record that a request was placed."""
        self._running[replica][fingerprint] += 1

    def record_attempt_end(
        self, fingerprint: ids.Fingerprint, replica: str
    ) -> None:
        """Record the end of an attempt, whatever its outcome."""
        fingerprints = self._running[replica]
        fingerprints[fingerprint] -= 1
        if fingerprints[fingerprint] <= 0:
            fingerprints.pop(fingerprint)
        if not fingerprints:
            self._running.pop(replica)

    def record_complete_response(
        self,
        fingerprint: ids.Fingerprint,
        now: float,
        began_at: float | None = None,
    ) -> None:
        """Record that a request ran to a complete response.

        :param began_at: terminations after this time are not disproved; None
            if all are.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect and began_at is not None and suspect.newest() > began_at:
            return
        self._suspects.pop(fingerprint, None)
        # A single termination condemns on no host, so it is cleared only when
        # another suspicion arrives.
        is_reported = suspect is not None and (
            self._cfg.reports_each
            or len(suspect.ends) > 1
            or suspect.condemned_at is not None
        )
        if is_reported:
            self._pending.append(poison_evidence.Report(cleared=(fingerprint,)))
        self._known_good.record(fingerprint, now, is_reported=is_reported)

    def record_termination(
        self, suspicion: poison_evidence.Suspicion, now: float
    ) -> None:
        """Record a termination while the replica ran a request of this host."""
        if not self._add_suspicion(suspicion, now):
            return
        self._pending.append(poison_evidence.Report((suspicion,)))
        suspect = self._suspects[suspicion.fingerprint]
        if suspect.condemned_at is not None:
            self._report_condemned(suspicion.fingerprint, suspect, now)

    def apply_report(self, report: poison_evidence.Report, now: float) -> None:
        """Apply a report of another host."""
        for suspicion in report.suspicions:
            if not self._add_suspicion(suspicion, now):
                self._report_cleared(suspicion.fingerprint, now)
        for released in report.released:
            self._suspects.pop(released, None)
            self._released[released] = now
        for condemned in report.condemned:
            # The store may pass on a verdict after its release.
            if condemned in self._released:
                continue
            if not self._report_cleared(condemned, now):
                suspect = self._suspects.setdefault(
                    condemned, poison_suspects.Suspect({})
                )
                suspect.condemned_at = now
                suspect.reported_at = now
        for cleared in report.cleared:
            self._known_good.record(cleared, now, is_reported=True)
            self._suspects.pop(cleared, None)

    def has_report(self) -> bool:
        """Whether there is a report for the other hosts."""
        return bool(self._pending)

    def take_report(self) -> poison_evidence.Report:
        """Return the pending report for the other hosts, and clear it."""
        pending = poison_evidence.join(self._pending)
        self._pending.clear()
        return pending

    def tick(self, now: float) -> None:
        """Remove expired suspects and terminations; condemn what has settled."""
        for name, suspect in list(self._suspects.items()):
            if suspect.is_expired(self._cfg.memory_s, now):
                self._suspects.pop(name)
        self._recent.forget_old(now)
        self._released = {
            fingerprint: at
            for fingerprint, at in self._released.items()
            if now - at < self._cfg.memory_s
        }
        if self._cfg.settle_s:
            self._release_explained(now)
            self._condemn_settled(now)

    def dump(self) -> dict[str, dict[str, object]]:
        """Return the suspects, condemned ones included."""
        return {
            fingerprint: {
                'ends': list(suspect.ends),
                'condemned': suspect.condemned_at is not None,
            }
            for fingerprint, suspect in self._suspects.items()
        }

    def _add_suspicion(
        self, suspicion: poison_evidence.Suspicion, now: float
    ) -> bool:
        """Record a suspicion and return whether it counts and is new."""
        heard_at = self._recent.record(suspicion.start, now)
        if self._known_good.is_recent(suspicion.fingerprint, now):
            return False
        suspect = self._suspects.setdefault(
            suspicion.fingerprint, poison_suspects.Suspect({})
        )
        known_good.evict_oldest(self._suspects)
        known = suspect.ends.get(suspicion.start)
        if known is not None and self._rate is None:
            return False
        termination = poison_suspects.termination(suspicion, heard_at, known)
        if termination == known:
            return False
        suspect.ends[suspicion.start] = termination
        suspect.depth = suspicion.depth
        if self._cfg.settle_s or suspect.condemned_at is not None:
            return True
        if self._is_poison(suspect, suspect.ends, now):
            suspect.condemned_at = now
        return True

    def _release_explained(self, now: float) -> None:
        """Release suspects whose terminations a part behind them explains.

        Evidence may come after a verdict, or to one host before the others.
        """
        for fingerprint, suspect in self._condemned().items():
            verdict_at = suspect.condemned_at
            suspect.condemned_at = None
            if not self._is_explained(suspect, self._settled_poison(now)):
                suspect.condemned_at = verdict_at
                continue
            self._released[fingerprint] = now
            self._pending.append(
                poison_evidence.Report(released=(fingerprint,))
            )

    def _condemn_settled(self, now: float) -> None:
        """Condemn suspects by what all hosts have reported meanwhile.

        One by one, since a condemned suspect explains terminations.
        """
        while True:
            found = self._settled_poison(now)
            culprits = [
                (fingerprint, suspect)
                for fingerprint, suspect in found.items()
                if not self._is_explained(suspect, found)
            ]
            if not culprits:
                return
            fingerprint, suspect = max(culprits, key=poison_suspects.evidence)
            suspect.condemned_at = now
            self._released.pop(fingerprint, None)
            self._report_condemned(fingerprint, suspect, now)

    def _condemned(self) -> poison_suspects.Suspects:
        return collections.OrderedDict(
            (fingerprint, suspect)
            for fingerprint, suspect in self._suspects.items()
            if suspect.condemned_at is not None
        )

    def _settled_poison(self, now: float) -> poison_suspects.Suspects:
        """Return the suspects that settled, unexplained evidence condemns."""
        explained = poison_suspects.explained_starts(self._condemned())
        settled_by = now - self._cfg.settle_s
        return collections.OrderedDict(
            (fingerprint, suspect)
            for fingerprint, suspect in self._suspects.items()
            if suspect.condemned_at is None
            and len(suspect.ends) >= self._cfg.early_ends
            and self._is_poison(
                suspect,
                poison_suspects.unexplained_ends(
                    suspect, explained, settled_by
                ),
                now,
            )
        )

    def _is_explained(
        self,
        suspect: poison_suspects.Suspect,
        found: poison_suspects.Suspects,
    ) -> bool:
        """Whether a part behind a suspect explains its terminations.

        :param found: suspects that their terminations condemn.
        """
        cfg = self._cfg
        return any(
            poison_suspects.explains(
                other, suspect, cfg.moment_s, cfg.early_ends
            )
            for other in (*self._condemned().values(), *found.values())
        )

    def _report_cleared(self, fingerprint: ids.Fingerprint, now: float) -> bool:
        """Report a complete response that the other hosts do not know of.

        :returns: whether the request had a recent complete response.
        """
        if not self._known_good.is_recent(fingerprint, now):
            return False
        if self._known_good.needs_report(fingerprint):
            self._pending.append(poison_evidence.Report(cleared=(fingerprint,)))
        return True

    def _is_poison(
        self,
        suspect: poison_suspects.Suspect,
        ends: poison_suspects.Terminations,
        now: float,
    ) -> bool:
        """Tell whether terminations of a suspect condemn it.

        :param ends: those that count.
        """
        cfg = self._cfg
        early = poison_suspects.early_ends(ends)
        early_moments = poison_suspects.count_moments(early, cfg.moment_s)
        moments = poison_suspects.count_moments(ends, cfg.moment_s)
        if moments < cfg.early_ends or self._may_be_chance(suspect, ends, now):
            return False
        if moments >= cfg.ends:
            return True
        if early_moments < cfg.early_ends:
            return False
        if poison_suspects.ran_with_condemned(suspect, self._suspects):
            return False
        unrelated = self._recent.others(suspect.ends, now - cfg.unrest_s)
        return len(unrelated) < cfg.unrest_ends

    def _may_be_chance(
        self,
        suspect: poison_suspects.Suspect,
        ends: poison_suspects.Terminations,
        now: float,
    ) -> bool:
        """Whether as many terminations are likely in the time of the runs.

        The more other replicas terminate, the stronger the evidence must be.
        """
        if self._rate is None:
            return False
        cfg = self._cfg
        moments = poison_suspects.count_moments(ends, cfg.moment_s)
        runs_s = [ran_s for one in ends.values() for ran_s in one.runs_s]
        chance = self._rate.chance(moments, runs_s, now)
        if chance >= cfg.chance:
            return True
        explained = poison_suspects.explained_starts(self._condemned())
        others = self._recent.others_for_each(ends, {*suspect.ends, *explained})
        return chance >= cfg.chance * cfg.doubt**others

    def _report_condemned(
        self,
        fingerprint: ids.Fingerprint,
        suspect: poison_suspects.Suspect,
        now: float,
    ) -> None:
        suspect.reported_at = now
        self._pending.append(poison_evidence.Report(condemned=(fingerprint,)))
