"""Error responses: whether the request or the replica is at fault.

Answers the load pattern of requests that fail at every replica, as a request
for a record that does not exist does. Taken for failures of replicas, they
would eject sound ones and use up the retry budget. A first error response is
therefore held back as evidence: if another replica answers the same request
with success, the first one was at fault; if it fails there too, the request is.

The evidence belongs to one router. It expires, and a router that has just
started has none: it tries each request at a second replica again.
"""

import collections

import msgspec

from papayaloom import ids
from papayaloom.routing import replicas

# Time for which a request that failed at several replicas is not repeated.
_EXPIRY_S = 60.0
_MAX_REQUESTS = 4096
_REPLICAS_TO_ACQUIT = 2
# Two requests in a row, each tried at two replicas. Fewer errors may be chance
# while all replicas fail some of their requests.
_ERRORS_TO_GIVE_UP = 4


class _Errors(msgspec.Struct):
    """Error responses to one request.

    :param count: number of error responses.
    :param at: time of the last one.
    :param is_held: the first one has not been counted against its replica.
    """

    replicas: set[replicas.ReplicaId]
    at: float
    count: int = 0
    is_held: bool = True


class FailingRequests:
    """Requests that replicas answered with an error, by fingerprint."""

    def __init__(self) -> None:
        """Initialise without evidence."""
        self._errors: collections.OrderedDict[ids.Fingerprint, _Errors] = (
            collections.OrderedDict()
        )

    def record_error(
        self,
        fingerprint: ids.Fingerprint,
        replica: replicas.ReplicaId,
        now: float,
    ) -> None:
        """Record an error response to a request."""
        found = self._current(fingerprint, now)
        if found is None:
            found = _Errors(set(), now)
            self._errors[fingerprint] = found
        found.replicas.add(replica)
        found.at = now
        found.count += 1
        if len(found.replicas) >= _REPLICAS_TO_ACQUIT:
            found.is_held = False
        self._errors.move_to_end(fingerprint)
        while len(self._errors) > _MAX_REQUESTS:
            self._errors.popitem(last=False)

    def record_success(
        self, fingerprint: ids.Fingerprint, now: float
    ) -> set[replicas.ReplicaId]:
        """Record a success of a request.

        :returns: the replicas whose error responses were their own fault.
        """
        found = self._current(fingerprint, now)
        self._errors.pop(fingerprint, None)
        if found is None or not found.is_held:
            return set()
        return found.replicas

    def fails_everywhere(
        self, fingerprint: ids.Fingerprint, now: float
    ) -> bool:
        """Tell whether a request has failed again at several replicas."""
        found = self._current(fingerprint, now)
        if found is None or found.count < _ERRORS_TO_GIVE_UP:
            return False
        return len(found.replicas) >= _REPLICAS_TO_ACQUIT

    def _current(
        self, fingerprint: ids.Fingerprint, now: float
    ) -> _Errors | None:
        found = self._errors.get(fingerprint)
        if found is None or now - found.at > _EXPIRY_S:
            return None
        return found
