"""HTTP client shared by the adapters of the key-value port.

Never retries and never follows redirects: the callers decide what to do about
a call that may have taken effect.
"""

import typing

import msgspec
import urllib3

from papayaloom import decoding, errors
from papayaloom.connection import client_connection
from papayaloom.ports import urllib3_errors

_OK = 200
_Body = typing.TypeVar('_Body')


def _ignore_reply(_reply: urllib3.BaseHTTPResponse) -> None:
    """Do nothing."""


class StoreClient:
    """Client of one store; thread-safe.

    :param url: base URL.
    :param timeout_s: read timeout of a call.
    :param connections: maximum number of idle connections.
    :param connect_s: connect timeout; defaults to ``timeout_s``.
    :param on_reply: called with each accepted response.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float,
        connections: int,
        connect_s: float | None = None,
        on_reply: typing.Callable[
            [urllib3.BaseHTTPResponse], object
        ] = _ignore_reply,
    ) -> None:
        """Create a connection pool; connects on the first call."""
        self._url = url.rstrip('/')
        self._timeout_s = timeout_s
        self._connect_s = connect_s or timeout_s
        self._on_reply = on_reply
        self._pool = client_connection.pool_manager(maxsize=connections)

    def call(
        self,
        method: str,
        path: str,
        accepted_statuses: tuple[int, ...] = (_OK,),
        body: bytes | None = None,
        timeout_s: float | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and return the response.

        :param accepted_statuses: any other status is a failure.
        :param timeout_s: read timeout of this call, for watches.
        :raises papayaloom.errors.StoreUnavailableError: there was no response
            or one with another status;
            :class:`papayaloom.errors.StoreDisconnectedError` if the connection
            was closed.
        """
        operation = f'{method} {path.partition("?")[0]}'
        try:
            reply = self._pool.request(
                method,
                f'{self._url}{path}',
                body=body,
                headers={'Content-Type': 'application/json'} if body else {},
                timeout=urllib3.Timeout(
                    connect=self._connect_s, read=timeout_s or self._timeout_s
                ),
                retries=False,
                redirect=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise _error_type(exc)(
                f'key-value service {self._url} did not answer: '
                f'{urllib3_errors.describe(exc)} ({operation})',
            ) from exc
        if reply.status not in accepted_statuses:
            raise errors.StoreUnavailableError(
                f'key-value service {self._url} answered {reply.status} to '
                f'{operation}',
            )
        self._on_reply(reply)
        return reply

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.clear()


def _error_type(exc: Exception) -> type[errors.StoreUnavailableError]:
    if isinstance(exc, urllib3.exceptions.ProtocolError):
        return errors.StoreDisconnectedError
    return errors.StoreUnavailableError


def decode(reply: urllib3.BaseHTTPResponse, body_type: type[_Body]) -> _Body:
    """Decode the JSON body of a response.

    :raises papayaloom.errors.StoreUnavailableError: the body is malformed.
    """
    try:
        return decoding.decode_json(reply.data, body_type)
    except msgspec.MsgspecError as exc:
        raise errors.StoreUnavailableError(
            f'the store sent a malformed response: {exc}',
        ) from exc
