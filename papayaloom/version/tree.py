"""Branches of the settings tree: names, kinds, parents and ancestors."""

import enum
import re
import types
import typing

from papayaloom import errors, ids
from papayaloom.version import setting

ROOT = 'fleet'
_NAME = r'[A-Za-z0-9][\w.:@+-]{0,99}'
# A longer chain of parents would be slow to resolve and hard to follow.
_MAX_CHAIN_LENGTH = 16


class BranchKind(enum.Enum):
    """Kind of a branch, determined by its name."""

    FLEET = 'fleet'
    ORGANISATION = 'organisation'
    SERVICE = 'service'
    MODEL = 'model'
    MODEL_VERSION = 'version of a model'


_PATTERNS = (
    (BranchKind.FLEET, re.compile(ROOT)),
    (BranchKind.ORGANISATION, re.compile(f'organisations/{_NAME}', re.ASCII)),
    (BranchKind.SERVICE, re.compile(f'services/{_NAME}', re.ASCII)),
    (BranchKind.MODEL, re.compile(f'models/{_NAME}', re.ASCII)),
    (
        BranchKind.MODEL_VERSION,
        re.compile(f'models/{_NAME}/versions/{_NAME}', re.ASCII),
    ),
)
_MODEL_AXES = frozenset((setting.Axis.MODEL, setting.Axis.TARGET))
_AXES: typing.Mapping[BranchKind, frozenset[setting.Axis]] = (
    types.MappingProxyType(
        {
            BranchKind.FLEET: frozenset(setting.Axis),
            BranchKind.ORGANISATION: frozenset((setting.Axis.ORGANISATION,)),
            BranchKind.SERVICE: frozenset(
                (
                    setting.Axis.SERVICE,
                    setting.Axis.TARGET,
                )
            ),
            BranchKind.MODEL: _MODEL_AXES,
            BranchKind.MODEL_VERSION: _MODEL_AXES,
        }
    )
)


def organisation(org: ids.OrgId) -> str:
    """Return the branch name of an organisation."""
    return f'organisations/{org}'


def service(name: ids.ServiceId) -> str:
    """Return the branch name of a service."""
    return f'services/{name}'


def model(name: ids.ModelId, version: ids.VersionId | None = None) -> str:
    """Return the branch name of a model or of a version of it."""
    if version is None:
        return f'models/{name}'
    return f'models/{name}/versions/{version}'


def kind(branch: str) -> BranchKind:
    """Return the kind of a branch.

    :raises errors.SettingsError: the branch name is invalid.
    """
    for branch_kind, pattern in _PATTERNS:
        if pattern.fullmatch(branch):
            return branch_kind
    raise errors.SettingsError(
        f'{branch[:200]!r} is not a valid branch name; valid names are fleet, '
        'organisations/NAME, services/NAME, models/NAME and '
        'models/NAME/versions/NAME',
    )


def may_set(branch: str, declared: setting.Setting) -> bool:
    """Return whether a branch may set a setting."""
    return declared.axis in _AXES[kind(branch)]


def allowed_kinds(declared: setting.Setting) -> tuple[BranchKind, ...]:
    """Return the branch kinds that may set a setting."""
    return tuple(
        branch_kind
        for branch_kind, axes in _AXES.items()
        if declared.axis in axes
    )


def default_parent(branch: str) -> str:
    """Return the parent implied by a branch name; the root is its own parent."""
    model_branch, separator, _ = branch.partition('/versions/')
    return model_branch if separator else ROOT


def chain(branch: str, parents: typing.Mapping[str, str]) -> tuple[str, ...]:
    """Return a branch followed by its ancestors, ending at the root.

    :param parents: explicit parents by branch.
    :raises errors.SettingsError: the parents form a cycle, or the branch has
        too many ancestors.
    """
    ancestry: dict[str, None] = {branch: None}
    name = branch
    while name != ROOT:
        name = parents.get(name) or default_parent(name)
        if name in ancestry:
            raise errors.SettingsError(
                'the parents form a cycle: {0}'.format(
                    ' -> '.join((*ancestry, name)),
                ),
            )
        ancestry[name] = None
        if len(ancestry) > _MAX_CHAIN_LENGTH:
            raise errors.SettingsError(
                f'branch {branch} has more than {_MAX_CHAIN_LENGTH - 1} ancestors',
            )
    return tuple(ancestry)


def check_parent(
    branch: str,
    parent: str,
    parents: typing.Mapping[str, str],
) -> None:
    """Check the explicit parent of a branch.

    :param parent: explicit parent; empty for the default parent.
    :param parents: explicit parent, possibly empty, of each existing branch.
    :raises errors.SettingsError: the parent does not exist or belongs to
        another family, or the parents form a cycle.
    """
    if branch == ROOT and parent:
        raise errors.SettingsError('the root branch fleet has no parent')
    if parent and parent != ROOT:
        if parent not in parents:
            raise errors.SettingsError(f'parent {parent!r} does not exist')
        if branch.partition('/')[0] != parent.partition('/')[0]:
            raise errors.SettingsError(
                f'parent {parent!r} is not a branch of the same family',
            )
    updated_parents = {**parents, branch: parent}
    for name in updated_parents:
        chain(name, updated_parents)
