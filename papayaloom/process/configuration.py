"""Builds the configuration of each component from one settings snapshot."""

import types
import typing

import msgspec

from papayaloom import ids
from papayaloom.connection import caller_connection
from papayaloom.process import (
    addresses,
    admission,
    dissemination,
    drain,
    engines,
    ledger,
    ledger_writer,
    limits,
    membership,
    outbox,
    placement,
    prefixes,
    promises,
    quarantine,
    queueing,
    quotas,
    ranks,
)
from papayaloom.routing.health import ejection
from papayaloom.routing.overload import budgets
from papayaloom.process import load_reports
from papayaloom.request import prompt
from papayaloom.version import schema, snapshot

_Cfg = typing.TypeVar('_Cfg', bound=msgspec.Struct)
_PLACEMENT_PREFIX = 'placement'
_RETRY_PATHS = types.MappingProxyType(
    {
        'budget_ratio': 'retry.budget_ratio',
        'saved_retries': 'retry.saved_retries',
        'idle_retries_per_s': 'retry.idle_retries_per_s',
    }
)


def fill(
    defaults: _Cfg,
    settings: snapshot.Snapshot,
    prefix: str,
    target: str | None = None,
    **overrides: object,
) -> _Cfg:
    """Return a copy of a configuration, filled from the settings.

    Each field takes the setting of the same name below the prefix; a field
    without such a setting keeps its value.

    :param prefix: first part of the settings' paths.
    :param overrides: values of fields that are not read from the settings.
    """
    declared = schema.load()
    resolved: dict[str, object] = {}
    for name in defaults.__struct_fields__:
        path = f'{prefix}.{name}'
        if name not in overrides and path in declared:
            resolved[name] = settings.resolve(path, target=target).value
    return msgspec.structs.replace(defaults, **resolved, **overrides)


def membership_cfg(settings: snapshot.Snapshot) -> membership.Cfg:
    """Return the configuration of the membership protocol."""
    return fill(membership.Cfg(), settings, 'membership')


def distribution_cfg(settings: snapshot.Snapshot) -> dissemination.Cfg:
    """Return the configuration of the distribution of settings."""
    return fill(dissemination.Cfg(), settings, 'distribution')


def owner_cfg(settings: snapshot.Snapshot, target: str) -> admission.Cfg:
    """Return the configuration of an owner of engines for one model.

    :param target: settings branch of the model.
    """

    def section(defaults: _Cfg, **overrides: object) -> _Cfg:
        return fill(defaults, settings, _PLACEMENT_PREFIX, target, **overrides)

    return section(
        admission.Cfg(),
        rank=section(ranks.Cfg()),
        promise=section(promises.Cfg()),
        quota=section(quotas.Cfg()),
        load=section(load_reports.Cfg()),
        engine=section(engines.Cfg()),
        waiting=section(
            queueing.Cfg(),
            length=settings.resolve(
                'placement.queue_length', target=target
            ).value,
            weights=_organisation_overrides(settings, 'limits.weight'),
        ),
    )


def home_cfg(settings: snapshot.Snapshot, target: str) -> placement.Cfg:
    """Return the placement weights that a home uses for one model."""
    return fill(placement.Cfg(), settings, _PLACEMENT_PREFIX, target)


def prefix_cache_cfg(settings: snapshot.Snapshot, target: str) -> prefixes.Cfg:
    """Return the size of the engines' prefix caches for one model."""
    return fill(
        prefixes.Cfg(),
        settings,
        _PLACEMENT_PREFIX,
        target,
        blocks=settings.resolve('placement.cache_blocks', target=target).value,
        block_tokens=prompt.BLOCK_TOKENS,
    )


def rate_limits_cfg(settings: snapshot.Snapshot) -> limits.Cfg:
    """Return the rate limits of all organisations."""
    org_rates = _organisation_overrides(settings, 'limits.rate_per_s')
    return fill(limits.Cfg(), settings, 'limits', rates=org_rates)


def quarantine_cfg(settings: snapshot.Snapshot) -> quarantine.Cfg:
    """Return the configuration of the quarantine."""
    released = settings.resolve('quarantine.released').value
    fingerprints = frozenset(
        ids.Fingerprint(fingerprint)
        for fingerprint in typing.cast('tuple[str]', released)
    )
    return fill(quarantine.Cfg(), settings, 'quarantine', released=fingerprints)


def ledger_cfg(settings: snapshot.Snapshot) -> ledger.Cfg:
    """Return the timeouts and retention of the ledger."""
    writer = fill(ledger_writer.Cfg(), settings, 'ledger')
    return fill(ledger.Cfg(), settings, 'ledger', writer=writer)


def ejection_cfg(settings: snapshot.Snapshot, target: str) -> ejection.Cfg:
    """Return the ejection thresholds for the upstreams of a target."""
    return fill(ejection.Cfg(), settings, 'ejection', target)


def retry_budget_cfg(settings: snapshot.Snapshot, target: str) -> budgets.Cfg:
    """Return the retry budgets of a target."""
    resolved = {
        name: settings.resolve(path, target=target).value
        for name, path in _RETRY_PATHS.items()
    }
    return msgspec.structs.replace(budgets.Cfg(), **resolved)


def address_cfg(settings: snapshot.Snapshot) -> addresses.Cfg:
    """Return the configuration of address answers."""
    return fill(addresses.Cfg(), settings, 'addresses')


def drain_cfg(settings: snapshot.Snapshot) -> drain.Cfg:
    """Return the configuration of a graceful shutdown."""
    return fill(
        drain.Cfg(),
        settings,
        'stop',
        ttl_s=address_cfg(settings).ttl_s,
    )


def organisations(settings: snapshot.Snapshot) -> typing.Iterator[ids.OrgId]:
    """Yield the organisations that have a settings branch."""
    for branch in settings.branches:
        kind, _, name = branch.partition('/')
        if kind == 'organisations':
            yield ids.OrgId(name)


def _organisation_overrides(
    settings: snapshot.Snapshot,
    path: str,
) -> dict[ids.OrgId, float]:
    """Return the values of organisations that override the fleet's value."""
    fleet_value = settings.resolve(path).value
    resolved: dict[ids.OrgId, float] = {}
    for org in organisations(settings):
        org_value = settings.resolve(path, org=org).value
        if org_value != fleet_value:
            resolved[org] = typing.cast(float, org_value)
    return resolved


def outbox_cfg(settings: snapshot.Snapshot) -> outbox.Cfg:
    """Return the byte budget for outgoing control messages."""
    return fill(outbox.Cfg(), settings, 'control')


def control_keys(settings: snapshot.Snapshot) -> tuple[str, ...]:
    """Return the keys that verify control messages; the first one signs."""
    if 'control.keys' not in schema.load():
        return ()
    resolved = settings.resolve('control.keys').value
    return typing.cast('tuple[str, ...]', resolved)


def caller_limits(
    settings: snapshot.Snapshot,
) -> caller_connection.CallerLimits:
    """Return the limits on callers' connections and requests."""
    idle = settings.resolve('callers.connections').value
    return fill(
        caller_connection.CallerLimits(), settings, 'callers', idle=idle
    )
