"""Reads the status resources of the fleet's processes over HTTP.

``GET /status/dump`` answers a JSON object; that of a router has ``router``
and ``settings`` with ``version``, ``digest`` and ``source``.
``GET /status/records/<request id>`` answers 404, or a JSON list of objects
with ``record`` and ``explanation`` (a list of sentences).
"""

import concurrent.futures
import typing
import urllib.parse

import msgspec
import result
import urllib3

from papayaloom.connection import client_connection
from papayaloom.ports import urllib3_errors

_OK = 200
_NOT_FOUND = 404
# Reads 360 routers within a few timeouts, even when many of them are down.
_THREADS = 32

FetchResult = result.Result[object, str]


class Client:
    """Reads several processes concurrently.

    :param timeout_s: connect timeout and read timeout.
    """

    def __init__(self, timeout_s: float = 2.0) -> None:
        """Create a connection pool; connects on the first call."""
        self._pool = client_connection.pool_manager(
            timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
            maxsize=1,
            num_pools=_THREADS,
        )

    def dumps(self, urls: typing.Sequence[str]) -> list[FetchResult]:
        """Return the dump of each process, or the reason of a failure."""
        return self._fetch_all(urls, '/status/dump')

    def records(
        self,
        urls: typing.Sequence[str],
        request_id: str,
    ) -> list[FetchResult]:
        """Return the records of a request from each router.

        The list of a router without a record is empty.
        """
        quoted = urllib.parse.quote(request_id, safe='')
        return self._fetch_all(urls, f'/status/records/{quoted}')

    def where(self, url: str, question: dict[str, str]) -> FetchResult:
        """Ask a gateway where a request would go; problems are answers too."""
        return self._fetch(url, f'/where?{urllib.parse.urlencode(question)}')

    def _fetch_all(
        self,
        urls: typing.Sequence[str],
        path: str,
    ) -> list[FetchResult]:
        with concurrent.futures.ThreadPoolExecutor(_THREADS) as pool:
            return list(pool.map(lambda url: self._fetch(url, path), urls))

    def _fetch(self, url: str, path: str) -> FetchResult:
        resource_url = '{0}{1}'.format(url.rstrip('/'), path)
        try:
            reply = self._pool.request(
                'GET',
                resource_url,
                retries=False,
                redirect=False,
            )
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            return result.Err(
                f'{url} did not answer: {urllib3_errors.describe(exc)}'
            )
        if reply.status == _NOT_FOUND and '/records/' in path:
            return result.Ok([])
        if reply.status != _OK:
            return result.Err(f'{url} answered {reply.status}')
        try:
            return result.Ok(msgspec.json.decode(reply.data))
        except msgspec.DecodeError as exc:
            return result.Err(f'{url} sent invalid JSON: {exc}')
