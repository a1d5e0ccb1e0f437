"""Quarantine of requests that crash the upstreams that process them.

A request that was running on an upstream when it crashed is a suspect and is
isolated from other suspects. Once chance is an unlikely explanation of its
crashes, it is condemned: the routers refuse it.
"""

import enum
import math
import typing

import msgspec
import xxhash

from papayaloom import ids, messages


_DAY_S = 86400


class Cfg(msgspec.Struct, frozen=True):
    """Limits of the quarantine.

    :param crash_limit: crashes of different upstreams that condemn a
        fingerprint.
    :param harmful_share: assumed fraction of requests that crash their
        upstream. A fingerprint is condemned only if the probability that its
        crashes are unrelated is not above it; a crash after a long run is weak
        evidence by itself.
    :param memory_s: seconds for which a suspicion is kept.
    :param condemned_s: seconds for which a condemned fingerprint is refused.
    :param mass_window_s: window for detecting a mass crash.
    :param mass_share: fraction of the upstreams that must crash in the window
        for a mass crash. One crash more then condemns, since the cause may
        be external.
    :param released: fingerprints that are never suspects.
    """

    crash_limit: int = 2
    harmful_share: float = 1e-6
    memory_s: float = 600
    condemned_s: float = 86400
    mass_window_s: float = 10
    mass_share: float = 0.34
    released: frozenset[ids.Fingerprint] = frozenset()


class Treatment(enum.Enum):
    """Placement rule for a request."""

    UNRESTRICTED = 'free'
    ISOLATED = 'apart'
    REFUSED = 'refused'


class Crash(msgspec.Struct, frozen=True):
    """A crash of an upstream that was running a fingerprint.

    :param at: when this router learned of it, in seconds.
    :param ran_s: how long the request had been running.
    """

    at: float
    ran_s: float


class Suspicion(msgspec.Struct):
    """Crashes of upstreams that were running a fingerprint.

    :param crashes: newest crash of each upstream.
    :param condemned: when the fingerprint was condemned; None while it is only
        a suspect.
    """

    crashes: dict[str, Crash]
    condemned: float | None = None


def request_fingerprint(
    organisation: str, target: str, body: bytes
) -> ids.Fingerprint:
    """Return the fingerprint of a request."""
    digest = xxhash.xxh3_128(f'{organisation}\0{target}\0'.encode())
    digest.update(body)
    return ids.Fingerprint(digest.hexdigest())


class RunningCount(msgspec.Struct):
    """Running requests of one fingerprint on one upstream."""

    count: int
    since: float


class BaselineCrashRate:
    """Rate of crashes that no condemned request explains."""

    def __init__(self) -> None:
        """Start with a prior of one crash a day for each upstream."""
        self.upstreams = 1
        self._since: float | None = None
        self._crashes = 0

    def record_crash(self) -> None:
        """Count a crash."""
        self._crashes += 1

    def probability(self, ran_s: float, now: float) -> float:
        """Return the probability of an unrelated crash within a run time."""
        if self._since is None:
            self._since = now
        observed_s = self.upstreams * (now - self._since) + _DAY_S
        return min(1, max(ran_s, 1) * (self._crashes + 1) / observed_s)


class Quarantine:
    """Suspect and condemned fingerprints known to one router."""

    def __init__(self, cfg: Cfg) -> None:
        """Start without suspicions."""
        self._cfg = cfg
        self._baseline = BaselineCrashRate()
        self._running: dict[str, dict[ids.Fingerprint, RunningCount]] = {}
        self._suspicions: dict[ids.Fingerprint, Suspicion] = {}
        self._recent_crashes: dict[str, float] = {}
        self._crash_count = 0

    def configure(self, cfg: Cfg) -> None:
        """Apply new limits; released fingerprints are cleared at once."""
        self._cfg = cfg
        for released in cfg.released:
            self._suspicions.pop(released, None)

    def update_upstreams(self, count: int) -> None:
        """Update the number of upstreams."""
        self._baseline.upstreams = max(count, 1)

    def treatment(self, fingerprint: ids.Fingerprint, now: float) -> Treatment:
        """Return the placement rule for a request."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or fingerprint in self._cfg.released:
            return Treatment.UNRESTRICTED
        if suspicion.condemned is not None:
            if now - suspicion.condemned < self._cfg.condemned_s:
                return Treatment.REFUSED
        newest = max(crash.at for crash in suspicion.crashes.values())
        if now - newest < self._cfg.memory_s:
            return Treatment.ISOLATED
        self._suspicions.pop(fingerprint)
        return Treatment.UNRESTRICTED

    def upstreams_to_avoid(self, fingerprint: ids.Fingerprint) -> set[str]:
        """Return the upstreams that a suspect must not run on.

        These are the upstreams that crashed while running it and those that
        are running another suspect, so that the next crash has only one
        suspect.
        """
        suspicion = self._suspicions.get(fingerprint)
        crashed = set(suspicion.crashes) if suspicion else set()
        return crashed | {
            upstream
            for upstream, fingerprints in self._running.items()
            if any(other in self._suspicions for other in fingerprints)
        }

    def record_start(
        self,
        fingerprint: ids.Fingerprint,
        upstream: str,
        now: float,
    ) -> None:
        """Record that a request started on an upstream."""
        fingerprints = self._running.setdefault(upstream, {})
        fingerprints.setdefault(fingerprint, RunningCount(0, now)).count += 1

    def record_end(
        self,
        fingerprint: ids.Fingerprint,
        upstream: str,
        *,
        ran: bool,
    ) -> None:
        """Record the end of a request.

        :param ran: the request completed, which clears it from suspicion.
        """
        fingerprints = self._running.get(upstream, {})
        running = fingerprints.get(fingerprint)
        if running is not None:
            running.count -= 1
            if not running.count:
                fingerprints.pop(fingerprint)
        suspicion = self._suspicions.get(fingerprint)
        if ran and suspicion and suspicion.condemned is None:
            self._suspicions.pop(fingerprint)

    def record_crash(self, upstream: str, now: float) -> messages.Suspects:
        """Record the crash of an upstream.

        :returns: the requests that were running on it, to be sent to the other
            routers.
        """
        ran = {
            fingerprint: now - running.since
            for fingerprint, running in self._running.pop(upstream, {}).items()
        }
        self._crash_count += 1
        crash = f'{upstream}#{self._crash_count}'
        self._record_suspects(upstream, ran, now)
        return messages.Suspects(
            tuple((fingerprint, crash) for fingerprint in ran),
            tuple(ran.values()),
        )

    def handle(
        self,
        sender: ids.RouterId,
        message: messages.Suspects,
        now: float,
    ) -> list[messages.Send]:
        """Add the suspects reported by another router."""
        by_upstream: dict[str, dict[ids.Fingerprint, float]] = {}
        for (fingerprint, crash), ran_s in zip(message.crashes, message.ran_s):
            upstream = crash.rpartition('#')[0]
            by_upstream.setdefault(upstream, {})[fingerprint] = ran_s
        for crashed, ran in by_upstream.items():
            self._record_suspects(crashed, ran, now)
        return []

    def all_suspicions(self) -> messages.Suspects:
        """Return all suspicions, for a router that has just started."""
        crashes = [
            (fingerprint, upstream, crash.ran_s)
            for fingerprint, suspicion in self._suspicions.items()
            for upstream, crash in suspicion.crashes.items()
        ]
        return messages.Suspects(
            tuple(
                (fingerprint, f'{upstream}#0')
                for fingerprint, upstream, _ in crashes
            ),
            tuple(ran_s for _, _, ran_s in crashes),
        )

    def has_condemned(
        self, fingerprints: typing.Iterable[ids.Fingerprint]
    ) -> bool:
        """Return whether one of the requests is condemned.

        It is then taken as the cause of a crash that it was running in.
        """
        return any(
            self._is_condemned(fingerprint) for fingerprint in fingerprints
        )

    def dump(self, now: float) -> dict[ids.Fingerprint, Suspicion]:
        """Return the suspicions, condemned ones included."""
        return dict(self._suspicions)

    def tick(self, now: float) -> list[messages.Send]:
        """Remove expired suspicions."""
        for fingerprint in list(self._suspicions):
            self.treatment(fingerprint, now)
        return []

    def _is_condemned(self, fingerprint: ids.Fingerprint) -> bool:
        suspicion = self._suspicions.get(fingerprint)
        return suspicion is not None and suspicion.condemned is not None

    def _record_suspects(
        self,
        upstream: str,
        ran: dict[ids.Fingerprint, float],
        now: float,
    ) -> None:
        """Record a crash for the fingerprints that were running."""
        self._recent_crashes[upstream] = now
        if self.has_condemned(ran):
            return
        for fingerprint, ran_s in ran.items():
            if fingerprint not in self._cfg.released:
                suspicion = self._suspicions.setdefault(
                    fingerprint, Suspicion({})
                )
                suspicion.crashes[upstream] = Crash(now, ran_s)
        # A mass crash raises the limit by one crash only. Otherwise a request
        # that keeps crashing upstreams would itself keep up the mass crash
        # that prevents its condemnation.
        limit = self._cfg.crash_limit + self._is_mass_crash(now)
        for suspect in ran:
            self._condemn_if_unlikely(suspect, limit, now)
        self._baseline.record_crash()

    def _condemn_if_unlikely(
        self, fingerprint: ids.Fingerprint, limit: int, now: float
    ) -> None:
        """Condemn a fingerprint if its crashes are unlikely to be unrelated.

        :param limit: minimum number of crashes of different upstreams.
        """
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or suspicion.condemned is not None:
            return
        recent = [
            crash
            for crash in suspicion.crashes.values()
            if now - crash.at < self._cfg.memory_s
        ]
        probability = math.prod(
            self._baseline.probability(crash.ran_s, now) for crash in recent
        )
        if len(recent) >= limit:
            if probability <= self._cfg.harmful_share:
                suspicion.condemned = now

    def _is_mass_crash(self, now: float) -> bool:
        """Return whether many upstreams crash at once, as in a power cut."""
        window = self._cfg.mass_window_s
        self._recent_crashes = {
            upstream: at
            for upstream, at in self._recent_crashes.items()
            if now - at < window
        }
        # In a small fleet, up to two crashes may still be a coincidence.
        threshold = max(2, self._cfg.mass_share * self._baseline.upstreams)
        return len(self._recent_crashes) > threshold
