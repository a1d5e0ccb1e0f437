"""Decodes the documents in the platform's store."""

import ipaddress
import re
import types
import typing
import urllib.parse

import msgspec
import structlog

from papayaloom import decoding, errors, ids
from papayaloom.process import store_view
from papayaloom.routing import replicas
from papayaloom.version import routes

_log = structlog.get_logger('view')
KEYS = store_view.Keys(
    routes='op/config',
    replicas='servers/',
    hosts='papayaloom/hosts/',
    poison='papayaloom/poison/',
    evacuations='op/evacuate/',
)
_KINDS = types.MappingProxyType(
    {
        'idempotent': routes.Kind.IDEMPOTENT,
        'non_idempotent': routes.Kind.NON_IDEMPOTENT,
        'streaming': routes.Kind.STREAM,
    }
)
_MAX_SLOTS = 100_000
_MAX_PORT = 65_535
# Year 2200.
_MAX_UNIX_MS = 7_258_118_400_000
# Longer warm-ups are taken for an error.
_MAX_COLD_MS = 600_000
_MAX_RATE_PER_S = 1_000_000
_Slots = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_SLOTS)]
_ColdS = typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_COLD_MS / 1000)]
_RatePerS = typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_RATE_PER_S)]
_UnixMs = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_UNIX_MS)]
_READINESS_PATH = '/readiness'
_DIRECTORY_PATH = '/resolve'


class _CamelStruct(msgspec.Struct, frozen=True, rename='camel'):
    """Base class of the documents; field names are encoded in camel case."""


_REPLICA_ID = re.compile('[!-~]+')


class _Share(_CamelStruct, frozen=True):
    service: str
    weight: float = 1


class _Route(_CamelStruct, frozen=True):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0
    max_attempts: int = 1
    priority: int = 0
    anonymous: bool = False
    sticky: bool = False
    resumable: bool = False
    target_gap_ms: float = 0
    service: str = ''
    split: tuple[_Share, ...] = ()


class _Limits(_CamelStruct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Tenant(_CamelStruct, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _Service(_CamelStruct, frozen=True):
    """Declaration of a service.

    :param cold_s: seconds.
    :param cold_per_s: requests per second.
    """

    name: str
    cold_s: _ColdS = 0
    cold_per_s: _RatePerS = 0


class _Config(_CamelStruct, frozen=True):
    version: int
    routes: tuple[_Route, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None
    services: object = ()


class _ReplicaEntry(_CamelStruct, frozen=True):
    """Store entry of a replica.

    The platform may omit ``born`` and ``cold_remaining_ms``.
    """

    service: str
    address: str
    state: str
    zone: str = ''
    slots: _Slots = 0
    born: _UnixMs = 0
    cold_remaining_ms: object = 0


class _DirectoryAnswer(_CamelStruct, frozen=True):
    """Response of the directory.

    :param ttl_s: how long a caller may cache it.
    """

    addresses: list[str]
    ttl_s: float


def decode_tables(content: bytes) -> routes.Tables:
    """Decode the operator's newest desired state.

    :raises papayaloom.errors.CodecError: the document is malformed.
    """
    try:
        config = decoding.decode_json(content, _Config)
        return routes.Tables(
            version=config.version,
            routes=tuple(_route(route) for route in config.routes),
            organisations=_organisations(config.tenants),
            limits=_limits(config.limits),
            services=_services(config.services),
        )
    except (msgspec.MsgspecError, KeyError) as exc:
        raise errors.CodecError(f'desired state: {exc!r}') from exc


def decode_replica(key: str, content: bytes) -> replicas.Replica | None:
    """Decode a replica's entry; None if it describes no usable replica."""
    try:
        entry = decoding.decode_json(content, _ReplicaEntry)
        return replicas.Replica(
            id=_replica_id(key),
            service=ids.ServiceId(entry.service),
            address=parse_address(entry.address),
            zone=entry.zone,
            slots=entry.slots,
            state=replicas.State(entry.state),
            born=entry.born,
            cold_s=_cold_s(entry.cold_remaining_ms),
        )
    except (msgspec.MsgspecError, ValueError):
        # Other programs may write any content here; the caller logs the key.
        return None


def _cold_s(cold_ms: object) -> float | None:
    """Return the rest of a warm-up; None if it is malformed."""
    if cold_ms is None:
        return 0
    is_number = isinstance(cold_ms, int | float) and cold_ms is not True
    if not is_number or not 0 <= typing.cast(float, cold_ms) <= _MAX_COLD_MS:
        return None
    return typing.cast(float, cold_ms) / 1000


def _replica_id(key: str) -> replicas.ReplicaId:
    """Return the id in a key.

    :raises ValueError: it could not be sent in a header.
    """
    name = key.removeprefix(KEYS.replicas)
    if not _REPLICA_ID.fullmatch(name):
        raise ValueError(f'{name!r} is no id of a replica')
    return replicas.ReplicaId(name)


def directory_answer(
    target: str, addresses: list[str], ttl_s: float
) -> bytes | None:
    """Return the response to a directory request; None for other targets."""
    if urllib.parse.urlsplit(target).path != _DIRECTORY_PATH:
        return None
    return msgspec.json.encode(_DirectoryAnswer(addresses, ttl_s))


def is_readiness(target: str) -> bool:
    """Return whether the request target is the readiness check."""
    return target.partition('?')[0] == _READINESS_PATH


def parse_address(text: str) -> tuple[str, int]:
    """Parse ``IP:PORT``.

    :raises ValueError: the text has another form.
    """
    host, _, digits = text.rpartition(':')
    is_port = digits.isascii() and digits.isdecimal()
    if not is_port or not 0 < int(digits) <= _MAX_PORT:
        raise ValueError(f'{text!r} is not IP:PORT')
    return str(ipaddress.ip_address(host)), int(digits)


def _organisations(
    tenants: tuple[_Tenant, ...] | None,
) -> tuple[routes.Organisation, ...] | None:
    if tenants is None:
        return None
    return tuple(
        routes.Organisation(
            ids.OrgId(tenant.name), tenant.api_keys, tenant.priority
        )
        for tenant in tenants
    )


def _services(declared: object) -> tuple[routes.Service, ...]:
    """Return the declared services without malformed ones.

    Only their warm-ups are used. Without them requests can still be routed, so
    a malformed declaration does not keep a version out of force.
    """
    services = []
    for one in declared if isinstance(declared, list) else ():
        try:
            service = msgspec.convert(one, _Service)
        except msgspec.ValidationError as exc:
            _log.error('view: ignored a malformed service', reason=str(exc))
            continue
        services.append(
            routes.Service(
                ids.ServiceId(service.name), service.cold_s, service.cold_per_s
            )
        )
    return tuple(services)


def _route(route: _Route) -> routes.Route:
    shares: typing.Iterable[_Share] = route.split or (_Share(route.service),)
    return routes.Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        kind=_KINDS[route.kind],
        targets=tuple(
            routes.Target(ids.ServiceId(share.service), share.weight)
            for share in shares
        ),
        timeout_s=route.timeout_ms / 1000,
        objective_s=route.target_latency_ms / 1000,
        max_attempts=route.max_attempts,
        priority=route.priority,
        is_anonymous=route.anonymous,
        is_sticky=route.sticky,
        is_resumable=route.resumable,
        gap_s=route.target_gap_ms / 1000,
    )


def _limits(limits: _Limits) -> routes.CallerLimits:
    return routes.CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_s=limits.header_timeout_ms / 1000,
        idle_s=limits.idle_timeout_ms / 1000,
    )
