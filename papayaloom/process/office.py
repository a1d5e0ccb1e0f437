"""Desk of the request path, in front of the router's actor."""

import hashlib
import itertools
import typing

import pykka
import result

from papayaloom import clock, errors, ids
from papayaloom.ports import engine
from papayaloom.process import (
    actors,
    admitting,
    configuration,
    core,
    current,
    drain,
)
from papayaloom.request import desk
from papayaloom.version import snapshot

# Time for the actor to give up a search whose deadline has passed.
_GRACE_S = 1
# Longest wait for the batched write of an outcome before the caller's answer.
_RECORD_S = 1.5


class Office:
    """Implements :class:`papayaloom.request.desk.Desk` for many threads.

    :param actor: the router's actor.
    :param held: the settings in force.
    :param engines: used to move caches between engines.
    :param stop: the planned stop; read by many threads.
    """

    def __init__(
        self,
        actor: pykka.ActorRef[actors.RouterActor],
        held: current.Current,
        engines: engine.Engines,
        stop: drain.Drain,
        source: clock.Clock,
    ) -> None:
        """Keep the parts."""
        self._actor = actor
        self._current = held
        self._engines = engines
        self._drain = stop
        self._clock = source
        self._tickets = itertools.count(1)
        self._keys = _Keys()

    def organisation(self, key: str) -> ids.OrgId | None:
        """Return whose bearer key this is."""
        return self._keys.find(key, self._current.snapshot)

    def settings(self) -> snapshot.Snapshot:
        """Return the settings in force."""
        return self._current.snapshot

    def admit(
        self,
        ask: desk.ChatAsk,
    ) -> result.Result[desk.Grant, errors.Problem]:
        """Choose an engine and wait for its owner's grant."""
        ticket = next(self._tickets)
        try:
            outcome = self._begin(
                ticket,
                lambda decisions, now: decisions.admit(ask, ticket, now),
                ask.deadline_s + _GRACE_S,
            )
        except pykka.Timeout:
            self._run(lambda decisions, now: decisions.abandon(ticket, now))
            return result.Err(
                errors.Problem('no engine before the deadline', 504),
            )
        if isinstance(outcome, result.Err):
            return outcome
        admission = outcome.ok_value
        if admission.previous:
            self._move_cache(admission)
        return result.Ok(admission.grant)

    def renew(self, grant: desk.Grant) -> None:
        """Do nothing: the core renews the holds of all grants in use."""

    def release(self, grant: desk.Grant, outcome: desk.Outcome) -> None:
        """Give the grant back."""
        self._run(
            lambda decisions, now: decisions.release(grant, outcome, now),
        )

    def replica(
        self,
        service: ids.ServiceId,
        avoid: tuple[str, ...] = (),
    ) -> result.Result[desk.Replica, errors.Problem]:
        """Choose a replica of a service."""
        return self._query(
            lambda decisions, now: decisions.services.replica(
                service, avoid, now
            ),
        )

    def served(
        self,
        replica: desk.Replica,
        end: desk.End,
        seconds: float,
    ) -> None:
        """Say that a try at a replica ended."""

        def step(decisions: core.Core, now: float) -> admitting.Effects:
            decisions.services.served(replica.upstream, end, now)
            return admitting.Effects()

        self._run(step)

    def admit_call(
        self,
        organisation: ids.OrgId,
        fingerprint: ids.Fingerprint,
    ) -> errors.Problem | None:
        """Apply rate limits and the quarantine to a call."""
        return typing.cast(
            errors.Problem | None,
            self._query(
                lambda decisions, now: decisions.chats.refusal(
                    organisation, fingerprint, now
                ),
            ),
        )

    def claim(
        self,
        ask: desk.CallAsk,
    ) -> result.Result[desk.Claim, errors.Problem]:
        """Claim a call's key and wait until the claim is committed."""
        ticket = next(self._tickets)
        try:
            outcome: result.Result[desk.Claim, errors.Problem] = self._begin(
                ticket,
                lambda decisions, now: decisions.claim(
                    ask, ticket, now, self._clock.unix_ms()
                ),
                ask.deadline_s + _GRACE_S,
            )
        except pykka.Timeout:
            return result.Err(
                errors.Problem('no claim before the deadline', 504),
            )
        return outcome

    def record(self, claim: desk.Claim, outcome: desk.CallOutcome) -> bool:
        """Record the outcome of a granted claim, and wait for it a little."""
        try:
            self._begin(
                claim.ask,
                lambda decisions, now: decisions.record(
                    claim.ask, outcome, now
                ),
                _RECORD_S,
            )
        except pykka.Timeout:
            # The claim stands without an outcome: a repeat gets "may have
            # run" until the outcome is written.
            return False
        return True

    def may_retry(self, upstream: str, target: str) -> bool:
        """Take one retry from the budgets."""
        return bool(
            self._query(
                lambda decisions, now: decisions.spend_retry(
                    upstream, target, now
                ),
            ),
        )

    def failed(self, failure: desk.Failure) -> None:
        """Note an upstream that is leaving, or that a call crashed.

        What a chat did to its engine is noted when its grant is released.
        """
        self._run(lambda decisions, now: decisions.failed(failure, now))

    def accepting(self) -> bool:
        """Return whether new requests are accepted."""
        return self._drain.takes_requests()

    def dump(self) -> core.Dump:
        """Return a copy of the decision state."""
        return typing.cast(
            core.Dump,
            self._query(lambda decisions, now: decisions.dump(now)),
        )

    def _begin(
        self,
        ticket: int,
        step: typing.Callable[[core.Core, float], admitting.Effects],
        wait_s: float,
    ) -> typing.Any:
        """Start a step and wait for its outcome.

        :raises pykka.Timeout: it did not come in time.
        """
        fut: pykka.Future[actors.Outcome] = pykka.ThreadingFuture()
        self._actor.tell(actors.Begin(ticket, fut, step))
        return fut.get(timeout=wait_s)

    def _run(
        self,
        step: typing.Callable[[core.Core, float], admitting.Effects],
    ) -> None:
        self._actor.tell(actors.Run(step))

    def _query(
        self,
        step: typing.Callable[[core.Core, float], typing.Any],
    ) -> typing.Any:
        return self._actor.ask(actors.Query(step))

    def _move_cache(self, admission: admitting.Admission) -> None:
        """Copy a chat's cache; without it the engine computes the prompt."""
        source = self._query(
            lambda decisions, _: decisions.chats.url_of(admission.previous),
        )
        if not source:
            return
        try:
            cache = self._engines.export_cache(source, admission.chat)
        except errors.PapayaloomError:
            return
        try:
            self._engines.import_cache(
                admission.grant.url,
                admission.chat,
                cache,
            )
        except errors.PapayaloomError:
            return


class _Keys:
    """Organisations by the hash of their key, for one settings version."""

    def __init__(self) -> None:
        """Start without a version."""
        self._version = -1
        self._hashes: dict[str, ids.OrgId] = {}

    def find(self, key: str, settings: snapshot.Snapshot) -> ids.OrgId | None:
        """Return whose key this is."""
        if settings.version != self._version:
            self._hashes = _hashes(settings)
            self._version = settings.version
        # The look-up compares SHA-256 digests, which a caller cannot steer, so
        # its time tells nothing about a key.
        return self._hashes.get(hashlib.sha256(key.encode()).hexdigest())


def _hashes(settings: snapshot.Snapshot) -> dict[str, ids.OrgId]:
    found: dict[str, ids.OrgId] = {}
    for org in configuration.organisations(settings):
        hashes = settings.resolve('organisation.key_hashes', org=org).value
        for known in typing.cast('tuple[str, ...]', hashes):
            found[known.lower()] = org
    return found
