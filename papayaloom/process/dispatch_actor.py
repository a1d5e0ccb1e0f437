"""Actor that owns the dispatch state of a forwarding router."""

import typing

import msgspec
import pykka
import structlog

from papayaloom import clock
from papayaloom.routing import dispatch, dispatch_messages, replicas
from papayaloom.routing.limits import rate_limits
from papayaloom.routing.load import request_counts
from papayaloom.routing.poison import poison_evidence
from papayaloom.request import header_dialect

_log = structlog.get_logger('dispatch')
# A step takes microseconds; after this time, the actor must have died.
_ASK_TIMEOUT_S = 2.0

Step = typing.Callable[[dispatch.Dispatcher, float], typing.Any]


class RunStep(msgspec.Struct, frozen=True):
    """Message that runs a step on the dispatch state.

    :param is_asked: whether the sender waits for the result.
    """

    step: Step
    is_asked: bool


class DispatchActor(pykka.ThreadingActor):
    """Runs the steps that it receives, one at a time."""

    use_daemon_thread = True

    def __init__(self, dispatcher: dispatch.Dispatcher, source: clock.Clock):
        """Take ownership of the state; no other thread may use it."""
        super().__init__()
        self._dispatcher = dispatcher
        self._clock = source

    def on_receive(self, message: typing.Any) -> typing.Any:
        """Run a step; an exception in it does not stop the actor.

        Pykka passes an exception on to a sender that waits, and otherwise ends
        the actor.
        """
        try:
            return message.step(self._dispatcher, self._clock.monotonic())
        except Exception:
            _log.exception('dispatch: a step failed')
            if message.is_asked:
                raise
        return None


class DispatchClient:
    """Thread-safe access to the dispatch state."""

    def __init__(self, actor: pykka.ActorRef[DispatchActor]) -> None:
        """Use the given actor."""
        self._actor = actor
        # Called before each placement; waits until the view is recent.
        self.wait_current: typing.Callable[[], object] = _do_not_wait
        # Called when there are poison reports to send to the other hosts.
        self.on_poison_report: typing.Callable[[], object] = (
            _ignore_pending_report
        )

    def place(
        self, request: dispatch_messages.PlacementRequest
    ) -> dispatch.PlacementResult:
        """Choose the replica for an attempt."""
        self.wait_current()
        return self.ask(lambda dispatcher, now: dispatcher.place(request, now))

    def ended(self, attempt_result: dispatch_messages.AttemptResult) -> None:
        """Report the result of an attempt."""
        self.tell(
            lambda dispatcher, now: self._record_result(
                dispatcher, attempt_result, now
            )
        )

    def record_load(
        self, replica: typing.Any, load: header_dialect.Load
    ) -> None:
        """Report the load of a replica."""
        self.tell(
            lambda dispatcher, now: dispatcher.record_load(replica, load, now)
        )

    def record_response_metadata(
        self,
        replica: replicas.Replica,
        metadata: header_dialect.ResponseMetadata,
    ) -> None:
        """Report the status that a replica attached to a response."""
        if metadata.load is not None:
            self.record_load(replica.id, metadata.load)
        if metadata.is_leaving:
            self.tell(lambda dispatcher, _: _mark_leaving(dispatcher, replica))
        if metadata.cold_s is not None:
            cold_s = metadata.cold_s
            self.tell(
                lambda dispatcher, now: (
                    dispatcher.cold.replicas.record_response(
                        replica, cold_s, now
                    )
                )
            )
        if metadata.pause_s is not None:
            pause_s = metadata.pause_s
            _log.info(
                'dispatch: a replica requested a pause',
                replica=replica.id,
                seconds=pause_s,
            )
            self.tell(
                lambda dispatcher, now: dispatcher.paused(replica, pause_s, now)
            )

    def record_rate_limit(
        self,
        replica: replicas.Replica,
        metadata: header_dialect.ResponseMetadata,
    ) -> None:
        """Report the limit in a response to a request that a replica received.

        A rejection without a limit says nothing: it may come from elsewhere.
        """
        per_s = metadata.limit_per_s
        if per_s is None and not metadata.receipt:
            return
        self.tell(
            lambda dispatcher, now: _record_rate_limit(
                dispatcher, replica, per_s, now
            )
        )

    def rate_limit_reports(self) -> rate_limits.LimitReports:
        """Return the known rate limits of replicas, for other hosts."""
        return self.ask(
            lambda dispatcher, now: dispatcher.rate_limits.reports(now)
        )

    def apply_rate_limit_reports(
        self, reports: rate_limits.LimitReports, received_at: float
    ) -> None:
        """Apply the rate limits that another host knows.

        :param received_at: monotonic time up to which their ages count.
        """
        self.tell(
            lambda dispatcher, now: dispatcher.rate_limits.apply_reports(
                reports, received_at, now
            )
        )

    def handle_poison_report(self, report: poison_evidence.Report) -> None:
        """Apply a report of another host about poison requests."""
        parts = report.parts or poison_evidence.Report()
        verdicts = (*report.condemned, *report.cleared, *parts.condemned)
        if verdicts or parts.released:
            _log.info(
                'dispatch: received a poison report',
                condemned=report.condemned,
                cleared=report.cleared,
                condemned_parts=parts.condemned,
                released_parts=parts.released,
            )

        def step(dispatcher: dispatch.Dispatcher, now: float) -> None:
            dispatcher.poison.apply_report(report, now)
            self._notify_pending_report(dispatcher)

        self.tell(step)

    def may_contact(self, replica: replicas.Replica) -> bool:
        """Whether a replica may get connections: its zone is in service."""
        return self.ask(
            lambda dispatcher, _: (
                not dispatcher.evacuations.is_evacuated(replica.zone)
            )
        )

    def own_request_counts(self) -> request_counts.RequestCounts:
        """Return the running and arrived requests of this router."""
        return self.ask(
            lambda dispatcher, now: dispatcher.own_request_counts(now)
        )

    def update_fleet_counts(self, totals: request_counts.RequestCounts) -> None:
        """Report the request counts of the whole fleet."""
        self.tell(
            lambda dispatcher, now: dispatcher.update_fleet_counts(totals, now)
        )

    def ask(self, step: Step) -> typing.Any:
        """Run a step in the actor and return its result."""
        return self._actor.ask(
            RunStep(step, is_asked=True), timeout=_ASK_TIMEOUT_S
        )

    def tell(self, step: Step) -> None:
        """Queue a step without waiting for it."""
        self._actor.tell(RunStep(step, is_asked=False))

    def _record_result(
        self,
        dispatcher: dispatch.Dispatcher,
        attempt_result: dispatch_messages.AttemptResult,
        now: float,
    ) -> None:
        if attempt_result.suspicion is not None:
            dispatcher.cold.replicas.record_end(
                dispatcher.replicas.find(attempt_result.replica), now
            )
        for replica in dispatcher.ended(attempt_result, now):
            _log.info(
                'dispatch: a replica is ejected',
                replica=replica,
                fingerprint=attempt_result.fingerprint,
            )
        self._notify_pending_report(dispatcher)

    def _notify_pending_report(self, dispatcher: dispatch.Dispatcher) -> None:
        if dispatcher.poison.has_report():
            self.on_poison_report()


def _mark_leaving(
    dispatcher: dispatch.Dispatcher, replica: replicas.Replica
) -> None:
    if dispatcher.replicas.mark_leaving(replica):
        _log.info(
            'dispatch: a replica announced its shutdown',
            replica=replica.id,
            born=replica.born,
        )


def _record_rate_limit(
    dispatcher: dispatch.Dispatcher,
    replica: replicas.Replica,
    per_s: float | None,
    now: float,
) -> None:
    if dispatcher.rate_limits.record(replica, per_s, now):
        _log.info(
            'dispatch: a replica changed its rate limit',
            replica=replica.id,
            per_s=per_s,
        )


def _do_not_wait() -> None:
    """Do nothing: the view is used whatever its age."""


def _ignore_pending_report() -> None:
    """Do nothing: the reports stay queued until they are fetched."""
