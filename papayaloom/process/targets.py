"""State of this router for each model and each service."""

import random
import typing

import msgspec

from papayaloom import ids, messages
from papayaloom.ports import engine as engine_port
from papayaloom.ports import hosts
from papayaloom.process import admission, configuration, placement, prefixes
from papayaloom.routing.health import ejection
from papayaloom.routing.overload import budgets
from papayaloom.version import snapshot, tree


class Upstream(msgspec.Struct, frozen=True):
    """A live or leaving upstream in the host list."""

    name: str
    url: str
    zone: ids.ZoneId
    leaving: bool


class ServiceState:
    """State for one plain service."""

    def __init__(
        self,
        name: ids.ServiceId,
        settings: snapshot.Snapshot,
        rng: random.Random,
    ) -> None:
        """Start without replicas."""
        self.target = tree.service(name)
        self.replicas: dict[str, Upstream] = {}
        cfg = configuration.ejection_cfg(settings, self.target)
        self.ejection = ejection.Ejection(cfg, rng)
        self.budgets = budgets.RetryBudgets(
            configuration.retry_budget_cfg(settings, self.target),
        )

    def configure(self, settings: snapshot.Snapshot) -> None:
        """Apply new settings."""
        self.ejection.configure(
            configuration.ejection_cfg(settings, self.target),
        )
        self.budgets.configure(
            configuration.retry_budget_cfg(settings, self.target)
        )

    def update(self, replicas: typing.Iterable[Upstream]) -> None:
        """Replace the list of replicas."""
        self.replicas = {one.name: one for one in replicas}
        self.ejection.update_upstreams(self.replicas)


class ModelState:
    """State for one model.

    It covers both roles of the router, owner of engines and home of chats, and
    the predicted caches, the ejection and the retry budgets of the engines.
    """

    def __init__(
        self,
        me: ids.RouterId,
        model: ids.ModelId,
        settings: snapshot.Snapshot,
        rng: random.Random,
    ) -> None:
        """Start without engines."""
        self.model = model
        self.target = tree.model(model)
        self.engines: dict[ids.EngineId, Upstream] = {}
        # Time of the message or tick that is being handled, in seconds.
        self.now: float = 0
        cache_cfg = configuration.prefix_cache_cfg(settings, self.target)
        self.prefixes = prefixes.CachePredictions(cache_cfg)
        self.shared_prefixes = prefixes.SharedPrefixIndex(cache_cfg)
        self.owner = admission.Owner(
            configuration.owner_cfg(settings, self.target),
            me,
            model,
            self._use_cached,
        )
        self.home = placement.Home(
            configuration.home_cfg(settings, self.target),
            rng,
            lambda req: self.shared_prefixes.find(req.prefixes),
        )
        cfg = configuration.ejection_cfg(settings, self.target)
        self.ejection = ejection.Ejection(cfg, rng)
        self.budgets = budgets.RetryBudgets(
            configuration.retry_budget_cfg(settings, self.target),
        )

    def configure(self, settings: snapshot.Snapshot) -> None:
        """Apply new settings; requests and predicted caches are kept."""
        self.owner.configure(configuration.owner_cfg(settings, self.target))
        self.home.configure(configuration.home_cfg(settings, self.target))
        self.prefixes.configure(
            configuration.prefix_cache_cfg(settings, self.target)
        )
        self.ejection.configure(
            configuration.ejection_cfg(settings, self.target),
        )
        self.budgets.configure(
            configuration.retry_budget_cfg(settings, self.target)
        )

    def update(
        self,
        upstreams: typing.Iterable[Upstream],
        now: float,
    ) -> list[messages.Send]:
        """Replace the list of engines.

        :returns: denials for the requests queued for an engine that has left.
        """
        self.engines = {ids.EngineId(one.name): one for one in upstreams}
        leaving = [name for name, one in self.engines.items() if one.leaving]
        live = [name for name, one in self.engines.items() if not one.leaving]
        self.home.update_engines(live)
        self.ejection.update_upstreams(live)
        denials = self.owner.update_engines(live, leaving, now)
        for engine in self.owner.engines.pop_absent(now):
            self.prefixes.forget(engine)
        return denials

    def cache_events(
        self,
        engine: ids.EngineId,
        events: typing.Iterable[engine_port.CacheEvent],
        now: float,
    ) -> None:
        """Apply the cache events of an engine that this router owns."""
        for event in events:
            stored = event.prefixes if event.kind == 'stored' else ()
            removed = event.prefixes if event.kind == 'evicted' else ()
            self.prefixes.apply_event(
                engine,
                prefixes.CacheEvent(event.sequence, stored, removed),
                now,
            )

    def _use_cached(self, ask: messages.Ask) -> int:
        """Record the use of a granted prompt; return its cached tokens."""
        cached_tokens = self.prefixes.tokens(ask.engine, ask.prefixes)
        self.prefixes.record_use(ask.engine, ask.prefixes, self.now)
        return cached_tokens


def group_by_name(
    listed: hosts.HostList,
    kind: hosts.Kind,
    leaving: typing.Container[str],
) -> dict[str, list[Upstream]]:
    """Group the upstreams of the host list by model or service.

    :param leaving: upstreams that announced that they are leaving.
    """
    grouped: dict[str, list[Upstream]] = {}
    for host in listed.hosts:
        if host.kind is not kind:
            continue
        is_leaving = (
            host.state is hosts.HostState.LEAVING or host.host in leaving
        )
        grouped.setdefault(host.name, []).append(
            Upstream(host.host, host.address, host.zone, is_leaving),
        )
    return grouped
