"""Port to the weight store, and its HTTP protocol.

``GET /v1/weights/<model>/<version>`` answers :class:`Manifest`, or 404 when
the store does not have that version. Engines fetch the weights themselves;
the orderer reads the manifest to limit the rate of its orders.
"""

import typing
import urllib.parse

import msgspec
import urllib3

from papayaloom import decoding, errors, ids
from papayaloom.connection import client_connection


class Manifest(msgspec.Struct, frozen=True):
    """Size of the weights of a model version, and rate of the store.

    :param size: bytes that each engine fetches.
    :param bytes_per_s: rate of the store, shared by all engines.
    """

    model: ids.ModelId
    version: ids.VersionId
    size: int
    bytes_per_s: float


class Weights(typing.Protocol):
    """Access to the weight store."""

    def manifest(
        self, model: ids.ModelId, version: ids.VersionId
    ) -> Manifest | None:
        """Return the manifest, or None for an unknown version.

        :raises papayaloom.errors.UpstreamError: there was no usable response.
        """


class HttpWeights:
    """HTTP client of the weight store.

    :param url: base URL of the store.
    :param timeout_s: connect timeout and read timeout.
    """

    def __init__(self, url: str, timeout_s: float = 2) -> None:
        """Create a connection pool; connects on the first call."""
        self._url = url
        self._pool = client_connection.pool_manager(timeout=timeout_s)

    def manifest(
        self, model: ids.ModelId, version: ids.VersionId
    ) -> Manifest | None:
        """Return the manifest, or None for an unknown version."""
        name = urllib.parse.quote(f'{model}/{version}')
        url = f'{self._url}/v1/weights/{name}'
        try:
            response = self._pool.request('GET', url, redirect=False)
        except urllib3.exceptions.HTTPError as exc:
            raise _read_error(str(exc)) from exc
        if response.status == 404:
            return None
        if response.status != 200:
            raise _read_error(f'status {response.status}')
        try:
            return decoding.decode_json(response.data, Manifest)
        except msgspec.MsgspecError as exc:
            raise _read_error(str(exc)) from exc


def _read_error(reason: str) -> errors.UpstreamError:
    return errors.UpstreamError(
        f'the weight store cannot be read: {reason}',
        errors.Verdict.MAY_HAVE_RUN,
    )
