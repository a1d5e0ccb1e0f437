"""Checks the headers of a caller's request."""

import re
import typing

import msgspec
import xxhash

from papayaloom import errors, ids

_ID = re.compile(r'[A-Za-z0-9._:\-]{1,128}', re.ASCII)
_SERVICE_PATH = '/services/'
# Range of X-Priority; a higher one goes first.
LOWEST, HIGHEST = 0, 9
USUAL_PRIORITY = 4

Environ = typing.Mapping[str, typing.Any]


class Headers(msgspec.Struct, frozen=True):
    """Checked headers of one request.

    :param repeatable: ``X-Repeatable``; nothing when absent.
    """

    request_id: ids.RequestId
    chat: ids.ChatId
    priority: int
    deadline_ms: str
    key: ids.CallKey
    repeatable: bool | None


def headers(environ: Environ, fresh_id: str) -> Headers:
    """Check the headers that steer a request.

    :param fresh_id: id for a caller that sends none.
    :raises papayaloom.errors.RefusedError: a header is malformed.
    """
    request_id = _checked(environ, 'X_REQUEST_ID') or fresh_id
    priority = environ.get('HTTP_X_PRIORITY', str(USUAL_PRIORITY))
    if priority not in {str(number) for number in range(HIGHEST + 1)}:
        raise refused('X-Priority', f'not a number from {LOWEST} to {HIGHEST}')
    repeatable = environ.get('HTTP_X_REPEATABLE', '').lower()
    if repeatable not in {'', 'yes', 'no'}:
        raise refused('X-Repeatable', 'neither "yes" nor "no"')
    return Headers(
        request_id=ids.RequestId(request_id),
        chat=ids.ChatId(_checked(environ, 'X_CHAT_ID')),
        priority=int(priority),
        deadline_ms=environ.get('HTTP_X_DEADLINE_MS', ''),
        key=ids.CallKey(_checked(environ, 'IDEMPOTENCY_KEY')),
        repeatable=repeatable == 'yes' if repeatable else None,
    )


def stated_id(environ: Environ) -> str:
    """Return the caller's request id, empty when absent or malformed."""
    text = environ.get('HTTP_X_REQUEST_ID', '')
    return text if _ID.fullmatch(text) else ''


def bearer(environ: Environ) -> str:
    """Return the bearer key, empty without one."""
    scheme, _, key = environ.get('HTTP_AUTHORIZATION', '').partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def service_path(uri: str) -> tuple[ids.ServiceId, str]:
    """Split the path of a service call.

    :param uri: path and query as the caller sent them.
    :returns: the service's name, and path and query at the service.
    :raises papayaloom.errors.RefusedError: the path leaves the service.
    """
    name, slash, rest = uri.removeprefix(_SERVICE_PATH).partition('/')
    path = rest.partition('?')[0].lower().replace('%2e', '.')
    if not slash or not _ID.fullmatch(name):
        raise refused('path', 'not /services/<name>/<path>')
    # The HTTP library would resolve dot segments, beyond the service's root.
    if {'.', '..'} & set(path.split('/')) or '\\' in path:
        raise refused('path', 'dot segments are not accepted')
    return ids.ServiceId(name), f'/{rest}'


def fingerprint(org: str, target: str, *parts: bytes) -> ids.Fingerprint:
    """Return what requests of equal content have in common."""
    digest = xxhash.xxh3_128(f'{org}\0{target}\0'.encode())
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return ids.Fingerprint(digest.hexdigest())


def refused(where: str, why: str, status: int = 400) -> errors.RefusedError:
    """Return the refusal of a malformed request."""
    return errors.RefusedError(
        errors.Problem('malformed request', status, f'{where}: {why}')
    )


def _checked(environ: Environ, name: str) -> str:
    text = environ.get(f'HTTP_{name}', '')
    if text and not _ID.fullmatch(text):
        header = name.replace('_', '-').title()
        raise refused(header, 'longer than 128 or unusual characters')
    return text
