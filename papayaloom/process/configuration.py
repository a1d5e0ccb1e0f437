"""Fills the configuration of the parts from the settings of one version."""

import types
import typing

import msgspec

from papayaloom import ids
from papayaloom.connection import caller
from papayaloom.process import (
    addresses,
    admission,
    budgets,
    dissemination,
    drain,
    ejection,
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
    queue,
    ranks,
    rights,
)
from papayaloom.process import loads as load_reports
from papayaloom.request import prompt
from papayaloom.version import schema, snapshot

_Cfg = typing.TypeVar('_Cfg', bound=msgspec.Struct)
_PLACEMENT = 'placement'
_RETRY = types.MappingProxyType(
    {
        'budget_ratio': 'retry.budget_ratio',
        'saved_retries': 'retry.saved_retries',
        'idle_retries_per_s': 'retry.idle_retries_per_s',
    }
)


def fill(
    blank: _Cfg,
    settings: snapshot.Snapshot,
    prefix: str,
    target: str | None = None,
    **fixed: object,
) -> _Cfg:
    """Return a configuration with the settings of a part.

    A field takes the setting of its own name below the prefix; fields
    without such a setting keep their value.

    :param prefix: first part of the settings' paths.
    :param fixed: fields that are computed elsewhere.
    """
    known = schema.load()
    found: dict[str, object] = {}
    for name in blank.__struct_fields__:
        path = f'{prefix}.{name}'
        if name not in fixed and path in known:
            found[name] = settings.resolve(path, target=target).value
    return msgspec.structs.replace(blank, **found, **fixed)


def member(settings: snapshot.Snapshot) -> membership.Cfg:
    """Return the settings of membership."""
    return fill(membership.Cfg(), settings, 'membership')


def distribution(settings: snapshot.Snapshot) -> dissemination.Cfg:
    """Return the settings of the distribution of settings."""
    return fill(dissemination.Cfg(), settings, 'distribution')


def owner(settings: snapshot.Snapshot, target: str) -> admission.Cfg:
    """Return the limits of an owner for one model.

    :param target: branch of the model.
    """

    def part(blank: _Cfg, **fixed: object) -> _Cfg:
        return fill(blank, settings, _PLACEMENT, target, **fixed)

    return part(
        admission.Cfg(),
        rank=part(ranks.Cfg()),
        promise=part(promises.Cfg()),
        right=part(rights.Cfg()),
        load=part(load_reports.Cfg()),
        engine=part(engines.Cfg()),
        waiting=part(
            queue.Cfg(),
            length=settings.resolve(
                'placement.queue_length', target=target
            ).value,
            weights=_by_organisation(settings, 'limits.weight'),
        ),
    )


def home(settings: snapshot.Snapshot, target: str) -> placement.Cfg:
    """Return the weights of the home side for one model."""
    return fill(placement.Cfg(), settings, _PLACEMENT, target)


def cached(settings: snapshot.Snapshot, target: str) -> prefixes.Cfg:
    """Return the sizes of the engines' caches."""
    return fill(
        prefixes.Cfg(),
        settings,
        _PLACEMENT,
        target,
        blocks=settings.resolve('placement.cache_blocks', target=target).value,
        block_tokens=prompt.BLOCK_TOKENS,
    )


def rates(settings: snapshot.Snapshot) -> limits.Cfg:
    """Return the rate limits of all organisations."""
    own = _by_organisation(settings, 'limits.rate_per_s')
    return fill(limits.Cfg(), settings, 'limits', rates=own)


def crashes(settings: snapshot.Snapshot) -> quarantine.Cfg:
    """Return the limits of the quarantine."""
    released = settings.resolve('quarantine.released').value
    marks = frozenset(
        ids.Fingerprint(mark) for mark in typing.cast('tuple[str]', released)
    )
    return fill(quarantine.Cfg(), settings, 'quarantine', released=marks)


def ledgers(settings: snapshot.Snapshot) -> ledger.Cfg:
    """Return the times of the ledger."""
    writer = fill(ledger_writer.Cfg(), settings, 'ledger')
    return fill(ledger.Cfg(), settings, 'ledger', writer=writer)


def ejections(settings: snapshot.Snapshot, target: str) -> ejection.Cfg:
    """Return when an upstream of a target is ejected."""
    return fill(ejection.Cfg(), settings, 'ejection', target)


def retries(settings: snapshot.Snapshot, target: str) -> budgets.Cfg:
    """Return the retry budgets of a target."""
    found = {
        name: settings.resolve(path, target=target).value
        for name, path in _RETRY.items()
    }
    return msgspec.structs.replace(budgets.Cfg(), **found)


def address(settings: snapshot.Snapshot) -> addresses.Cfg:
    """Return the settings of address answers."""
    return fill(addresses.Cfg(), settings, 'addresses')


def stop(settings: snapshot.Snapshot) -> drain.Cfg:
    """Return the settings of a planned stop."""
    return fill(
        drain.Cfg(),
        settings,
        'stop',
        ttl_s=address(settings).ttl_s,
    )


def organisations(settings: snapshot.Snapshot) -> typing.Iterator[ids.OrgId]:
    """Return the organisations that have a branch."""
    for branch in settings.branches:
        kind, _, name = branch.partition('/')
        if kind == 'organisations':
            yield ids.OrgId(name)


def _by_organisation(
    settings: snapshot.Snapshot,
    path: str,
) -> dict[ids.OrgId, float]:
    """Return the values of organisations that differ from the fleet's."""
    usual = settings.resolve(path).value
    found: dict[ids.OrgId, float] = {}
    for org in organisations(settings):
        own = settings.resolve(path, org=org).value
        if own != usual:
            found[org] = typing.cast(float, own)
    return found


def outgoing(settings: snapshot.Snapshot) -> outbox.Cfg:
    """Return the byte budget of control messages."""
    return fill(outbox.Cfg(), settings, 'control')


def control_keys(settings: snapshot.Snapshot) -> tuple[str, ...]:
    """Return the secrets of control messages; the first one signs."""
    if 'control.keys' not in schema.load():
        return ()
    found = settings.resolve('control.keys').value
    return typing.cast('tuple[str, ...]', found)


def callers(settings: snapshot.Snapshot) -> caller.Limits:
    """Return the limits on callers."""
    idle = settings.resolve('callers.connections').value
    return fill(caller.Limits(), settings, 'callers', idle=idle)
