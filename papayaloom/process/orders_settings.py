"""Fills the configuration of orders from the settings of one version."""

import typing

from papayaloom import ids
from papayaloom.process import (
    configuration,
    orders,
    orders_lease,
    orders_plan,
)
from papayaloom.version import setting, snapshot, tree

_BRANCH = 'models/'
_DECIDING = (
    'model.replicas',
    'model.version',
    'model.adapters',
    'engine.role',
)


def cfg(settings: snapshot.Snapshot) -> orders.Cfg:
    """Return the settings of orders."""
    lease = configuration.fill(orders_lease.Cfg(), settings, 'orders')
    return configuration.fill(orders.Cfg(), settings, 'orders', lease=lease)


def desired(settings: snapshot.Snapshot) -> list[orders_plan.Desired]:
    """Return what the settings ask of the engines."""
    names = [
        branch.removeprefix(_BRANCH)
        for branch in sorted(settings.branches)
        if branch.startswith(_BRANCH)
    ]
    models = [ids.ModelId(name) for name in names if '/' not in name]
    return [_desired(settings, model) for model in models]


def _desired(
    settings: snapshot.Snapshot, model: ids.ModelId
) -> orders_plan.Desired:
    target = tree.model(model)

    def resolved(path: str) -> typing.Any:
        return settings.resolve(path, target=target).value

    stamps = [
        settings.resolve(path, target=target).version for path in _DECIDING
    ]
    adapters: setting.Value = resolved('model.adapters')
    return orders_plan.Desired(
        model,
        resolved('model.replicas'),
        resolved('model.version'),
        tuple(typing.cast(tuple[str, ...], adapters)),
        resolved('engine.role'),
        max(stamps),
        resolved('orders.capacity_floor'),
        resolved('engine.checks_fencing'),
    )
