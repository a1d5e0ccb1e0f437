"""Assigns models to engines and computes the next order for an engine."""

import functools
import math
import typing

import msgspec

from papayaloom import ids
from papayaloom.ports import engine


class DesiredModel(msgspec.Struct, frozen=True):
    """Desired state of one model according to the settings.

    :param replicas: number of engines that should serve it; with 0 its engines
        are left unchanged.
    :param version: desired version; if empty, the version is left unchanged.
    :param settings_version: settings version that last changed one of these
        values.
    :param floor: minimum share of the replicas that must keep serving.
    :param checks_fencing: whether the model's engines refuse old fencing
        tokens.
    """

    model: ids.ModelId
    replicas: int
    version: ids.VersionId
    adapters: tuple[str, ...] = ()
    role: str = 'serve'
    settings_version: int = 0
    floor: float = 0.5
    checks_fencing: bool = True

    @property
    def min_serving(self) -> int:
        """Minimum number of engines that must keep serving."""
        return math.ceil(self.floor * self.replicas)


class Observation(msgspec.Struct, frozen=True):
    """State of an engine as last read.

    :param healthy: whether it accepts requests; false while it is loading or
        leaving.
    :param read_at: start of the read, by the clock of this process.
    """

    state: engine.State
    healthy: bool
    read_at: float

    @property
    def serving(self) -> bool:
        """Whether the engine accepts requests and is not leaving."""
        return self.healthy and not self.state.leaving


class Step(msgspec.Struct, frozen=True):
    """Action and argument of the next order for an engine.

    :param disrupts: whether the engine stops accepting requests meanwhile.
    :param weights: version of the weights to download, empty for none.
    """

    action: str
    argument: str
    disrupts: bool = True
    weights: ids.VersionId = ids.VersionId('')


DesiredModels = typing.Mapping[ids.ModelId, DesiredModel]
Observations = typing.Mapping[ids.EngineId, Observation]
Assignment = dict[ids.EngineId, ids.ModelId]


def assign(
    desired: DesiredModels,
    observations: Observations,
    previous: typing.Mapping[ids.EngineId, ids.ModelId],
) -> Assignment:
    """Assign a model to each engine with as few model changes as possible.

    Engines that are not needed keep their model. Leaving engines get none.
    """
    current_models = {
        name: previous.get(name, observation.state.model)
        for name, observation in sorted(observations.items())
        if not observation.state.leaving
    }
    assignment: Assignment = {}
    for model, target in sorted(desired.items()):
        current_engines = [
            name for name, current in current_models.items() if current == model
        ]
        current_engines.sort(
            key=functools.partial(_runs_other_model, observations, model)
        )
        assignment.update(
            dict.fromkeys(current_engines[: target.replicas], model)
        )
    _assign_spare(
        desired,
        assignment,
        [name for name in current_models if name not in assignment],
    )
    return assignment


def next_step(target: DesiredModel, state: engine.State) -> Step | None:
    """Return the next order for an engine, or ``None`` if none is needed."""
    if state.model != target.model and not target.version:
        return None
    return next(_steps(target, state), None)


def _assign_spare(
    desired: DesiredModels, assignment: Assignment, spare: list[ids.EngineId]
) -> None:
    for model, target in sorted(desired.items()):
        missing = target.replicas - list(assignment.values()).count(model)
        for name in spare[: max(missing, 0)]:
            assignment[name] = model
            spare.remove(name)


def _runs_other_model(
    observations: Observations, model: ids.ModelId, name: ids.EngineId
) -> bool:
    return observations[name].state.model != model


def _steps(target: DesiredModel, state: engine.State) -> typing.Iterator[Step]:
    version = target.version or state.version
    if state.model != target.model:
        argument = f'{target.model}/{version}'
        yield Step('load-model', argument, weights=version)
    if state.version != version:
        yield Step('load-version', version, weights=version)
    if state.role != target.role:
        yield Step('role', target.role, disrupts=False)
    for missing in sorted(set(target.adapters) - set(state.adapters)):
        yield Step('load-adapter', missing)
    for extra in sorted(set(state.adapters) - set(target.adapters)):
        yield Step('unload-adapter', extra)
