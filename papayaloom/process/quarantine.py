"""Quarantine of requests that crash the upstreams which run them."""

import enum
import math
import typing

import msgspec
import xxhash

from papayaloom import ids, messages


_DAY_S = 86400


class Cfg(msgspec.Struct, frozen=True):
    """When a fingerprint is condemned.

    :param crash_limit: crashes on different upstreams that condemn.
    :param harmful_share: share of requests that are assumed to crash what runs
        them; a crash after a long run is weak evidence by itself.
    :param memory_s: seconds for which a suspicion is kept.
    :param condemned_s: seconds for which a condemnation is kept.
    :param mass_window_s: window in which crashes are compared.
    :param mass_share: share of the upstreams that crash in the window from
        which on one more crash is needed: their surroundings may be the cause.
    :param released: fingerprints that are never condemned.
    """

    crash_limit: int = 2
    harmful_share: float = 1e-6
    memory_s: float = 600
    condemned_s: float = 86400
    mass_window_s: float = 10
    mass_share: float = 0.34
    released: frozenset[ids.Fingerprint] = frozenset()


class Treatment(enum.Enum):
    """How a request is placed."""

    FREE = 'free'
    APART = 'apart'
    REFUSED = 'refused'


class Crash(msgspec.Struct, frozen=True):
    """A crash of an upstream that ran a fingerprint.

    :param at: when it was heard of, in seconds.
    :param ran_s: how long the request had run.
    """

    at: float
    ran_s: float


class Suspicion(msgspec.Struct):
    """Crashes of upstreams that ran a fingerprint.

    :param crashes: newest crash of each upstream.
    :param condemned: when it was condemned; nothing while it is suspect.
    """

    crashes: dict[str, Crash]
    condemned: float | None = None


def fingerprint(organisation: str, target: str, body: bytes) -> ids.Fingerprint:
    """Return the fingerprint of a request."""
    digest = xxhash.xxh3_128(f'{organisation}\0{target}\0'.encode())
    digest.update(body)
    return ids.Fingerprint(digest.hexdigest())


class Runs(msgspec.Struct):
    """Running requests of one fingerprint at one upstream."""

    count: int
    since: float


class Background:
    """Rate of crashes that no condemned request explains."""

    def __init__(self) -> None:
        """Start as if each upstream crashed once a day."""
        self.upstreams = 1
        self._since: float | None = None
        self._crashes = 0

    def crashed(self) -> None:
        """Count a crash."""
        self._crashes += 1

    def chance(self, ran_s: float, now: float) -> float:
        """Return how likely an upstream crashes in some seconds by itself."""
        if self._since is None:
            self._since = now
        watched_s = self.upstreams * (now - self._since) + _DAY_S
        return min(1, max(ran_s, 1) * (self._crashes + 1) / watched_s)


class Quarantine:
    """Suspect and condemned fingerprints known to one router."""

    def __init__(self, cfg: Cfg) -> None:
        """Start without suspicions."""
        self._cfg = cfg
        self._background = Background()
        self._running: dict[str, dict[ids.Fingerprint, Runs]] = {}
        self._suspicions: dict[ids.Fingerprint, Suspicion] = {}
        self._crashes: dict[str, float] = {}
        self._number = 0

    def configure(self, cfg: Cfg) -> None:
        """Take new limits; releases count at once."""
        self._cfg = cfg
        for released in cfg.released:
            self._suspicions.pop(released, None)

    def update_upstreams(self, count: int) -> None:
        """Take the number of upstreams that serve the same target."""
        self._background.upstreams = max(count, 1)

    def treatment(self, mark: ids.Fingerprint, now: float) -> Treatment:
        """Return how a request is placed."""
        suspicion = self._suspicions.get(mark)
        if suspicion is None or mark in self._cfg.released:
            return Treatment.FREE
        if suspicion.condemned is not None:
            if now - suspicion.condemned < self._cfg.condemned_s:
                return Treatment.REFUSED
        newest = max(crash.at for crash in suspicion.crashes.values())
        if now - newest < self._cfg.memory_s:
            return Treatment.APART
        self._suspicions.pop(mark)
        return Treatment.FREE

    def avoid(self, mark: ids.Fingerprint) -> set[str]:
        """Return upstreams that a suspect must not run on.

        These are the ones that crashed while they ran it, and the ones that
        run another suspect: the next crash then has one suspect only.
        """
        suspicion = self._suspicions.get(mark)
        crashed = set(suspicion.crashes) if suspicion else set()
        return crashed | {
            upstream
            for upstream, marks in self._running.items()
            if any(other in self._suspicions for other in marks)
        }

    def started(
        self,
        mark: ids.Fingerprint,
        upstream: str,
        now: float,
    ) -> None:
        """Note that a request runs on an upstream."""
        marks = self._running.setdefault(upstream, {})
        marks.setdefault(mark, Runs(0, now)).count += 1

    def finished(
        self,
        mark: ids.Fingerprint,
        upstream: str,
        *,
        ran: bool,
    ) -> None:
        """Note the end of a request.

        :param ran: it ran to its end, which clears it from suspicion.
        """
        marks = self._running.get(upstream, {})
        runs = marks.get(mark)
        if runs is not None:
            runs.count -= 1
            if not runs.count:
                marks.pop(mark)
        suspicion = self._suspicions.get(mark)
        if ran and suspicion and suspicion.condemned is None:
            self._suspicions.pop(mark)

    def crashed(self, upstream: str, now: float) -> messages.Suspects:
        """Note the crash of an upstream.

        :returns: what was running there, for the other routers.
        """
        ran = {
            mark: now - runs.since
            for mark, runs in self._running.pop(upstream, {}).items()
        }
        self._number += 1
        crash = f'{upstream}#{self._number}'
        self._blame(upstream, ran, now)
        return messages.Suspects(
            tuple((mark, crash) for mark in ran),
            tuple(ran.values()),
        )

    def handle(
        self,
        sender: ids.RouterId,
        message: messages.Suspects,
        now: float,
    ) -> list[messages.Send]:
        """Take the suspects of another router."""
        blamed: dict[str, dict[ids.Fingerprint, float]] = {}
        for (mark, crash), ran_s in zip(message.crashes, message.ran_s):
            upstream = crash.rpartition('#')[0]
            blamed.setdefault(upstream, {})[mark] = ran_s
        for crashed, ran in blamed.items():
            self._blame(crashed, ran, now)
        return []

    def known(self) -> messages.Suspects:
        """Return all suspicions, for a router that knows none."""
        crashes = [
            (mark, upstream, crash.ran_s)
            for mark, suspicion in self._suspicions.items()
            for upstream, crash in suspicion.crashes.items()
        ]
        return messages.Suspects(
            tuple((mark, f'{upstream}#0') for mark, upstream, _ in crashes),
            tuple(ran_s for _, _, ran_s in crashes),
        )

    def explained(self, marks: typing.Iterable[ids.Fingerprint]) -> bool:
        """Tell whether a condemned request explains a crash."""
        return any(self._condemned(mark) for mark in marks)

    def dump(self, now: float) -> dict[ids.Fingerprint, Suspicion]:
        """Return the suspicions, condemned ones included."""
        return dict(self._suspicions)

    def tick(self, now: float) -> list[messages.Send]:
        """Drop old suspicions."""
        for mark in list(self._suspicions):
            self.treatment(mark, now)
        return []

    def _condemned(self, mark: ids.Fingerprint) -> bool:
        suspicion = self._suspicions.get(mark)
        return suspicion is not None and suspicion.condemned is not None

    def _blame(
        self,
        upstream: str,
        ran: dict[ids.Fingerprint, float],
        now: float,
    ) -> None:
        """Hold a crash against the fingerprints that were running."""
        self._crashes[upstream] = now
        if self.explained(ran):
            return
        for mark, ran_s in ran.items():
            if mark not in self._cfg.released:
                suspicion = self._suspicions.setdefault(mark, Suspicion({}))
                suspicion.crashes[upstream] = Crash(now, ran_s)
        # In a mass crash one more is needed; without a bound, a request could
        # go on crashing upstreams and keep up the mass crash that shields it.
        limit = self._cfg.crash_limit + self._mass(now)
        for suspect in ran:
            self._judge(suspect, limit, now)
        self._background.crashed()

    def _judge(self, mark: ids.Fingerprint, limit: int, now: float) -> None:
        """Condemn when chance is the less likely explanation.

        :param limit: crashes on different upstreams that condemn.
        """
        suspicion = self._suspicions.get(mark)
        if suspicion is None or suspicion.condemned is not None:
            return
        recent = [
            crash
            for crash in suspicion.crashes.values()
            if now - crash.at < self._cfg.memory_s
        ]
        chance = math.prod(
            self._background.chance(crash.ran_s, now) for crash in recent
        )
        if len(recent) >= limit:
            if chance <= self._cfg.harmful_share:
                suspicion.condemned = now

    def _mass(self, now: float) -> bool:
        """Tell whether many upstreams crash at once, as in a power cut."""
        window = self._cfg.mass_window_s
        self._crashes = {
            upstream: at
            for upstream, at in self._crashes.items()
            if now - at < window
        }
        # Two are the fewest that are no coincidence in a small fleet.
        many = max(2, self._cfg.mass_share * self._background.upstreams)
        return len(self._crashes) > many
