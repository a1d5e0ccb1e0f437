"""The placement model with replicas that warm up and routers that disagree.

Routers hear of a warm-up by entries, each with its own delay, and by responses.
"""

import random

import msgspec

from features import placement_model
from papayaloom import ids
from papayaloom.routing import dispatch, replicas
from papayaloom.routing.limits import cold_permits
from papayaloom.version import routes

SERVICE = ids.ServiceId('models')
COLD_S = 3.0
PER_S = 8.5
BOUND = cold_permits.Cfg(factor=1.5, slack=5)
_TICK_S = 1.0


def new_router(number, listed, now, cold_per_s=PER_S, bound=BOUND):
    """Return a router that has just started and listed the replicas."""
    made = dispatch.Dispatcher(
        dispatch.Cfg(warming=bound), random.Random(number), hosts=6
    )
    made.cold.replicas.configure([routes.Service(SERVICE, COLD_S, cold_per_s)])
    made.replicas.lapses.store_answered(now - 60)
    made.replicas.replace(listed, now)
    return made


class ColdModel(placement_model.Model):
    """Routers, some of them just started, and replicas, some of them cold.

    :param views: names of the routers that each router knows of; None where it
        knows of none.
    """

    def __init__(self, views, count, load, seed=1):
        self.listed = {
            f'e{number}': replicas.Replica(
                replicas.ReplicaId(f'e{number}'),
                SERVICE,
                ('10.0.0.1', 8000 + number),
                slots=load.slots,
                born=1,
            )
            for number in range(count)
        }
        self.views = views
        self.warm_at = {}
        # Running calls by replica, with their routers.
        self.inside = {}
        # Start and end of each warm-up.
        self.warm_ups = []
        self.rng = random.Random(seed)
        super().__init__(
            [
                new_router(one, self.listed.values(), 0)
                for one in range(len(views))
            ],
            list(self.listed),
            SERVICE,
            load,
            share_s=0.4,
            lag_s=1,
            seed=seed,
        )
        for number in range(len(views)):
            self.plan(self.rng.uniform(0, _TICK_S), self._tick, number)

    def cool(self, now, names, late_s, *, is_restart):
        """Let replicas turn cold; the routers hear within ``late_s``."""
        for name in names:
            born = self.listed[name].born + (1000 if is_restart else 0)
            self.listed[name] = msgspec.structs.replace(
                self.listed[name], born=born
            )
            if is_restart:
                self._break_off(now, name)
            self.warm_at[name] = now + COLD_S
            self.warm_ups.append((name, now, now + COLD_S))
            for number in range(len(self._routers)):
                delay_s = self.rng.uniform(0, late_s)
                self.plan(now + delay_s, self._hear, number, name)

    def restart_routers(self, now, numbers):
        """Replace routers by ones that have just started."""
        listed = [self._entry(name, now) for name in self.listed]
        for number in numbers:
            self._routers[number] = new_router(number, listed, now)

    def most_in_a_second(self):
        """Return the most that a cold replica got in any second."""
        return max(self.peaks())

    def peaks(self):
        """Return the most in any second, for each warm-up."""
        found = []
        for name, since, until in self.warm_ups:
            times = [at for at in self.arrivals[name] if since <= at < until]
            counts = [
                sum(first <= at < first + 1 for at in times) for first in times
            ]
            found.append(max(counts, default=0))
        return found

    def cold_per_s(self):
        """Return the mean rate at which cold replicas got requests."""
        count = sum(
            since <= at < until
            for name, since, until in self.warm_ups
            for at in self.arrivals[name]
        )
        return count / sum(until - since for _, since, until in self.warm_ups)

    def _break_off(self, now, name):
        waiting = [(number, call) for number, call, _ in self._waiting[name]]
        for number, call in [*self.inside.pop(name, {}).values(), *waiting]:
            self._leave(now, number, name, call)
            self._routers[number].cold.replicas.record_end(
                self._routers[number].replicas.find(name), now
            )
        self._waiting[name].clear()
        self._running[name] = 0

    def _entry(self, name, now):
        left_s = max(self.warm_at.get(name, 0) - now, 0)
        return msgspec.structs.replace(self.listed[name], cold_s=left_s)

    def _hear(self, now, number, name):
        router = self._routers[number]
        if router.replicas.update(self._entry(name, now), now):
            router.forget([name])

    def _tick(self, now, number):
        names = self.views[number]
        if names is not None:
            self._routers[number].set_fleet_size(len(names))
            self._routers[number].cold.permits.update_fleet(
                cold_permits.Fleet(f'host{number}', names, True, 0.4), now
            )
        self.plan(now + _TICK_S, self._tick, number)

    def _start(self, now, name, number, call, sent_at):
        super()._start(now, name, number, call, sent_at)
        self.inside.setdefault(name, {})[id(call)] = number, call
        self.plan(now + self._load.first_event_s, self._respond, number, name)

    def _end(self, now, number, name, call, sent_at):
        # Others ended with the replica's earlier start.
        if self.inside.get(name, {}).pop(id(call), None):
            super()._end(now, number, name, call, sent_at)

    def _respond(self, now, number, name):
        self._report(now, number, name)
        left_s = self.warm_at.get(name, 0) - now
        if left_s > 0:
            self._routers[number].cold.replicas.record_response(
                self.listed[name], left_s, now
            )
