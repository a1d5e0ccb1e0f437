"""Port to the weight store, and its HTTP protocol.

``GET /v1/weights/<model>/<version>`` answers :class:`Manifest`, or 404 when
the store does not have that version. Engines fetch the weights themselves;
the orderer reads the manifest to pace its orders.
"""

import typing
import urllib.parse

import msgspec
import urllib3

from papayaloom import errors, ids


class Manifest(msgspec.Struct, frozen=True):
    """Weights of one version of a model.

    :param size: bytes that each engine fetches.
    :param bytes_per_s: rate of the store for all engines together.
    """

    model: ids.ModelId
    version: ids.VersionId
    size: int
    bytes_per_s: float


class Weights(typing.Protocol):
    """What the orderer asks of the weight store."""

    def manifest(
        self, model: ids.ModelId, version: ids.VersionId
    ) -> Manifest | None:
        """Return the size and the rate, or nothing for an unknown version.

        :raises papayaloom.errors.UpstreamError: there was no answer.
        """


class HttpWeights:
    """Weight store over HTTP.

    :param url: base URL of the store.
    :param timeout_s: limit of one call.
    """

    def __init__(self, url: str, timeout_s: float = 2) -> None:
        """Open no connection yet."""
        self._url = url
        self._pool = urllib3.PoolManager(retries=False, timeout=timeout_s)

    def manifest(
        self, model: ids.ModelId, version: ids.VersionId
    ) -> Manifest | None:
        """Return the size and the rate, or nothing for an unknown version."""
        name = urllib.parse.quote(f'{model}/{version}')
        url = f'{self._url}/v1/weights/{name}'
        try:
            reply = self._pool.request('GET', url, redirect=False)
        except urllib3.exceptions.HTTPError as exc:
            raise _unreadable(str(exc)) from exc
        if reply.status == 404:
            return None
        if reply.status != 200:
            raise _unreadable(f'status {reply.status}')
        try:
            return msgspec.json.decode(reply.data, type=Manifest)
        except msgspec.MsgspecError as malformed:
            raise _unreadable(str(malformed)) from malformed


def _unreadable(reason: str) -> errors.UpstreamError:
    return errors.UpstreamError(
        f'the weight store cannot be read: {reason}',
        errors.Verdict.MAY_HAVE_RUN,
    )
