"""Actor that owns the decision state of a forwarding router."""

import typing

import msgspec
import pykka
import structlog

from papayaloom import clock
from papayaloom.process import dispatch, poison, replicas, request_counts
from papayaloom.request import onward

_log = structlog.get_logger('dispatch')
# A step takes microseconds; a longer wait means that the actor is dead.
_ASK_S = 2.0

Step = typing.Callable[[dispatch.Dispatch, float], typing.Any]


class Run(msgspec.Struct, frozen=True):
    """Runs a step of the decision state."""

    step: Step


class DispatchActor(pykka.ThreadingActor):
    """Runs steps one after the other."""

    use_daemon_thread = True

    def __init__(self, decisions: dispatch.Dispatch, source: clock.Clock):
        """Take over the state; nobody else may use it any more."""
        super().__init__()
        self._decisions = decisions
        self._clock = source

    def on_receive(self, message: typing.Any) -> typing.Any:
        """Run a step; a fault in one does not end the process."""
        try:
            return message.step(self._decisions, self._clock.monotonic())
        except Exception:
            _log.exception('dispatch: a step failed')
            raise


class Desk:
    """Way of other threads to the decision state."""

    def __init__(self, actor: pykka.ActorRef[DispatchActor]) -> None:
        """Keep the actor."""
        self._actor = actor
        # Woken when there is something to tell the other hosts.
        self.on_news: typing.Callable[[], object] = _nobody

    def place(self, wanted: dispatch.Wanted) -> dispatch.Placed:
        """Return the replica for an attempt."""
        return self.ask(lambda decisions, now: decisions.place(wanted, now))

    def ended(self, outcome: dispatch.Outcome) -> None:
        """Tell the end of an attempt."""
        self.tell(lambda decisions, now: self._end(decisions, outcome, now))

    def reported(self, replica: typing.Any, load: onward.Load) -> None:
        """Tell the load that a replica states."""
        self.tell(lambda decisions, now: decisions.reported(replica, load, now))

    def noticed(self, replica: replicas.Replica, marks: onward.Marks) -> None:
        """Tell what a replica states about itself with an answer."""
        if marks.load is not None:
            self.reported(replica.id, marks.load)
        if marks.is_leaving:
            self.tell(lambda decisions, _: _leave(decisions, replica))
        if marks.pause_s is not None:
            pause_s = marks.pause_s
            _log.info(
                'dispatch: a replica asks for a pause',
                replica=replica.id,
                seconds=pause_s,
            )
            self.tell(
                lambda decisions, now: decisions.paused(replica, pause_s, now)
            )

    def heard_poison(self, report: poison.Report) -> None:
        """Tell what another host says of poison requests."""

        if report.condemned or report.cleared:
            _log.info(
                'dispatch: word of poison requests',
                condemned=report.condemned,
                cleared=report.cleared,
            )

        def step(decisions: dispatch.Dispatch, now: float) -> None:
            decisions.poison.apply_report(report, now)
            self._pass_news_on(decisions)

        self.tell(step)

    def own_request_counts(self) -> request_counts.RequestCounts:
        """Return the requests of this router."""
        return self.ask(
            lambda decisions, now: decisions.own_request_counts(now)
        )

    def update_fleet_counts(self, totals: request_counts.RequestCounts) -> None:
        """Tell the requests of all routers."""
        self.tell(
            lambda decisions, now: decisions.update_fleet_counts(totals, now)
        )

    def ask(self, step: Step) -> typing.Any:
        """Run a step and return its value."""
        return self._actor.ask(Run(step), timeout=_ASK_S)

    def tell(self, step: Step) -> None:
        """Run a step some time soon."""
        self._actor.tell(Run(step))

    def _end(
        self,
        decisions: dispatch.Dispatch,
        outcome: dispatch.Outcome,
        now: float,
    ) -> None:
        decisions.ended(outcome, now)
        self._pass_news_on(decisions)

    def _pass_news_on(self, decisions: dispatch.Dispatch) -> None:
        if decisions.poison.has_report():
            self.on_news()


def _leave(decisions: dispatch.Dispatch, replica: replicas.Replica) -> None:
    if decisions.replicas.leave(replica):
        _log.info(
            'dispatch: a replica says that it leaves',
            replica=replica.id,
            born=replica.born,
        )


def _nobody() -> None:
    """Wake nobody: news wait until somebody asks for them."""
