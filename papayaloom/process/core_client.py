"""Thread-safe client of the decision core for the request path."""

import hashlib
import itertools
import typing

import pykka
import result

from papayaloom import clock, errors, ids
from papayaloom.ports import engine
from papayaloom.process import (
    actors,
    admission_client,
    configuration,
    core,
    current_settings,
    drain,
)
from papayaloom.request import core_api
from papayaloom.version import snapshot

# Extra time for the actor to end a search whose deadline has passed.
_ACTOR_GRACE_S = 1
# Maximum time that a caller's answer waits for the batched outcome write.
_RECORD_TIMEOUT_S = 1.5


class CoreClient:
    """Implements :class:`core_api.CoreApi` with the router's actor.

    Every method may be called from any thread.

    :param actor: actor that owns the decision core.
    :param current: the settings in force.
    :param engines: used to copy caches between engines.
    :param shutdown: state of the graceful shutdown; read without the actor.
    """

    def __init__(
        self,
        actor: pykka.ActorRef[actors.RouterActor],
        current: current_settings.CurrentSettings,
        engines: engine.Engines,
        shutdown: drain.Drain,
        source: clock.Clock,
    ) -> None:
        """Store the collaborators."""
        self._actor = actor
        self._current = current
        self._engines = engines
        self._drain = shutdown
        self._clock = source
        self._tickets = itertools.count(1)
        self._key_index = _KeyIndex()

    def organisation(self, key: str) -> ids.OrgId | None:
        """Return the organisation that a bearer key belongs to."""
        return self._key_index.find(key, self._current.snapshot)

    def settings(self) -> snapshot.Snapshot:
        """Return the settings in force."""
        return self._current.snapshot

    def admit(
        self,
        request: core_api.AdmissionRequest,
    ) -> result.Result[core_api.Grant, errors.Problem]:
        """Choose an engine and wait for a grant from its owner."""
        ticket = next(self._tickets)
        try:
            outcome = self._run_and_wait(
                ticket,
                lambda router_core, now: router_core.admit(
                    request, ticket, now
                ),
                request.deadline_s + _ACTOR_GRACE_S,
            )
        except pykka.Timeout:
            self._run(lambda router_core, now: router_core.abandon(ticket, now))
            return result.Err(
                errors.Problem('no engine before the deadline', 504),
            )
        if isinstance(outcome, result.Err):
            return outcome
        admission = outcome.ok_value
        if admission.previous:
            self._copy_cache(admission)
        return result.Ok(admission.grant)

    def renew(self, grant: core_api.Grant) -> None:
        """Do nothing; the core itself renews the holds of grants in use."""

    def release(self, grant: core_api.Grant, outcome: core_api.Outcome) -> None:
        """Release the grant."""
        self._run(
            lambda router_core, now: router_core.release(grant, outcome, now),
        )

    def replica(
        self,
        service: ids.ServiceId,
        avoid: tuple[str, ...] = (),
    ) -> result.Result[core_api.Replica, errors.Problem]:
        """Choose a replica of a service."""
        return self._query(
            lambda router_core, now: router_core.services.choose_replica(
                service, avoid, now
            ),
        )

    def report_attempt_end(
        self,
        replica: core_api.Replica,
        end: core_api.AttemptEnd,
        seconds: float,
    ) -> None:
        """Report the end of an attempt at a replica."""

        def step(
            router_core: core.Core, now: float
        ) -> admission_client.Effects:
            router_core.services.record_outcome(replica.upstream, end, now)
            return admission_client.Effects()

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
                lambda router_core, now: router_core.chats.refusal(
                    organisation, fingerprint, now
                ),
            ),
        )

    def claim(
        self,
        request: core_api.ClaimRequest,
    ) -> result.Result[core_api.Claim, errors.Problem]:
        """Claim a call's idempotency key and wait for the commit."""
        ticket = next(self._tickets)
        try:
            outcome: result.Result[core_api.Claim, errors.Problem] = (
                self._run_and_wait(
                    ticket,
                    lambda router_core, now: router_core.claim(
                        request, ticket, now, self._clock.unix_ms()
                    ),
                    request.deadline_s + _ACTOR_GRACE_S,
                )
            )
        except pykka.Timeout:
            return result.Err(
                errors.Problem('no claim before the deadline', 504),
            )
        return outcome

    def record(
        self, claim: core_api.Claim, outcome: core_api.CallOutcome
    ) -> bool:
        """Record the outcome of a granted claim, with a short wait."""
        try:
            self._run_and_wait(
                claim.ask,
                lambda router_core, now: router_core.record(
                    claim.ask, outcome, now
                ),
                _RECORD_TIMEOUT_S,
            )
        except pykka.Timeout:
            # The claim has no outcome yet: a repeat gets the verdict "may have
            # run" until the outcome is written.
            return False
        return True

    def may_retry(self, upstream: str, target: str) -> bool:
        """Spend one retry from the budgets, if they allow it."""
        return bool(
            self._query(
                lambda router_core, now: router_core.spend_retry(
                    upstream, target, now
                ),
            ),
        )

    def report_failure(self, failure: core_api.Failure) -> None:
        """Report a leaving upstream, or a replica that a call crashed.

        The effect of a chat on its engine is reported by :meth:`release`.
        """
        self._run(
            lambda router_core, now: router_core.record_failure(failure, now)
        )

    def is_accepting(self) -> bool:
        """Return whether new requests are accepted."""
        return self._drain.accepts_requests()

    def dump(self) -> core.Dump:
        """Return a copy of the state of the decision core."""
        return typing.cast(
            core.Dump,
            self._query(lambda router_core, now: router_core.dump(now)),
        )

    def _run_and_wait(
        self,
        ticket: int,
        step: typing.Callable[[core.Core, float], admission_client.Effects],
        timeout_s: float,
    ) -> typing.Any:
        """Run a step on the actor and wait for its outcome.

        :raises pykka.Timeout: there was no outcome in time.
        """
        fut: pykka.Future[actors.Outcome] = pykka.ThreadingFuture()
        self._actor.tell(actors.Begin(ticket, fut, step))
        return fut.get(timeout=timeout_s)

    def _run(
        self,
        step: typing.Callable[[core.Core, float], admission_client.Effects],
    ) -> None:
        self._actor.tell(actors.Run(step))

    def _query(
        self,
        step: typing.Callable[[core.Core, float], typing.Any],
    ) -> typing.Any:
        return self._actor.ask(actors.Query(step))

    def _copy_cache(self, admission: admission_client.Admission) -> None:
        """Copy a chat's cache; on failure the engine recomputes the prompt."""
        source = self._query(
            lambda router_core, _: router_core.chats.url_of(admission.previous),
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


class _KeyIndex:
    """Index from key hashes to organisations, for one settings version."""

    def __init__(self) -> None:
        """Start with an empty index."""
        self._version = -1
        self._orgs_by_hash: dict[str, ids.OrgId] = {}

    def find(self, key: str, settings: snapshot.Snapshot) -> ids.OrgId | None:
        """Return the organisation of a key; rebuild the index when outdated."""
        if settings.version != self._version:
            self._orgs_by_hash = _orgs_by_hash(settings)
            self._version = settings.version
        # The lookup compares SHA-256 digests, which a caller cannot control, so
        # its timing reveals nothing about a key.
        return self._orgs_by_hash.get(hashlib.sha256(key.encode()).hexdigest())


def _orgs_by_hash(settings: snapshot.Snapshot) -> dict[str, ids.OrgId]:
    orgs_by_hash: dict[str, ids.OrgId] = {}
    for org in configuration.organisations(settings):
        hashes = settings.resolve('organisation.key_hashes', org=org).value
        for key_hash in typing.cast('tuple[str, ...]', hashes):
            orgs_by_hash[key_hash.lower()] = org
    return orgs_by_hash
