"""Builds the configuration of orders from a settings snapshot."""

import typing

from papayaloom import ids
from papayaloom.process import configuration, orders, orders_lease, orders_plan
from papayaloom.version import setting, snapshot, tree

_MODEL_BRANCH = 'models/'
_MODEL_SETTINGS = (
    'model.replicas',
    'model.version',
    'model.adapters',
    'engine.role',
)


def orders_cfg(settings: snapshot.Snapshot) -> orders.Cfg:
    """Return the configuration of orders."""
    lease = configuration.fill(orders_lease.Cfg(), settings, 'orders')
    return configuration.fill(orders.Cfg(), settings, 'orders', lease=lease)


def desired_models(
    settings: snapshot.Snapshot,
) -> list[orders_plan.DesiredModel]:
    """Return the desired state of each model."""
    names = [
        branch.removeprefix(_MODEL_BRANCH)
        for branch in sorted(settings.branches)
        if branch.startswith(_MODEL_BRANCH)
    ]
    models = [ids.ModelId(name) for name in names if '/' not in name]
    return [_desired_model(settings, model) for model in models]


def _desired_model(
    settings: snapshot.Snapshot, model: ids.ModelId
) -> orders_plan.DesiredModel:
    target = tree.model(model)

    def resolved(path: str) -> typing.Any:
        return settings.resolve(path, target=target).value

    versions = [
        settings.resolve(path, target=target).version
        for path in _MODEL_SETTINGS
    ]
    adapters: setting.Value = resolved('model.adapters')
    return orders_plan.DesiredModel(
        model,
        resolved('model.replicas'),
        resolved('model.version'),
        tuple(typing.cast(tuple[str, ...], adapters)),
        resolved('engine.role'),
        max(versions),
        resolved('orders.capacity_floor'),
        resolved('engine.checks_fencing'),
    )
