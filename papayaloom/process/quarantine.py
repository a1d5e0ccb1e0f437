"""Quarantine of requests that crash the upstreams which run them."""

import collections
import enum
import typing

import msgspec
import xxhash

from papayaloom import ids, messages


class Cfg(msgspec.Struct, frozen=True):
    """When a fingerprint is condemned.

    :param crash_limit: crashes on different upstreams that condemn.
    :param memory_s: seconds for which a suspicion is kept.
    :param condemned_s: seconds for which a condemnation is kept.
    :param mass_window_s: window in which crashes are compared.
    :param mass_share: share of the upstreams that crash in the window from
        which on the crashes are put down to their surroundings.
    :param released: fingerprints that are never condemned.
    """

    crash_limit: int = 2
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


class Suspicion(msgspec.Struct):
    """Crashes of upstreams that ran a fingerprint.

    :param crashes: newest crash of each upstream, by the time it was heard.
    """

    crashes: dict[str, float]
    condemned: float | None = None


def fingerprint(organisation: str, target: str, body: bytes) -> ids.Fingerprint:
    """Return the fingerprint of a request."""
    digest = xxhash.xxh3_128(f'{organisation}\0{target}\0'.encode())
    digest.update(body)
    return ids.Fingerprint(digest.hexdigest())


class Quarantine:
    """Suspect and condemned fingerprints known to one router."""

    def __init__(self, cfg: Cfg) -> None:
        """Start without suspicions."""
        self._cfg = cfg
        self._upstreams = 1
        self._running: dict[str, collections.Counter[ids.Fingerprint]] = {}
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
        self._upstreams = max(count, 1)

    def treatment(self, mark: ids.Fingerprint, now: float) -> Treatment:
        """Return how a request is placed."""
        suspicion = self._suspicions.get(mark)
        if suspicion is None or mark in self._cfg.released:
            return Treatment.FREE
        if suspicion.condemned is not None:
            if now - suspicion.condemned < self._cfg.condemned_s:
                return Treatment.REFUSED
        newest = max(suspicion.crashes.values())
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

    def started(self, mark: ids.Fingerprint, upstream: str) -> None:
        """Note that a request runs on an upstream."""
        marks = self._running.setdefault(upstream, collections.Counter())
        marks[mark] += 1

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
        marks = self._running.get(upstream)
        if marks is not None:
            marks[mark] -= 1
            if marks[mark] <= 0:
                marks.pop(mark)
        suspicion = self._suspicions.get(mark)
        if ran and suspicion and suspicion.condemned is None:
            self._suspicions.pop(mark)

    def crashed(self, upstream: str, now: float) -> messages.Suspects:
        """Note the crash of an upstream.

        :returns: what was running there, for the other routers.
        """
        marks = list(self._running.pop(upstream, ()))
        self._number += 1
        crash = f'{upstream}#{self._number}'
        self._blame(upstream, marks, now)
        return messages.Suspects(tuple((mark, crash) for mark in marks))

    def handle(
        self,
        sender: ids.RouterId,
        message: messages.Suspects,
        now: float,
    ) -> list[messages.Send]:
        """Take the suspects of another router."""
        blamed: dict[str, list[ids.Fingerprint]] = {}
        for mark, crash in message.crashes:
            upstream = crash.rpartition('#')[0]
            blamed.setdefault(upstream, []).append(mark)
        for crashed, marks in blamed.items():
            self._blame(crashed, marks, now)
        return []

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
        marks: list[ids.Fingerprint],
        now: float,
    ) -> None:
        """Hold a crash against the fingerprints that were running."""
        self._crashes[upstream] = now
        if self.explained(marks):
            return
        for mark in marks:
            if mark not in self._cfg.released:
                suspicion = self._suspicions.setdefault(mark, Suspicion({}))
                suspicion.crashes[upstream] = now
        if self._mass(now):
            return
        for suspect in marks:
            self._judge(suspect, now)

    def _judge(self, mark: ids.Fingerprint, now: float) -> None:
        suspicion = self._suspicions.get(mark)
        if suspicion is None or suspicion.condemned is not None:
            return
        recent = [
            upstream
            for upstream, at in suspicion.crashes.items()
            if now - at < self._cfg.memory_s
        ]
        if len(recent) >= self._cfg.crash_limit:
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
        many = max(2, self._cfg.mass_share * self._upstreams)
        return len(self._crashes) > many
