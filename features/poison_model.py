"""Simulation of hosts, replicas and prompts in which replicas terminate.

Decisions alone, on a virtual clock: requests arrive at hosts, run on replicas
for some time and end whole, or with their replica. Terminations have a deadly
part as their cause, or one of their own. Hosts tell each other what they see.
"""

import random

import msgspec

from papayaloom import ids
from papayaloom.routing import replicas
from papayaloom.routing.poison import poison, poison_detector, poison_evidence

SHARED = ids.Fingerprint('shared')
DEADLY = ids.Fingerprint('deadly')
_STEP_S = 0.02
_REPORT_S = 0.1
_TICK_S = 1.0


class Cfg(msgspec.Struct, frozen=True):
    """What happens.

    :param per_s: sound requests in a second.
    :param runs_s: how long a whole answer takes, at least and at most.
    :param documents: number of sound second parts.
    :param deadly_per_s: requests with the deadly part in a second.
    :param deadly_after_s: how long such a request runs until its replica
        terminates, at least and at most.
    :param crash_every_s: mean time between terminations with other causes;
        0 without them.
    :param crash_share: share of the replicas that such a one takes.
    """

    hosts: int = 6
    replicas: int = 12
    per_s: float = 10
    runs_s: tuple[float, float] = (0.3, 0.6)
    documents: int = 44
    deadly_per_s: float = 0
    deadly_after_s: tuple[float, float] = (0.06, 0.4)
    crash_every_s: float = 0
    crash_share: float = 0.3
    back_s: float = 3
    calm_s: float = 10
    lasts_s: float = 60


class _Running(msgspec.Struct):
    host: int
    subject: poison_detector.Subject
    began_at: float
    ends_at: float
    deadly_at: float | None


class Model:
    """One play.

    :ivar condemned: the parts, and when a host first refused a request.
    :ivar deadly_ends: when a replica terminated under the deadly part.
    :ivar deadly_sent: when a request with it reached a replica.
    :ivar ended_at: when the play ends.
    """

    def __init__(self, cfg: Cfg, seed: int) -> None:
        """Prepare the hosts."""
        self.cfg = cfg
        self.condemned: dict[ids.Fingerprint, float] = {}
        self.deadly_ends: list[float] = []
        self.deadly_sent: list[float] = []
        self.ended_at = cfg.calm_s + cfg.lasts_s
        self._rng = random.Random(seed)
        self._hosts = [
            poison_detector.PoisonDetector(poison.Cfg())
            for _ in range(cfg.hosts)
        ]
        self._starts = dict.fromkeys(range(cfg.replicas), 0)
        self._back_at = dict.fromkeys(range(cfg.replicas), 0.0)
        self._running: dict[int, list[_Running]] = {
            one: [] for one in range(cfg.replicas)
        }
        self._requests = 0

    def play(self) -> 'Model':
        """Play to the end."""
        cfg, now, step = self.cfg, 0.0, 0
        while now < self.ended_at:
            now = step * _STEP_S
            self._arrive(now, cfg.per_s, is_deadly=False)
            if now > cfg.calm_s:
                self._arrive(now, cfg.deadly_per_s, is_deadly=True)
                self._crash(now)
            self._run(now)
            if step % round(_REPORT_S / _STEP_S) == 0:
                self._exchange(now)
            if step % round(_TICK_S / _STEP_S) == 0:
                for host in self._hosts:
                    host.tick(now)
            step += 1
        return self

    def _arrive(self, now: float, per_s: float, *, is_deadly: bool) -> None:
        if self._rng.random() >= per_s * _STEP_S:
            return
        cfg = self.cfg
        self._requests += 1
        document = ids.Fingerprint(f'd{self._rng.randrange(cfg.documents)}')
        parts = (SHARED, DEADLY) if is_deadly else (SHARED, document)
        subject = poison_detector.Subject(
            ids.Fingerprint(f'request-{self._requests}'), parts
        )
        number = self._rng.randrange(cfg.hosts)
        refused = self._hosts[number].condemned(subject, now)
        if refused is not None:
            self.condemned.setdefault(refused, now)
            return
        up = [one for one, at in self._back_at.items() if at <= now]
        if not up:
            return
        deadly_at = None
        ends_at = now + self._rng.uniform(*cfg.runs_s)
        if is_deadly:
            self.deadly_sent.append(now)
            ends_at = deadly_at = now + self._rng.uniform(*cfg.deadly_after_s)
        self._running[self._rng.choice(up)].append(
            _Running(
                number,
                subject,
                now,
                ends_at,
                deadly_at,
            )
        )

    def _run(self, now: float) -> None:
        for replica, running in self._running.items():
            if any(one.deadly_at and one.deadly_at <= now for one in running):
                self.deadly_ends.append(now)
                self._end(replica, now)
                continue
            for one in [one for one in running if one.ends_at <= now]:
                running.remove(one)
                self._record(one, replica, now, None)

    def _crash(self, now: float) -> None:
        every_s = self.cfg.crash_every_s
        if not every_s or self._rng.random() >= _STEP_S / every_s:
            return
        for replica, back_at in self._back_at.items():
            if back_at <= now and self._rng.random() < self.cfg.crash_share:
                self._end(replica, now)

    def _end(self, replica: int, now: float) -> None:
        start = replicas.ReplicaStart(f'{replica}-{self._starts[replica]}')
        for one in self._running[replica]:
            # An event comes every 20 ms, after 60 ms of reading the prompt.
            has_begun = now - one.began_at > 0.1
            suspicion = poison_evidence.Suspicion(
                one.subject.fingerprint, start, has_begun
            )
            self._record(one, replica, now, suspicion)
        self._running[replica] = []
        self._starts[replica] += 1
        self._back_at[replica] = now + self.cfg.back_s

    def _record(
        self,
        one: _Running,
        replica: int,
        now: float,
        suspicion: poison_evidence.Suspicion | None,
    ) -> None:
        self._hosts[one.host].record_attempt(
            poison_detector.Attempt(
                one.subject,
                replicas.ReplicaId(str(replica)),
                one.began_at,
                suspicion,
                is_success=suspicion is None,
            ),
            now,
        )

    def _exchange(self, now: float) -> None:
        for host in self._hosts:
            if not host.has_report():
                continue
            report = host.take_report()
            for other in self._hosts:
                if other is not host:
                    other.apply_report(report, now)
