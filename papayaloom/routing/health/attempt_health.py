"""Applies attempt results to ejections, retry budgets and failing requests.

Answers two load patterns: replicas that fail part of their requests, which are
ejected, and requests that fail at every replica, which are not retried.
"""

from papayaloom import errors
from papayaloom.routing import (
    dispatch_messages,
    placement_problems,
    replicas,
)
from papayaloom.routing.health import failing_requests, replica_availability
from papayaloom.routing.overload import budgets


class AttemptHealth:
    """Ejections, retry budgets and requests that fail everywhere."""

    def __init__(
        self,
        availability: replica_availability.ReplicaAvailability,
        retries: budgets.RetryBudgets,
    ) -> None:
        """Initialise without results."""
        self._availability = availability
        self._retries = retries
        self._failing = failing_requests.FailingRequests()

    def record(
        self, attempt_result: dispatch_messages.AttemptResult, now: float
    ) -> list[replicas.ReplicaId]:
        """Record what an attempt says about the health of replicas.

        :returns: the replicas that are ejected because of it.
        """
        if attempt_result.is_failure is None:
            return []
        ejections = self._availability.ejections(attempt_result.service)
        chosen = attempt_result.replica
        if not attempt_result.is_failure:
            ejections.record_success(chosen, now, attempt_result.received_at)
            self._retries.record_success(attempt_result.service, now)
            failed = self._failed_on_their_own(attempt_result, now)
        elif attempt_result.is_error_response and chosen not in (
            ejections.ejected()
        ):
            self._failing.record_error(attempt_result.fingerprint, chosen, now)
            failed = set()
        else:
            failed = {chosen}
        is_certain = attempt_result.is_unbounded
        return [
            one
            for one in failed
            if ejections.record_failure(one, now, is_certain=is_certain)
        ]

    def retry_refusal(
        self, request: dispatch_messages.PlacementRequest, now: float
    ) -> errors.Problem | None:
        """Return why a retry must not be sent; None if the request may be sent."""
        if not request.is_retry:
            return None
        if self._failing.fails_everywhere(request.fingerprint, now):
            return placement_problems.fails_everywhere()
        if self._retries.spend(request.service, now):
            return None
        return placement_problems.budget_spent()

    def _failed_on_their_own(
        self, attempt_result: dispatch_messages.AttemptResult, now: float
    ) -> set[replicas.ReplicaId]:
        """Return the replicas that failed a request that can be answered."""
        if not attempt_result.is_success:
            return set()
        return self._failing.record_success(attempt_result.fingerprint, now)
