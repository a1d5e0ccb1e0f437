"""State machine of poison requests at several hosts; the oracle counts ends.

Guards against a request under which three replicas ended and that a host sends
on, whatever order reports take and whichever hosts start anew, and against the
refusal of one that runs well.
"""

from unittest import mock

from hypothesis import stateful
from hypothesis import strategies as st

from papayaloom import ids
from papayaloom.process import quarantine
from papayaloom.routing import replicas
from papayaloom.routing.poison import poison, poison_evidence

HOSTS = (0, 1, 2)
NAMES = ('a', 'b')
POISON = ids.Fingerprint('poison')
SOUND = (ids.Fingerprint('sound-1'), ids.Fingerprint('sound-2'))
HOST = st.sampled_from(HOSTS)
# One replica ends much more often than the other.
NAME = st.sampled_from(('a', 'a', 'a', 'b'))
# Poison comes as often as all others together.
MARK = st.sampled_from((POISON, POISON, *SOUND))
CFG = poison.Cfg()


class PoisonMachine(stateful.RuleBasedStateMachine):
    """Hosts place requests; a replica ends as it begins to run poison."""

    @stateful.initialize()
    def begin(self):
        self.now = 100.0
        self.hosts = [poison.PoisonTracker(CFG) for _ in HOSTS]
        self.births = dict.fromkeys(NAMES, 1)
        self.running = {name: [] for name in NAMES}
        # Reports of all hosts in the order of the store.
        self.written = []
        self.unread = {host: [] for host in HOSTS}
        # The oracle.
        self.ends = {mark: set() for mark in (POISON, *SOUND)}
        # By host and request, as long as the host remembers.
        self.whole_at = {}

    @stateful.rule(host=HOST, name=NAME, marks=st.sets(MARK, min_size=1))
    def place(self, host, name, marks):
        for mark in sorted(marks):
            if not self.is_refused(host, mark):
                self.hosts[host].record_start(mark, name)
                self.running[name].append((host, mark))

    @stateful.rule(host=HOST, name=NAME, mark=MARK, has_begun=st.booleans())
    def ends_at_once(self, host, name, mark, has_begun):
        """Poison comes, or a replica ends by chance."""
        self.place(host, name, {mark})
        self.replica_ends(name, has_begun)

    @stateful.rule(host=HOST, name=NAME)
    def runs_well(self, host, name):
        self.place(host, name, set(SOUND))
        self.others_end_well(name)

    @stateful.rule(name=NAME, has_begun=st.booleans())
    def replica_ends(self, name, has_begun):
        """A replica ends, under poison if it has any."""
        start = replicas.start_id(
            replicas.Replica(
                id=replicas.ReplicaId(name),
                service=ids.ServiceId('pool'),
                address=('10.0.0.1', 80),
                born=self.births[name],
            )
        )
        self.births[name] += 1
        runs, self.running[name] = self.running[name], []
        for host, mark in runs:
            self.ends[mark].add((name, self.births[name]))
            self.hosts[host].record_attempt_end(mark, name)
            suspicion = poison_evidence.Suspicion(mark, start, has_begun)
            self.hosts[host].record_termination(suspicion, self.now)
        self.write()

    @stateful.rule(name=NAME)
    def others_end_well(self, name):
        """All but poison run to a whole answer."""
        runs, self.running[name] = self.running[name], []
        for host, mark in runs:
            self.hosts[host].record_attempt_end(mark, name)
            if mark is POISON:
                continue
            self.hosts[host].record_complete_response(mark, self.now)
            self.whole_at[host, mark] = self.now
        self.write()

    @stateful.rule(host=HOST, order=st.randoms(use_true_random=False))
    def reports_arrive(self, host, order):
        """Some arrive, some twice, in any order."""
        unread = self.unread[host]
        order.shuffle(unread)
        for report in [*unread, *unread[:1]]:
            self.hosts[host].apply_report(report, self.now)
        self.unread[host] = []
        self.write()

    @stateful.rule(host=HOST)
    def host_starts_anew(self, host):
        """It has forgotten all, and lists the store."""
        for name, runs in self.running.items():
            self.running[name] = [one for one in runs if one[0] != host]
        for mark in SOUND:
            self.whole_at.pop((host, mark), None)
        self.hosts[host] = poison.PoisonTracker(CFG)
        for report in self.written:
            self.hosts[host].apply_report(report, self.now)
        self.unread[host] = []
        self.write()

    @stateful.rule(seconds=st.sampled_from((0.1, 1, 20)))
    def wait(self, seconds):
        self.now += seconds
        for host in self.hosts:
            host.tick(self.now)

    @stateful.rule()
    def settle(self):
        """All reports have arrived everywhere."""
        while any(self.unread.values()):
            for host in HOSTS:
                unread, self.unread[host] = self.unread[host], []
                for report in unread:
                    self.hosts[host].apply_report(report, self.now)
            self.write()
        for host in HOSTS:
            self.check(host)

    def check(self, host):
        if len(self.ends[POISON]) >= CFG.ends:
            assert self.is_refused(host, POISON), f'host {host} sends it on'
        for mark in SOUND:
            is_known = any(
                self.now - self.whole_at.get((one, mark), 0) < CFG.sound_s
                for one in HOSTS
            )
            if is_known or len(self.ends[mark]) < CFG.early_ends:
                assert not self.is_refused(host, mark), f'{host}: {mark}'

    def is_refused(self, host, mark):
        treatment = self.hosts[host].treatment(mark, self.now)
        return treatment is quarantine.Treatment.REFUSED

    def write(self):
        """Hand the news of all hosts to the others, by way of the store."""
        for host in HOSTS:
            report = self.hosts[host].take_report()
            if report == poison_evidence.Report():
                continue
            self.written.append(report)
            for other in HOSTS:
                self.unread[other].append(report)


def keeps_silent():
    """Fault: hosts don't tell each other of ends."""
    return mock.patch.object(
        poison.PoisonTracker, 'take_report', poison_evidence.Report
    )


def one_end_a_replica():
    """Fault: another start of a replica counts as the same end."""
    return mock.patch.object(replicas, 'start_id', lambda replica: replica.id)


def begun_counts_for_nothing():
    """Fault: an end after the answer has begun is not recorded."""
    record = poison.PoisonTracker.record_termination

    def wrong(self, suspicion, now):
        if not suspicion.has_begun:
            record(self, suspicion, now)

    return mock.patch.object(poison.PoisonTracker, 'record_termination', wrong)


def never_clears():
    """Fault: a whole answer does not clear a request."""
    return mock.patch.object(
        poison.PoisonTracker, 'record_complete_response', lambda *_: None
    )


FAULTS = {
    'hosts keep ends to themselves': keeps_silent,
    'a replica ends once only': one_end_a_replica,
    'a whole answer clears nothing': never_clears,
    'an end after the answer has begun counts for nothing': (
        begun_counts_for_nothing
    ),
}
