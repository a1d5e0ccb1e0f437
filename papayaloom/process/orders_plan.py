"""Which engine should be in which state, and the next order towards it."""

import functools
import math
import typing

import msgspec

from papayaloom import ids
from papayaloom.ports import engine


class Desired(msgspec.Struct, frozen=True):
    """What the settings ask of one model.

    :param replicas: engines that should serve it; 0 leaves them alone.
    :param version: empty leaves the version alone.
    :param stamp: settings version that last changed one of these values.
    :param floor: share of the replicas that must go on serving.
    :param checks_fencing: the model's engines refuse old fencing tokens.
    """

    model: ids.ModelId
    replicas: int
    version: ids.VersionId
    adapters: tuple[str, ...] = ()
    role: str = 'serve'
    stamp: int = 0
    floor: float = 0.5
    checks_fencing: bool = True

    @property
    def must_serve(self) -> int:
        """Number of engines that must go on serving."""
        return math.ceil(self.floor * self.replicas)


class Seen(msgspec.Struct, frozen=True):
    """An engine as it was read.

    :param asked_at: when the read began, by the clock of this process.
    :param healthy: takes requests; false while it loads or leaves.
    """

    state: engine.State
    healthy: bool
    asked_at: float

    @property
    def serving(self) -> bool:
        """Whether it takes requests and goes on doing so."""
        return self.healthy and not self.state.leaving


class Step(msgspec.Struct, frozen=True):
    """The next order towards the desired state of an engine.

    :param disrupts: the engine takes no requests while it carries it out.
    :param weights: the weights that it fetches, empty for none.
    """

    action: str
    argument: str
    disrupts: bool = True
    weights: ids.VersionId = ids.VersionId('')


Models = typing.Mapping[ids.ModelId, Desired]
Engines = typing.Mapping[ids.EngineId, Seen]
Assignment = dict[ids.EngineId, ids.ModelId]


def assign(
    desired: Models,
    seen: Engines,
    before: typing.Mapping[ids.EngineId, ids.ModelId],
) -> Assignment:
    """Choose the model of each engine; as few as possible change theirs.

    An engine that is not needed keeps its model. Leaving engines get none.
    """
    usable = {
        name: before.get(name, found.state.model)
        for name, found in sorted(seen.items())
        if not found.state.leaving
    }
    chosen: Assignment = {}
    for model, want in sorted(desired.items()):
        own = [name for name, current in usable.items() if current == model]
        own.sort(key=functools.partial(_is_elsewhere, seen, model))
        chosen.update(dict.fromkeys(own[: want.replicas], model))
    _fill(desired, chosen, [name for name in usable if name not in chosen])
    return chosen


def next_step(want: Desired, state: engine.State) -> Step | None:
    """Return the next order for an engine, or nothing when it is as desired."""
    if state.model != want.model and not want.version:
        return None
    return next(_steps(want, state), None)


def _fill(
    desired: Models, chosen: Assignment, spare: list[ids.EngineId]
) -> None:
    for model, want in sorted(desired.items()):
        missing = want.replicas - list(chosen.values()).count(model)
        for name in spare[: max(missing, 0)]:
            chosen[name] = model
            spare.remove(name)


def _is_elsewhere(
    seen: Engines, model: ids.ModelId, name: ids.EngineId
) -> bool:
    return seen[name].state.model != model


def _steps(want: Desired, state: engine.State) -> typing.Iterator[Step]:
    version = want.version or state.version
    if state.model != want.model:
        argument = f'{want.model}/{version}'
        yield Step('load-model', argument, weights=version)
    if state.version != version:
        yield Step('load-version', version, weights=version)
    if state.role != want.role:
        yield Step('role', want.role, disrupts=False)
    for missing in sorted(set(want.adapters) - set(state.adapters)):
        yield Step('load-adapter', missing)
    for extra in sorted(set(state.adapters) - set(want.adapters)):
        yield Step('unload-adapter', extra)
