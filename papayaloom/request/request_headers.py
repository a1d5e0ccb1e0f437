"""Parses and validates the headers of a caller's request."""

import re
import typing

import msgspec
import xxhash

from papayaloom import errors, ids

_ID = re.compile(r'[A-Za-z0-9._:\-]{1,128}', re.ASCII)
_SERVICE_PATH = '/services/'
# Range of X-Priority; requests with a higher value are served first.
MIN_PRIORITY, MAX_PRIORITY = 0, 9
DEFAULT_PRIORITY = 4

Environ = typing.Mapping[str, typing.Any]


class RequestHeaders(msgspec.Struct, frozen=True):
    """Validated headers of one request.

    :param repeatable: value of ``X-Repeatable``; None when absent.
    """

    request_id: ids.RequestId
    chat: ids.ChatId
    priority: int
    deadline_ms: str
    key: ids.CallKey
    repeatable: bool | None


def parse(environ: Environ, generated_id: str) -> RequestHeaders:
    """Parse and validate the control headers of a request.

    :param generated_id: request id to use if the caller sends none.
    :raises papayaloom.errors.RefusedError: a header is malformed.
    """
    request_id = _validated_id(environ, 'X_REQUEST_ID') or generated_id
    priority = environ.get('HTTP_X_PRIORITY', str(DEFAULT_PRIORITY))
    if priority not in {str(number) for number in range(MAX_PRIORITY + 1)}:
        raise malformed_request(
            'X-Priority', f'not a number from {MIN_PRIORITY} to {MAX_PRIORITY}'
        )
    repeatable = environ.get('HTTP_X_REPEATABLE', '').lower()
    if repeatable not in {'', 'yes', 'no'}:
        raise malformed_request('X-Repeatable', 'neither "yes" nor "no"')
    return RequestHeaders(
        request_id=ids.RequestId(request_id),
        chat=ids.ChatId(_validated_id(environ, 'X_CHAT_ID')),
        priority=int(priority),
        deadline_ms=environ.get('HTTP_X_DEADLINE_MS', ''),
        key=ids.CallKey(_validated_id(environ, 'IDEMPOTENCY_KEY')),
        repeatable=repeatable == 'yes' if repeatable else None,
    )


def caller_request_id(environ: Environ) -> str:
    """Return the caller's request id; empty if absent or malformed."""
    text = environ.get('HTTP_X_REQUEST_ID', '')
    return text if _ID.fullmatch(text) else ''


def bearer_token(environ: Environ) -> str:
    """Return the bearer token; empty if there is none."""
    scheme, _, key = environ.get('HTTP_AUTHORIZATION', '').partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def service_path(uri: str) -> tuple[ids.ServiceId, str]:
    """Split the URI of a service call into service name and service path.

    :param uri: path and query string as sent by the caller.
    :returns: the service name, and the path and query string to request from
        the service.
    :raises papayaloom.errors.RefusedError: the path is malformed or has dot
        segments, which could escape the root of the service.
    """
    name, slash, rest = uri.removeprefix(_SERVICE_PATH).partition('/')
    path = rest.partition('?')[0].lower().replace('%2e', '.')
    if not slash or not _ID.fullmatch(name):
        raise malformed_request('path', 'not /services/<name>/<path>')
    # The HTTP client resolves dot segments, which could escape the root of
    # the service.
    if {'.', '..'} & set(path.split('/')) or '\\' in path:
        raise malformed_request('path', 'dot segments are not accepted')
    return ids.ServiceId(name), f'/{rest}'


def fingerprint(org: str, target: str, *parts: bytes) -> ids.Fingerprint:
    """Return a hash that is equal for requests of equal content."""
    digest = xxhash.xxh3_128(f'{org}\0{target}\0'.encode())
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return ids.Fingerprint(digest.hexdigest())


def malformed_request(
    where: str, why: str, status: int = 400
) -> errors.RefusedError:
    """Return the error for a malformed request."""
    return errors.RefusedError(
        errors.Problem('malformed request', status, f'{where}: {why}')
    )


def _validated_id(environ: Environ, name: str) -> str:
    text = environ.get(f'HTTP_{name}', '')
    if text and not _ID.fullmatch(text):
        header = name.replace('_', '-').title()
        raise malformed_request(header, 'longer than 128 or unusual characters')
    return text
