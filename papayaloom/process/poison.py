"""Poison requests: replicas end when they run them, wherever these are sent.

Answers a request that comes again under other ids at any host. Each host keeps
what all hosts have seen of replicas that ended while they ran a request, and
places suspects apart from each other; a condemned one reaches no replica.

A request that ran to a whole answer is no poison. One whose answer had begun
is a weaker suspect than one that got no further than its first event: what a
replica dies of as it begins is poison, what had run for long was probably
there by chance.
"""

import collections
import typing

import msgspec

from papayaloom import errors, ids
from papayaloom.process import quarantine, replicas

# Suspects, and requests that ran well, that a host keeps in mind.
_MOST_MARKS = 4096

ReplicaStart = typing.NewType('ReplicaStart', str)


class Cfg(msgspec.Struct, frozen=True):
    """When a request is condemned.

    :param early_ends: replicas that ended before its answer had gone on.
    :param ends: replicas that ended under it at any time.
    :param memory_s: seconds for which a suspect is remembered.
    :param sound_s: seconds for which a whole answer keeps a request free.
    :param unrest_s: window in which other replicas that ended count as unrest.
    :param unrest_ends: other replicas from which on ``ends`` are needed.
    """

    early_ends: int = 2
    ends: int = 3
    memory_s: float = 600
    sound_s: float = 60
    unrest_s: float = 10
    unrest_ends: int = 2


class Suspicion(msgspec.Struct, frozen=True):
    """A replica ended while it ran a request.

    :param has_begun: the answer had gone beyond its first event.
    """

    mark: ids.Fingerprint
    start: ReplicaStart
    has_begun: bool = False


class Report(msgspec.Struct, frozen=True):
    """What hosts tell each other.

    :param condemned: requests that must not run any more.
    :param cleared: requests that ran to a whole answer in spite of suspicions.
    """

    suspicions: tuple[Suspicion, ...] = ()
    condemned: tuple[ids.Fingerprint, ...] = ()
    cleared: tuple[ids.Fingerprint, ...] = ()


class _End(msgspec.Struct, frozen=True):
    at: float
    has_begun: bool


class _Whole(msgspec.Struct):
    """A whole answer.

    :param is_told: the other hosts have heard of it.
    """

    at: float
    is_told: bool


class _Suspect(msgspec.Struct):
    """A request and the replicas that ended under it.

    :param condemned_at: when it was condemned or last came; None if it is
        not condemned.
    :param told_at: when hosts were last told that it is condemned.
    """

    ends: dict[ReplicaStart, _End]
    condemned_at: float | None = None
    told_at: float = float('-inf')

    def newest(self) -> float:
        """Return when it was last heard of."""
        ends = [end.at for end in self.ends.values()]
        return max([self.condemned_at or float('-inf'), *ends])


def start_of(replica: replicas.Replica) -> ReplicaStart:
    """Return the name of one start of a replica."""
    host, port = replica.address
    return ReplicaStart(f'{replica.id}/{replica.born}/{host}:{port}')


class Poison:
    """Suspect and condemned requests, as known to one host."""

    def __init__(self, cfg: Cfg) -> None:
        """Start without suspects."""
        self._cfg = cfg
        self._suspects: collections.OrderedDict[ids.Fingerprint, _Suspect] = (
            collections.OrderedDict()
        )
        self._sound: collections.OrderedDict[ids.Fingerprint, _Whole] = (
            collections.OrderedDict()
        )
        self._ends: dict[ReplicaStart, float] = {}
        self._running: dict[str, collections.Counter[ids.Fingerprint]] = (
            collections.defaultdict(collections.Counter)
        )
        self._news: list[Report] = []

    def treatment(
        self, mark: ids.Fingerprint, now: float
    ) -> quarantine.Treatment:
        """Return how a request is placed."""
        suspect = self._suspects.get(mark)
        if suspect is None or self._is_forgotten(suspect, now):
            return quarantine.Treatment.FREE
        if suspect.condemned_at is None:
            return quarantine.Treatment.APART
        suspect.condemned_at = now
        # Many suspects must not push it out.
        self._suspects.move_to_end(mark)
        if now - suspect.told_at > self._cfg.memory_s / 2:
            # Else a host that starts would not hear of it any more.
            self._tell_condemned(mark, suspect, now)
        return quarantine.Treatment.REFUSED

    def retry_s(self) -> float:
        """Return when a condemned request may come back."""
        return self._cfg.memory_s

    def avoid(self) -> set[str]:
        """Return the replicas at which a suspect runs for this host."""
        return {
            replica
            for replica, marks in self._running.items()
            if any(mark in self._suspects for mark in marks)
        }

    def started(self, mark: ids.Fingerprint, replica: str) -> None:
        """Note that a request was placed."""
        self._running[replica][mark] += 1

    def stopped(self, mark: ids.Fingerprint, replica: str) -> None:
        """Note that an attempt is over, however it ended."""
        marks = self._running[replica]
        marks[mark] -= 1
        if marks[mark] <= 0:
            marks.pop(mark)
        if not marks:
            self._running.pop(replica)

    def ran(self, mark: ids.Fingerprint, now: float) -> None:
        """Note that a request ran to a whole answer."""
        suspect = self._suspects.pop(mark, None)
        # One end condemns nowhere; at the next one, this host defends it.
        is_told = suspect is not None and (
            len(suspect.ends) > 1 or suspect.condemned_at is not None
        )
        if is_told:
            self._news.append(Report(cleared=(mark,)))
        self._take_sound(mark, _Whole(now, is_told))

    def ended(self, suspicion: Suspicion, now: float) -> None:
        """Note that a replica ended under a request of this host."""
        if not self._blame(suspicion, now):
            return
        self._news.append(Report((suspicion,)))
        suspect = self._suspects[suspicion.mark]
        if suspect.condemned_at is not None:
            self._tell_condemned(suspicion.mark, suspect, now)

    def handle(self, report: Report, now: float) -> None:
        """Take what another host tells."""
        for suspicion in report.suspicions:
            if not self._blame(suspicion, now):
                self._defend(suspicion.mark, now)
        for condemned in report.condemned:
            if not self._defend(condemned, now):
                suspect = self._suspects.setdefault(condemned, _Suspect({}))
                suspect.condemned_at = now
                suspect.told_at = now
        for cleared in report.cleared:
            self._take_sound(cleared, _Whole(now, is_told=True))
            self._suspects.pop(cleared, None)

    def has_news(self) -> bool:
        """Whether there is something to tell the other hosts."""
        return bool(self._news)

    def take_news(self) -> Report:
        """Return what the other hosts don't know yet, once."""
        news = join(self._news)
        self._news.clear()
        return news

    def tick(self, now: float) -> None:
        """Drop what is too old."""
        for mark, suspect in list(self._suspects.items()):
            if self._is_forgotten(suspect, now):
                self._suspects.pop(mark)
        self._ends = {
            start: at
            for start, at in self._ends.items()
            if now - at < self._cfg.unrest_s
        }

    def dump(self) -> dict[str, dict[str, object]]:
        """Return the suspects, condemned ones included."""
        return {
            mark: {
                'ends': list(suspect.ends),
                'condemned': suspect.condemned_at is not None,
            }
            for mark, suspect in self._suspects.items()
        }

    def _blame(self, suspicion: Suspicion, now: float) -> bool:
        """Take a suspicion; returns whether it counts and is news."""
        self._ends.setdefault(suspicion.start, now)
        if self._is_sound(suspicion.mark, now):
            return False
        suspect = self._suspects.setdefault(suspicion.mark, _Suspect({}))
        _bound(self._suspects)
        if suspicion.start in suspect.ends:
            return False
        suspect.ends[suspicion.start] = _End(now, suspicion.has_begun)
        if suspect.condemned_at is None and self._is_poison(suspect, now):
            suspect.condemned_at = now
        return True

    def _defend(self, mark: ids.Fingerprint, now: float) -> bool:
        """Tell the others of a whole answer that they have not seen.

        :returns: whether there was one.
        """
        if not self._is_sound(mark, now):
            return False
        if not self._sound[mark].is_told:
            self._sound[mark].is_told = True
            self._news.append(Report(cleared=(mark,)))
        return True

    def _is_poison(self, suspect: _Suspect, now: float) -> bool:
        cfg = self._cfg
        if len(suspect.ends) >= cfg.ends:
            return True
        early = [one for one in suspect.ends.values() if not one.has_begun]
        if len(early) < cfg.early_ends or self._is_explained(suspect):
            return False
        others = [
            start
            for start, at in self._ends.items()
            if start not in suspect.ends and now - at < cfg.unrest_s
        ]
        return len(others) < cfg.unrest_ends

    def _is_explained(self, suspect: _Suspect) -> bool:
        """Whether another, condemned request ran at one of these replicas."""
        return any(
            suspect.ends.keys() & other.ends.keys()
            for other in self._suspects.values()
            if other is not suspect and other.condemned_at is not None
        )

    def _tell_condemned(
        self, mark: ids.Fingerprint, suspect: _Suspect, now: float
    ) -> None:
        suspect.told_at = now
        self._news.append(Report(condemned=(mark,)))

    def _is_sound(self, mark: ids.Fingerprint, now: float) -> bool:
        whole = self._sound.get(mark)
        return whole is not None and now - whole.at < self._cfg.sound_s

    def _take_sound(self, mark: ids.Fingerprint, whole: _Whole) -> None:
        self._sound[mark] = whole
        self._sound.move_to_end(mark)
        _bound(self._sound)

    def _is_forgotten(self, suspect: _Suspect, now: float) -> bool:
        return now - suspect.newest() >= self._cfg.memory_s


def decode(content: bytes) -> Report:
    """Read a report.

    :raises papayaloom.errors.CodecError: it can't be read.
    """
    try:
        return msgspec.json.decode(content, type=Report)
    except msgspec.MsgspecError as exc:
        raise errors.CodecError(f'poison report: {exc}') from exc


def join(reports: typing.Iterable[Report]) -> Report:
    """Return several reports of one host as one."""
    parts = list(reports)
    cleared = tuple(
        dict.fromkeys(mark for one in parts for mark in one.cleared)
    )
    return Report(
        tuple(
            suspicion
            for one in parts
            for suspicion in one.suspicions
            if suspicion.mark not in cleared
        ),
        tuple(
            mark
            for one in parts
            for mark in one.condemned
            if mark not in cleared
        ),
        cleared,
    )


def _bound(kept: collections.OrderedDict[ids.Fingerprint, typing.Any]) -> None:
    """Drop the oldest requests above the bound."""
    while len(kept) > _MOST_MARKS:
        kept.popitem(last=False)
