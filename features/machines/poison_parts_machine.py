"""State machine of a poison prompt part; replicas also end for other reasons.

Guards against a part under which replicas end, at whatever event, and that a
host sends on, and against the refusal of a part that runs whole. No two
requests are alike but for their parts.
"""

from unittest import mock

import msgspec
from hypothesis import stateful
from hypothesis import strategies as st

from features.machines import poison_machine
from papayaloom import ids
from papayaloom.routing import dispatch_messages, replicas
from papayaloom.routing.poison import poison, poison_detector, poison_evidence

HOST = st.sampled_from((0, 1))
SHARED, DEADLY = ids.Fingerprint('shared'), ids.Fingerprint('deadly')
SOUND = (ids.Fingerprint('sound-1'), ids.Fingerprint('sound-2'))
RAN_S = st.sampled_from((0.05, 0.2, 0.4))
# Moments after which every host must have refused the part.
ENDS = 5
SETTLED_S = 2
SOUND_S = 5


class PoisonPartsMachine(stateful.RuleBasedStateMachine):
    """Two hosts that hear of each other at once."""

    @stateful.initialize()
    def begin(self):
        self.now = 100.0
        self.hosts = [
            poison_detector.PoisonDetector(poison.Cfg()) for _ in range(2)
        ]
        self.sent = 0
        self.deadly_at, self.other_at, self.whole_at = [], [], {}

    def record(self, host, part, ran_s, start=None, has_begun=False, **more):
        self.sent += 1
        fingerprint = ids.Fingerprint(f'request-{self.sent}')
        suspicion = start and poison_evidence.Suspicion(
            fingerprint, start, has_begun
        )
        found = dispatch_messages.AttemptResult(
            ids.ServiceId('pool'),
            replicas.ReplicaId('i-1'),
            fingerprint=fingerprint,
            parts=(SHARED, part),
            suspicion=suspicion,
            is_success=start is None,
            duration_s=ran_s,
            **more,
        )
        attempt = dispatch_messages.ended_attempt(found, self.now)
        self.hosts[host].record_attempt(attempt, self.now)
        self.tell()

    def tell(self):
        """Hand reports on; the answer to a report is a report, too."""
        for host, other in (*zip(self.hosts, self.hosts[::-1]),) * 2:
            other.apply_report(host.take_report(), self.now)

    def replica_ends(self, runs):
        """A replica ends under some parts."""
        start = replicas.ReplicaStart(f'start-{self.sent}')
        for host, part, ran_s, has_begun in runs:
            self.record(host, part, ran_s, start, has_begun)
        self.wait(1.1)

    @stateful.rule(
        host=HOST, has_begun=st.booleans(), ran_s=RAN_S, beside=st.booleans()
    )
    def deadly_comes(self, host, has_begun, ran_s, beside):
        if any(self.refuse(SHARED) + self.refuse(DEADLY)):
            return
        self.deadly_at.append(self.now)
        sound = [(1 - host, SOUND[0], ran_s, True)] if beside else []
        self.replica_ends([(host, DEADLY, ran_s, has_begun), *sound])

    @stateful.rule(host=HOST, ran_s=RAN_S, has_begun=st.booleans())
    def another_ends(self, host, ran_s, has_begun):
        self.other_at.append(self.now)
        self.replica_ends([(host, SOUND[1], ran_s, has_begun)])

    @stateful.rule(host=HOST, part=st.sampled_from(SOUND), ran_s=RAN_S)
    def runs_whole(self, host, part, ran_s):
        if any(self.refuse(SHARED) + self.refuse(part)):
            return
        self.record(host, part, ran_s)
        self.whole_at[SHARED] = self.whole_at[part] = self.now

    @stateful.rule(host=HOST)
    def rest_runs(self, host):
        """The end of an answer, behind what ends the replicas."""
        self.record(host, DEADLY, 0.05, is_remainder=True)

    @stateful.rule(seconds=st.sampled_from((0.3, 2, 6)))
    def wait(self, seconds):
        self.now += seconds
        for host in self.hosts:
            host.tick(self.now)
        self.tell()

    @stateful.invariant()
    def refused_are_the_right_ones(self):
        if not hasattr(self, 'hosts'):
            return
        ends = [at for at in self.deadly_at if at < self.now - SETTLED_S]
        others = [at for at in self.other_at if at >= min(ends, default=0)]
        if len(ends) >= ENDS and 2 * len(others) <= len(ends):
            assert all(self.refuse(DEADLY)), 'a host sends it on'
        for part in (SHARED, *SOUND):
            if self.now - self.whole_at.get(part, 0) < SOUND_S:
                assert not any(self.refuse(part)), part

    def refuse(self, part):
        subject = poison_detector.Subject(parts=(part,))
        return [
            host.condemned(subject, self.now) is not None for host in self.hosts
        ]


_DETECTOR = poison_detector.PoisonDetector


def begun_acquits():
    """Fault: an answer that has begun is taken for a whole one."""
    record = _DETECTOR.record_attempt

    def wrong(self, attempt, now):
        suspicion = attempt.suspicion
        has_begun = suspicion is not None and suspicion.has_begun
        record(
            self,
            msgspec.structs.replace(attempt, suspicion=None, is_success=True)
            if has_begun
            else attempt,
            now,
        )

    return mock.patch.object(_DETECTOR, 'record_attempt', wrong)


def rest_acquits():
    """Fault: the rest of an answer is taken for a whole one."""
    ended_attempt = dispatch_messages.ended_attempt

    def wrong(found, now):
        whole = msgspec.structs.replace(found, is_remainder=False)
        return ended_attempt(whole, now)

    return mock.patch.object(dispatch_messages, 'ended_attempt', wrong)


FAULTS = {
    'an answer that has begun acquits its parts': begun_acquits,
    'an end after the answer has begun counts for nothing': (
        poison_machine.begun_counts_for_nothing
    ),
    'the rest of an answer acquits its parts': rest_acquits,
}
