"""Documents that the platform keeps in its store, translated."""

import types
import typing
import urllib.parse

import msgspec

from papayaloom import errors, ids
from papayaloom.process import replicas, store_view
from papayaloom.version import routes

KEYS = store_view.Keys(
    routes='op/config',
    replicas='servers/',
    hosts='papayaloom/hosts/',
    poison='papayaloom/poison/',
)
_KINDS = types.MappingProxyType(
    {
        'idempotent': routes.Kind.IDEMPOTENT,
        'non_idempotent': routes.Kind.NON_IDEMPOTENT,
        'streaming': routes.Kind.STREAM,
    }
)
_READINESS = '/readiness'
_DIRECTORY = '/resolve'


class _Struct(msgspec.Struct, frozen=True, rename='camel'):
    """Base of the documents: fields are spelled in camel case."""


class _Share(_Struct, frozen=True):
    service: str
    weight: float = 1


class _Route(_Struct, frozen=True):
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


class _Limits(_Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Tenant(_Struct, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _Config(_Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


class _Entry(_Struct, frozen=True):
    """A replica's entry; ``born`` and ``cold_remaining_ms`` may be absent."""

    service: str
    address: str
    state: str
    zone: str = ''
    slots: int = 1
    born: int = 0


class _Addresses(_Struct, frozen=True):
    """Answer of the directory.

    :param ttl_s: how long a caller keeps it.
    """

    addresses: list[str]
    ttl_s: float


def tables(content: bytes) -> routes.Tables:
    """Read the operator's newest desired state.

    :raises papayaloom.errors.CodecError: it can't be read.
    """
    try:
        config = msgspec.json.decode(content, type=_Config)
        return routes.Tables(
            version=config.version,
            routes=tuple(_route(one) for one in config.routes),
            organisations=tuple(
                routes.Organisation(
                    ids.OrgId(one.name), one.api_keys, one.priority
                )
                for one in config.tenants
            ),
            limits=_limits(config.limits),
        )
    except (msgspec.MsgspecError, KeyError) as exc:
        raise errors.CodecError(f'desired state: {exc!r}') from exc


def replica(key: str, content: bytes) -> replicas.Replica | None:
    """Read a replica's entry; None for one that names no replica to use."""
    try:
        entry = msgspec.json.decode(content, type=_Entry)
        return replicas.Replica(
            id=replicas.ReplicaId(key.removeprefix(KEYS.replicas)),
            service=ids.ServiceId(entry.service),
            address=address(entry.address),
            zone=entry.zone,
            slots=entry.slots,
            state=replicas.State(entry.state),
            born=entry.born,
        )
    except (msgspec.MsgspecError, ValueError):
        # The caller logs the key: other writers may write what they like.
        return None


def directory_answer(
    target: str, addresses: list[str], ttl_s: float
) -> bytes | None:
    """Return the answer to a question for addresses; None if it is none."""
    if urllib.parse.urlsplit(target).path != _DIRECTORY:
        return None
    return msgspec.json.encode(_Addresses(addresses, ttl_s))


def is_readiness(target: str) -> bool:
    """Tell whether a request asks whether this host is ready."""
    return target.partition('?')[0] == _READINESS


def address(text: str) -> tuple[str, int]:
    """Read ``IP:PORT``."""
    host, _, port = text.rpartition(':')
    if not host:
        raise ValueError(f'{text!r} is not IP:PORT')
    return host, int(port)


def _route(one: _Route) -> routes.Route:
    shares: typing.Iterable[_Share] = one.split or (_Share(one.service),)
    return routes.Route(
        name=one.name,
        host=one.host,
        prefix=one.prefix,
        kind=_KINDS[one.kind],
        targets=tuple(
            routes.Target(ids.ServiceId(share.service), share.weight)
            for share in shares
        ),
        timeout_s=one.timeout_ms / 1000,
        objective_s=one.target_latency_ms / 1000,
        max_attempts=one.max_attempts,
        priority=one.priority,
        is_anonymous=one.anonymous,
        is_sticky=one.sticky,
        is_resumable=one.resumable,
        gap_s=one.target_gap_ms / 1000,
    )


def _limits(one: _Limits) -> routes.CallerLimits:
    return routes.CallerLimits(
        header_bytes=one.max_header_bytes,
        body_bytes=one.max_body_bytes,
        header_s=one.header_timeout_ms / 1000,
        idle_s=one.idle_timeout_ms / 1000,
    )
