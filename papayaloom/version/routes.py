"""Route table: one version of what is forwarded, for whom and to where.

A table is immutable. A request is judged by the table that was in force when
it arrived; a newer version counts for the requests that arrive after it.
"""

import enum

import msgspec

from papayaloom import ids


class Kind(enum.Enum):
    """What may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


class Target(msgspec.Struct, frozen=True):
    """A service that gets a share of a route's requests."""

    service: ids.ServiceId
    weight: float = 1


class Route(msgspec.Struct, frozen=True):
    """Where the requests of a path prefix go.

    :param timeout_s: longest time that a caller is kept waiting.
    :param objective_s: time to the answer, or to the first event of a stream.
    :param max_attempts: most replicas that may run one request.
    :param priority: 0 is the most urgent.
    :param is_anonymous: needs no key.
    :param is_sticky: requests share prompt prefixes worth finding again.
    :param is_resumable: a stream that may go on at another replica.
    :param gap_s: longest pause between the events of a stream.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int = 1
    priority: int = 0
    is_anonymous: bool = False
    is_sticky: bool = False
    is_resumable: bool = False
    gap_s: float = 0

    @property
    def is_repeatable(self) -> bool:
        """Whether a request that may have run may be sent once more."""
        return self.kind is Kind.IDEMPOTENT or self.is_resumable


class Organisation(msgspec.Struct, frozen=True):
    """An organisation with its keys.

    :param priority: goes before the priority of the route; None leaves that.
    """

    name: ids.OrgId
    keys: tuple[str, ...]
    priority: int | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on what callers send."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3
    idle_s: float = 15


class Tables(msgspec.Struct, frozen=True):
    """Content of one version."""

    version: int
    routes: tuple[Route, ...]
    organisations: tuple[Organisation, ...] = ()
    limits: CallerLimits = CallerLimits()


class RouteTable:
    """Look-ups in one version.

    :param tables: what the operator declared.
    """

    def __init__(self, tables: Tables) -> None:
        """Index routes by host and organisations by key."""
        self.version = tables.version
        self.limits = tables.limits
        self.needs_keys = bool(tables.organisations)
        self._by_host: dict[str, list[Route]] = {}
        for route in tables.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=_prefix_length, reverse=True)
        self._by_key = {
            key: organisation
            for organisation in tables.organisations
            for key in organisation.keys
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        :param host: value of the ``Host`` header; a port is left aside.
        """
        name = host.rpartition(':')[0] or host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def organisation(self, key: str) -> Organisation | None:
        """Return who holds a key."""
        return self._by_key.get(key)


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


def pick_target(route: Route, fraction: float) -> ids.ServiceId:
    """Return a target by weight.

    :param fraction: 0 to 1, spread evenly over the requests.
    """
    total = sum(target.weight for target in route.targets)
    left = fraction * total
    for target in route.targets:
        left -= target.weight
        if left < 0:
            return target.service
    return route.targets[-1].service


def priority(organisation: Organisation | None, route: Route) -> int:
    """Return the urgency of a request, 0 first.

    :param organisation: who sends it; its own priority goes first.
    """
    if organisation is None or organisation.priority is None:
        return route.priority
    return organisation.priority
