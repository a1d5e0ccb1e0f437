"""HTTP calls to a store, shared by the adapters of the key-value port.

Never retries and follows no redirects: the callers decide what to do with a
call that may have taken effect.
"""

import typing

import msgspec
import urllib3

from papayaloom import errors
from papayaloom.ports import failure

_OK = 200
_Answer = typing.TypeVar('_Answer')


class StoreClient:
    """Connections to one store; thread-safe.

    :param url: base URL.
    :param timeout_s: longest wait for an answer.
    :param connections: idle connections that are kept.
    :param connect_s: longest wait for a connection; ``timeout_s`` without it.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float,
        connections: int,
        connect_s: float | None = None,
    ) -> None:
        """Prepare a pool; connects on the first call."""
        self._url = url.rstrip('/')
        self._timeout_s = timeout_s
        self._connect_s = connect_s or timeout_s
        self._pool = urllib3.PoolManager(retries=False, maxsize=connections)

    def call(
        self,
        method: str,
        path: str,
        usable: tuple[int, ...] = (_OK,),
        body: bytes | None = None,
        timeout_s: float | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Return the answer.

        :param usable: statuses that are answers; all else is a failure.
        :param timeout_s: longest wait for the answer of a watch.
        :raises papayaloom.errors.StoreUnavailableError: no usable answer.
        """
        what = f'{method} {path.partition("?")[0]}'
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
            raise errors.StoreUnavailableError(
                f'key-value service {self._url} did not answer: '
                f'{failure.reason(exc)} ({what})',
            ) from exc
        if reply.status not in usable:
            raise errors.StoreUnavailableError(
                f'key-value service {self._url} answered {reply.status} to {what}',
            )
        return reply

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.clear()


def decode(reply: urllib3.BaseHTTPResponse, shape: type[_Answer]) -> _Answer:
    """Return the body of an answer.

    :raises papayaloom.errors.StoreUnavailableError: it can't be read.
    """
    try:
        return msgspec.json.decode(reply.data, type=shape)
    except msgspec.MsgspecError as exc:
        raise errors.StoreUnavailableError(
            f'the store sent an unreadable answer: {exc}',
        ) from exc
