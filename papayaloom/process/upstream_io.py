"""Carries out the steps of chat requests and service calls."""

import typing

import result

from papayaloom import clock, errors
from papayaloom.ports import engine, service
from papayaloom.process import watch
from papayaloom.request import calls, chat, desk


class CallerGoneError(Exception):
    """The caller closed its connection; nobody waits for an answer."""


class Relay:
    """Runs requests between callers, the desk and upstreams.

    :param sleep: waits for a number of seconds.
    """

    def __init__(
        self,
        office: desk.Desk,
        engines: engine.Engines,
        services: service.Services,
        source: clock.Clock,
        watcher: watch.Watch,
        sleep: typing.Callable[[float], None],
    ) -> None:
        """Keep the parts that do the work."""
        self._desk = office
        self._engines = engines
        self._services = services
        self._clock = source
        self._watch = watcher
        self._sleep = sleep

    def run_chat(
        self, machine: chat.Chat, entry: watch.Entry
    ) -> typing.Iterator[bytes]:
        """Run a chat request.

        :param entry: the request's entry in the watch.
        :returns: iterator of frames for the caller, without
            ``machine.answer.closing``. The front delivers that after the
            grant is released and the record is kept, so that the caller finds
            both done.
        :raises papayaloom.errors.RefusedError: the answer can't be finished.
        :raises CallerGoneError: the caller went away.
        """
        step: chat.Step = machine.admit(self._clock.monotonic())
        while not isinstance(step, chat.Finish):
            if entry.stopped is watch.Stopped.GONE:
                raise CallerGoneError
            if isinstance(step, chat.Fail):
                raise errors.RefusedError(step.problem)
            if isinstance(step, chat.Open):
                step = yield from self._stream(machine, step, entry)
            else:
                step = self._prepare(machine, step)

    def run_call(self, machine: calls.Call) -> calls.Finish:
        """Run a service call.

        :returns: the answer; its outcome is recorded.
        :raises papayaloom.errors.RefusedError: a limit refused the call.
        """
        claim: desk.Claim | None = None
        facts = machine.facts
        problem = self._desk.admit_call(facts.organisation, facts.fingerprint)
        if problem is not None:
            raise errors.RefusedError(problem)
        step: calls.Step = machine.start(self._clock.monotonic())
        while not isinstance(step, calls.Finish):
            if isinstance(step, calls.Claim):
                found = self._desk.claim(step.ask)
                claim = found.ok()
                step = _either(found, machine.claimed, machine.refused)
            elif isinstance(step, calls.Pause):
                self._sleep(step.seconds)
                step = machine.again()
            else:
                step = self._serve(machine, step)
        if claim is not None and step.outcome is not None:
            self._desk.record(claim, step.outcome)
        return step

    def _prepare(
        self, machine: chat.Chat, step: chat.Admit | chat.Pause
    ) -> chat.Step:
        if isinstance(step, chat.Pause):
            self._sleep(step.seconds)
            return machine.admit(self._clock.monotonic())
        found = self._desk.admit(step.ask)
        if isinstance(found, result.Err):
            return machine.refused(found.err_value)
        return machine.granted(found.ok_value, self._clock.monotonic())

    def _stream(
        self, machine: chat.Chat, step: chat.Open, entry: watch.Entry
    ) -> typing.Generator[bytes, None, chat.Step]:
        entry.grant = step.grant
        outcome = desk.Outcome(desk.End.ABANDONED)
        following: chat.Step | None = None
        try:
            exc = yield from self._pump(machine, step, entry)
            if entry.stopped is watch.Stopped.NO or not machine.flowing:
                outcome, following = machine.ended(exc, self._clock.monotonic())
        finally:
            # Also reached when the front closes this generator because the
            # caller's connection broke.
            if following is None:
                outcome = machine.abandoned(self._clock.monotonic())
            self._close(machine, step.grant, outcome, entry)
        return following or machine.late()

    def _pump(
        self, machine: chat.Chat, step: chat.Open, entry: watch.Entry
    ) -> typing.Generator[bytes, None, errors.PapayaloomError | None]:
        try:
            stream = self._engines.stream(
                step.grant.url, step.completion, step.timeouts
            )
        except (errors.UpstreamError, errors.RefusedError) as exc:
            return exc
        entry.stream = stream
        patient = True
        try:
            while machine.flowing and entry.stopped is watch.Stopped.NO:
                chunk = stream.read()
                if not chunk:
                    break
                out = machine.received(chunk)
                if out:
                    yield out
                if patient and out:
                    patient = False
                    stream.patience(machine.idle_s)
        except errors.UpstreamError as exc:
            return exc
        return None

    def _close(
        self,
        machine: chat.Chat,
        grant: desk.Grant,
        outcome: desk.Outcome,
        entry: watch.Entry,
    ) -> None:
        stream = entry.stream
        entry.stream = None
        entry.grant = None
        self._desk.release(grant, outcome)
        if stream is not None:
            stream.close()
        if outcome.end in {desk.End.ABANDONED, desk.End.FAILED}:
            self._watch.cancel(
                self._engines, grant.url, machine.facts.upstream_id
            )
        if outcome.end not in {desk.End.ABANDONED, desk.End.FINISHED}:
            facts = machine.facts
            self._desk.failed(
                desk.Failure(
                    upstream=grant.engine,
                    target=f'models/{facts.body.model}',
                    end=outcome.end,
                    request=facts.upstream_id,
                    fingerprint=facts.fingerprint,
                    leaving=outcome.leaving,
                )
            )

    def _serve(
        self, machine: calls.Call, step: calls.Choose | calls.Send
    ) -> calls.Step:
        now = self._clock.monotonic()
        if isinstance(step, calls.Choose):
            return _either(
                self._desk.replica(machine.facts.service, step.avoid),
                lambda replica: machine.chosen(replica, now),
                machine.refused,
            )
        try:
            reply = self._services.call(
                step.replica.url, step.call, step.timeouts
            )
        except (errors.UpstreamError, errors.RefusedError) as exc:
            return self._not_served(machine, step.replica, exc)
        now = self._clock.monotonic()
        following = machine.answered(reply, now)
        seconds = machine.tries[-1].seconds
        self._desk.served(step.replica, desk.End.FINISHED, seconds)
        return following

    def _not_served(
        self,
        machine: calls.Call,
        replica: desk.Replica,
        exc: errors.PapayaloomError,
    ) -> calls.Step:
        end, following = machine.failed(exc, self._clock.monotonic())
        facts = machine.facts
        self._desk.served(replica, end, machine.tries[-1].seconds)
        self._desk.failed(
            desk.Failure(
                upstream=replica.upstream,
                target=f'services/{facts.service}',
                end=end,
                request=facts.upstream_id,
                fingerprint=facts.fingerprint,
                leaving=isinstance(exc, errors.RefusedError)
                and exc.problem.type == engine.LEAVING,
            )
        )
        return following


_Found = typing.TypeVar('_Found')
_Next = typing.TypeVar('_Next')


def _either(
    found: result.Result[_Found, errors.Problem],
    accept: typing.Callable[[_Found], _Next],
    refuse: typing.Callable[[errors.Problem], _Next],
) -> _Next:
    if isinstance(found, result.Ok):
        return accept(found.ok_value)
    return refuse(found.err_value)
