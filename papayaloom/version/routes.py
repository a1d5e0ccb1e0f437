"""Route tables, which map requests to services.

A table is immutable. A request is routed by the table that was current when it
arrived; a newer version applies only to requests that arrive after it.
"""

import enum

import msgspec

from papayaloom import ids


class Kind(enum.Enum):
    """Kind of a route, which determines whether requests may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


class Target(msgspec.Struct, frozen=True):
    """A service that receives a share of a route's requests."""

    service: ids.ServiceId
    weight: float = 1


class Route(msgspec.Struct, frozen=True):
    """Routing of the requests of a path prefix.

    :param timeout_s: maximum time that a caller waits for the response.
    :param objective_s: target time to the response, or to the first event of
        a stream.
    :param max_attempts: maximum number of replicas that may run one request.
    :param priority: 0 is the highest priority.
    :param is_anonymous: whether requests need no key.
    :param is_sticky: whether requests share prompt prefixes, so that sending
        them to the same replica pays off.
    :param is_resumable: whether a stream may be resumed at another replica.
    :param gap_s: maximum time between two events of a stream.
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
        """Whether a request that may have run may be sent again."""
        return self.kind is Kind.IDEMPOTENT or self.is_resumable


class Organisation(msgspec.Struct, frozen=True):
    """An organisation with its keys.

    :param priority: overrides the priority of the route unless it is None.
    """

    name: ids.OrgId
    keys: tuple[str, ...]
    priority: int | None = None


class Service(msgspec.Struct, frozen=True):
    """What the operator declares of a service.

    :param cold_s: warm-up of a replica after its start.
    :param cold_per_s: requests per second that a replica tolerates from all
        hosts together while it warms up; 0 if it needs no warm-up.
    """

    name: ids.ServiceId
    cold_s: float = 0
    cold_per_s: float = 0


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on caller requests and connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3
    idle_s: float = 15


class Tables(msgspec.Struct, frozen=True):
    """Routes, organisations and limits of one version.

    :param organisations: the organisations whose keys are accepted; None if
        requests need no key.
    :param services: services whose replicas may need a warm-up.
    """

    version: int
    routes: tuple[Route, ...]
    organisations: tuple[Organisation, ...] | None = None
    limits: CallerLimits = CallerLimits()
    services: tuple[Service, ...] = ()


class RouteTable:
    """Indexed lookups in one version.

    :param tables: the version as declared by the operator.
    """

    def __init__(self, tables: Tables) -> None:
        """Index routes by host and organisations by key."""
        self.version = tables.version
        self.limits = tables.limits
        self.needs_keys = tables.organisations is not None
        self._by_host: dict[str, list[Route]] = {}
        for route in tables.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=_prefix_length, reverse=True)
        self._by_key = {
            key: organisation
            for organisation in tables.organisations or ()
            for key in organisation.keys
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        :param host: value of the ``Host`` header; its port is ignored.
        """
        name = host.rpartition(':')[0] or host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def organisation(self, key: str) -> Organisation | None:
        """Return the organisation that a key belongs to."""
        return self._by_key.get(key)


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


def pick_target(route: Route, fraction: float) -> ids.ServiceId:
    """Return the service of a target chosen by weight.

    :param fraction: from 0 to 1, uniformly distributed over the requests.
    """
    total = sum(target.weight for target in route.targets)
    remaining = fraction * total
    for target in route.targets:
        remaining -= target.weight
        if remaining < 0:
            return target.service
    return route.targets[-1].service


def priority(organisation: Organisation | None, route: Route) -> int:
    """Return the priority of a request; 0 is the highest.

    :param organisation: sender of the request; its own priority, if any,
        overrides that of the route.
    """
    if organisation is None or organisation.priority is None:
        return route.priority
    return organisation.priority
