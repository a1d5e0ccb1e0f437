"""In-memory implementation of :class:`papayaloom.request.core_api.CoreApi`.

It serves tests and benchmarks of the request path: it chooses the first engine
or replica that is not excluded and keeps claims in a dictionary.
"""

import itertools
import threading
import typing

import msgspec
import result

from papayaloom import errors, ids
from papayaloom.request import core_api


class Resolved(msgspec.Struct, frozen=True):
    """Resolved value of a setting."""

    value: typing.Any
    branch: str = ''
    version: int = 0


class FixedSettings:
    """Settings with fixed values."""

    def __init__(self, values: dict[str, typing.Any], version: int = 1):
        """Use the given values by path."""
        self.version = version
        self._values = values

    def resolve(
        self, path: str, *, org: str = '', target: str = ''
    ) -> Resolved:
        """Return a value; the branch is ``fleet``."""
        return Resolved(self._values[path], 'fleet', self.version)


class MemoryCore:
    """Decision logic with fixed engines, replicas and organisation keys.

    :param engines: base URL of each engine, in order of preference.
    :param replicas: base URLs of the replicas of each service.
    """

    def __init__(
        self,
        settings: FixedSettings,
        engines: dict[str, str],
        replicas: dict[str, tuple[str, ...]] | None = None,
        keys: dict[str, str] | None = None,
    ) -> None:
        """Start with no grants and no claims."""
        self.engines = engines
        self.replicas = replicas or {}
        self.keys = keys or {}
        self.refusal: errors.Problem | None = None
        self.budget = 1_000_000
        self.open_grants: dict[int, core_api.Grant] = {}
        self.outcomes: list[tuple[str, core_api.Outcome]] = []
        self.failures: list[core_api.Failure] = []
        self.claims: dict[str, core_api.CallOutcome | None] = {}
        self._settings = settings
        self._next_numbers = itertools.count(1)
        self._claim_names: dict[int, str] = {}
        self._lock = threading.Lock()

    def organisation(self, key: str) -> ids.OrgId | None:
        """Return the organisation that owns an API key."""
        found = self.keys.get(key)
        return None if found is None else ids.OrgId(found)

    def settings(self) -> FixedSettings:
        """Return the settings."""
        return self._settings

    def admit(
        self, ask: core_api.AdmissionRequest
    ) -> result.Result[core_api.Grant, errors.Problem]:
        """Grant the first engine that is not excluded."""
        if self.refusal is not None:
            return result.Err(self.refusal)
        names = [name for name in self.engines if name not in ask.avoid]
        if not names:
            return result.Err(errors.Problem('no engine is left', 503))
        grant = core_api.Grant(
            ask=next(self._next_numbers),
            engine=ids.EngineId(names[0]),
            url=self.engines[names[0]],
            reason='first engine',
        )
        self.open_grants[grant.ask] = grant
        return result.Ok(grant)

    def renew(self, grant: core_api.Grant) -> None:
        """Do nothing; these grants do not expire."""

    def release(self, grant: core_api.Grant, outcome: core_api.Outcome) -> None:
        """Release a grant; a second release raises KeyError."""
        self.open_grants.pop(grant.ask)
        self.outcomes.append((grant.engine, outcome))

    def replica(
        self, service: ids.ServiceId, avoid: tuple[str, ...] = ()
    ) -> result.Result[core_api.Replica, errors.Problem]:
        """Return the first replica that is not excluded."""
        if service not in self.replicas:
            return result.Err(errors.Problem('unknown service', 404))
        urls = [url for url in self.replicas[service] if url not in avoid]
        if not urls:
            return result.Err(errors.Problem('no replica is left', 503))
        return result.Ok(core_api.Replica(urls[0], urls[0], 'first replica'))

    def report_attempt_end(
        self,
        replica: core_api.Replica,
        end: core_api.AttemptEnd,
        seconds: float,
    ) -> None:
        """Ignore the end of an attempt."""

    def admit_call(
        self, organisation: ids.OrgId, fingerprint: ids.Fingerprint
    ) -> errors.Problem | None:
        """Return :attr:`refusal`."""
        return self.refusal

    def claim(
        self, ask: core_api.ClaimRequest
    ) -> result.Result[core_api.Claim, errors.Problem]:
        """Claim an idempotency key."""
        name = f'{ask.organisation}/{ask.service}/{ask.key}'
        number = next(self._next_numbers)
        with self._lock:
            known = name in self.claims
            found = self.claims.setdefault(name, None)
            self._claim_names[number] = name
        if not known:
            return result.Ok(
                core_api.Claim(number, core_api.ClaimState.GRANTED)
            )
        if found is None:
            return result.Ok(
                core_api.Claim(number, core_api.ClaimState.IN_PROGRESS)
            )
        if found.verdict is errors.Verdict.MAY_HAVE_RUN:
            return result.Ok(
                core_api.Claim(number, core_api.ClaimState.UNKNOWN)
            )
        return result.Ok(
            core_api.Claim(
                number,
                core_api.ClaimState.RAN,
                found.status,
                found.content[:512],
                found.content_type,
                len(found.content) <= 512,
            )
        )

    def record(
        self, claim: core_api.Claim, outcome: core_api.CallOutcome
    ) -> bool:
        """Record an outcome; ``not run`` releases the key."""
        name = self._claim_names.pop(claim.ask)
        with self._lock:
            self.claims[name] = outcome
            if outcome.verdict is errors.Verdict.NOT_RUN:
                self.claims.pop(name)
        return True

    def may_retry(self, upstream: str, target: str) -> bool:
        """Consume one retry from the budget."""
        self.budget -= 1
        return self.budget >= 0

    def report_failure(self, failure: core_api.Failure) -> None:
        """Record a failure."""
        self.failures.append(failure)

    def is_accepting(self) -> bool:
        """Return True."""
        return True

    def dump(self) -> dict[str, object]:
        """Return the number of open grants."""
        return {'open_grants': len(self.open_grants)}
