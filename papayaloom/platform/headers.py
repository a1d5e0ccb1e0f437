"""Translates the HTTP headers of the platform."""

import math
import typing

from papayaloom import decoding, errors, ids
from papayaloom.request import header_dialect

_REQUEST_ID = b'Papayaloom-Request-Id'
_TIMEOUT_MS = b'Papayaloom-Request-Deadline'
_PROMPT_PARTS = b'Papayaloom-Prompt-Prefix'
_TOKENS = b'Papayaloom-Token-Counts'
_LAST_EVENT = b'Last-Event-Id'
_RECEIPT = b'papayaloom-response-seal'
_ORGANISATION = b'Papayaloom-Tenant-Name'
_REPLICA = b'Papayaloom-Expected-Replica'
_CACHE_SOURCE = b'Kv-Fetch'
_PRIORITY = b'Papayaloom-Request-Priority'
_LOAD = b'papayaloom-replica-load'
_NOT_RUN = b'papayaloom-not-executed'
_LEAVING = b'server-leaving'
_LIMIT = b'server-limit'
_COLD_MS = b'papayaloom-cold-remaining'
_RETRY_AFTER = b'retry-after'
_BEARER_PREFIX = 'Bearer '
_IDENTIFYING = (_REQUEST_ID.lower(), _RECEIPT)
_MISDIRECTED = 421
_UNAVAILABLE = 503
_MIN_TIMEOUT_MS = 1
_MAX_PRIORITY = 9
# Caps ``Retry-After``: a replica that sends a longer pause by mistake would
# take itself out of service.
_MAX_PAUSE_S = 3600
# Longer warm-ups are taken for an error.
_MAX_COLD_MS = 600_000
# Running, waiting and slots.
_LOAD_COUNTS = 3
_USUAL_PERCENT = 100
# Bounds the effect of a wrong figure.
_MAX_SLOWDOWN = 20

# Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
    )
)
# Headers that only the fleet may set; removed from the requests of callers.
_FLEET_ONLY = frozenset(
    (
        b'authorization',
        b'kv-fetch',
        b'kv-from',
        b'last-event-id',
        b'papayaloom-expected-replica',
        b'papayaloom-expected-version',
        b'papayaloom-kv-backup',
        b'papayaloom-kv-hold',
        b'papayaloom-kv-pin-duration',
        b'papayaloom-request-deadline',
        b'papayaloom-request-priority',
        b'papayaloom-tenant-name',
    )
)


class PlatformDialect:
    """Translates between the platform's headers and the product's types."""

    single_fields = frozenset(
        (
            _REQUEST_ID,
            _TIMEOUT_MS,
            _PROMPT_PARTS,
            _TOKENS,
            _LAST_EVENT,
            b'Authorization',
            b'Content-Type',
            b'Papayaloom-Model-Name',
        )
    )

    def request_id(self, headers: typing.Mapping[bytes, bytes]) -> str:
        """Return the request ID, for logs."""
        return headers.get(_REQUEST_ID, b'').decode('latin-1')

    def read_request(
        self, headers: typing.Mapping[bytes, bytes]
    ) -> header_dialect.RequestMetadata:
        """Parse the request headers of a caller.

        :raises papayaloom.errors.RefusedError: the timeout is not a number.
        """
        prompt, output = _token_counts(headers.get(_TOKENS, b''))
        return header_dialect.RequestMetadata(
            request_id=ids.RequestId(self.request_id(headers)),
            timeout_s=_timeout_s(headers.get(_TIMEOUT_MS, b'')),
            key=_key(headers.get(b'Authorization', b'')),
            parts=_parts(headers.get(_PROMPT_PARTS, b'')),
            prompt_tokens=prompt,
            output_tokens=output,
            last_event_id=headers.get(_LAST_EVENT, b'').decode('latin-1'),
        )

    def upstream_headers(
        self,
        headers: typing.Mapping[bytes, bytes],
        sent: header_dialect.ForwardMetadata,
    ) -> header_dialect.Headers:
        """Return the request headers for an upstream."""
        connection_options = headers.get(b'Connection', b'').lower().split(b',')
        dropped = (
            {name.strip() for name in connection_options}
            | _HOP_BY_HOP
            | _FLEET_ONLY
        )
        kept = [
            (name, text)
            for name, text in headers.items()
            if name.lower() not in dropped
        ]
        left_ms = max(int(sent.left_s * 1000), _MIN_TIMEOUT_MS)
        kept.append((_TIMEOUT_MS, b'%d' % left_ms))
        kept.append((_REPLICA, sent.replica.encode()))
        if sent.organisation:
            kept.append((_ORGANISATION, sent.organisation.encode()))
        if sent.last_event_id:
            kept.append((_LAST_EVENT, sent.last_event_id.encode()))
        if sent.copy_from:
            kept.append((_CACHE_SOURCE, sent.copy_from.encode()))
        if sent.priority is not None:
            priority = min(sent.priority, _MAX_PRIORITY)
            kept.append((_PRIORITY, b'%d' % priority))
        if sent.body_bytes or b'Content-Length' in headers:
            kept.append((b'Content-Length', b'%d' % sent.body_bytes))
        return kept

    def read_answer(
        self, status: int, headers: header_dialect.Headers
    ) -> header_dialect.ResponseMetadata:
        """Parse the response headers of an upstream."""
        found = {name.lower(): text for name, text in headers}
        coding = found.get(b'content-encoding', b'identity').strip().lower()
        return header_dialect.ResponseMetadata(
            request_id=found.get(_REQUEST_ID.lower(), b'').decode('latin-1'),
            is_ambiguous=_is_ambiguous(headers),
            receipt=found.get(_RECEIPT, b'').decode('latin-1'),
            is_not_run=_NOT_RUN in found or status == _MISDIRECTED,
            load=_load(found.get(_LOAD, b'')),
            idle_s=_keep_alive_s(found.get(b'keep-alive', b'')),
            is_encoded=coding != b'identity',
            is_leaving=found.get(_LEAVING, b'').strip() == b'1',
            pause_s=_pause_s(status, found.get(_RETRY_AFTER, b'')),
            limit_per_s=_limit_per_s(status, found.get(_LIMIT, b'')),
            cold_s=_cold_s(status, found.get(_COLD_MS, b'')),
        )

    def caller_headers(
        self, headers: header_dialect.Headers
    ) -> header_dialect.Headers:
        """Return the response headers for the caller."""
        return [
            (name, text)
            for name, text in headers
            if name.lower() not in _HOP_BY_HOP
        ]


def _is_ambiguous(headers: header_dialect.Headers) -> bool:
    names = [name.lower() for name, _ in headers]
    return any(names.count(name) > 1 for name in _IDENTIFYING)


def _timeout_s(text: bytes) -> float | None:
    if not text:
        return None
    try:
        timeout_ms = float(text)
    except ValueError as exc:
        raise _invalid_number(_TIMEOUT_MS, text) from exc
    # NaN fails this comparison too.
    if not timeout_ms >= 0:
        raise _invalid_number(_TIMEOUT_MS, text)
    return timeout_ms / 1000


def _key(text: bytes) -> str:
    decoded = text.decode('latin-1')
    if not decoded.startswith(_BEARER_PREFIX):
        return ''
    return decoded.removeprefix(_BEARER_PREFIX).strip()


def _parts(text: bytes) -> tuple[header_dialect.PromptPart, ...]:
    parts = []
    for entry in text.decode('latin-1').split(','):
        name, _, count = entry.strip().partition(':')
        tokens = decoding.parse_whole(count)
        if tokens is not None:
            parts.append(header_dialect.PromptPart(name, tokens))
    return tuple(parts)


def _token_counts(text: bytes) -> tuple[int, int]:
    counts = _whole_numbers(text)
    return (counts[0], counts[1]) if len(counts) == 2 else (0, 0)


def _load(text: bytes) -> header_dialect.Load | None:
    """Return the reported load; None if one of its counts is malformed.

    Further figures may follow the counts. A malformed one does not make the
    counts less true.
    """
    figures = text.split(b',')
    counts = _whole_numbers(b','.join(figures[:_LOAD_COUNTS]))
    if len(counts) != _LOAD_COUNTS:
        return None
    running, waiting, slots = counts
    slowdown = _slowdown(figures[_LOAD_COUNTS:])
    return header_dialect.Load(running, waiting, slots, slowdown)


def _slowdown(figures: list[bytes]) -> float | None:
    """Return the slowdown of a replica's machine; None if it states none."""
    percent = _number(figures[0]) if figures else None
    if percent is None or not percent > 0:
        return None
    return min(percent / _USUAL_PERCENT, _MAX_SLOWDOWN)


def _whole_numbers(text: bytes) -> list[int]:
    """Return the numbers of a comma-separated list; empty if it is malformed."""
    numbers = [decoding.parse_whole(one.strip()) for one in text.split(b',')]
    return (
        [] if None in numbers else [one for one in numbers if one is not None]
    )


def _keep_alive_s(text: bytes) -> float | None:
    for entry in text.split(b','):
        name, _, text_s = entry.strip().partition(b'=')
        seconds = decoding.parse_whole(text_s)
        if name.lower() == b'timeout' and seconds is not None:
            return seconds
    return None


def _pause_s(status: int, text: bytes) -> float | None:
    """Return ``Retry-After`` of a 503 in seconds.

    The platform sends it as a number, never as a date.
    """
    if status != _UNAVAILABLE:
        return None
    try:
        pause_s = float(text)
    except ValueError:
        return None
    # NaN fails this comparison too.
    return min(pause_s, _MAX_PAUSE_S) if pause_s > 0 else None


def _limit_per_s(status: int, text: bytes) -> float | None:
    """Return the requests per second that a replica takes; None if not named.

    A misdirected request was answered by another replica.
    """
    if status == _MISDIRECTED:
        return None
    per_s = _number(text)
    return per_s if per_s is not None and per_s >= 0 else None


def _cold_s(status: int, text: bytes) -> float | None:
    """Return the rest of a replica's warm-up; None if not stated.

    A misdirected request was answered by another replica.
    """
    cold_ms = None if status == _MISDIRECTED else _number(text)
    if cold_ms is None or not 0 <= cold_ms <= _MAX_COLD_MS:
        return None
    return cold_ms / 1000


def _number(text: bytes) -> float | None:
    """Return a finite number; None if the text is none."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def _invalid_number(name: bytes, text: bytes) -> errors.RefusedError:
    return errors.RefusedError(
        errors.Problem(
            f'{name.decode()} is not a number of milliseconds',
            400,
            detail=text.decode('latin-1'),
        )
    )
