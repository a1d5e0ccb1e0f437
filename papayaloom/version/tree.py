"""Branches of the settings tree: names, kinds, parents and inheritance."""

import enum
import re
import types
import typing

from papayaloom import errors, ids
from papayaloom.version import setting

ROOT = 'fleet'
_NAME = r'[A-Za-z0-9][\w.:@+-]{0,99}'
# A longer chain of templates would be slow to resolve and hard to read.
MAX_CHAIN = 16


class BranchKind(enum.Enum):
    """Kind of a branch, known from its name."""

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
    """Return the branch of an organisation."""
    return f'organisations/{org}'


def service(name: ids.ServiceId) -> str:
    """Return the branch of a service."""
    return f'services/{name}'


def model(name: ids.ModelId, version: ids.VersionId | None = None) -> str:
    """Return the branch of a model, or of one version of it."""
    if version is None:
        return f'models/{name}'
    return f'models/{name}/versions/{version}'


def kind(branch: str) -> BranchKind:
    """Return the kind of a branch.

    :raises errors.SettingsError: no branch can have this name.
    """
    for branch_kind, pattern in _PATTERNS:
        if pattern.fullmatch(branch):
            return branch_kind
    raise errors.SettingsError(
        f'{branch[:200]!r} is no branch name; branches are fleet, '
        'organisations/NAME, services/NAME, models/NAME and '
        'models/NAME/versions/NAME',
    )


def may_set(branch: str, declared: setting.Setting) -> bool:
    """Tell whether a branch may set a setting."""
    return declared.axis in _AXES[kind(branch)]


def kinds_of(declared: setting.Setting) -> tuple[BranchKind, ...]:
    """Return the kinds of branch that may set a setting."""
    return tuple(
        branch_kind
        for branch_kind, axes in _AXES.items()
        if declared.axis in axes
    )


def default_parent(branch: str) -> str:
    """Return the parent of a branch by its name; the root is its own."""
    model_branch, separator, _ = branch.partition('/versions/')
    return model_branch if separator else ROOT


def chain(branch: str, parents: typing.Mapping[str, str]) -> tuple[str, ...]:
    """Return a branch and its ancestors, the root last.

    :param parents: the parent of each branch that names one.
    :raises errors.SettingsError: the parents form a cycle or are too many.
    """
    found: dict[str, None] = {branch: None}
    name = branch
    while name != ROOT:
        name = parents.get(name) or default_parent(name)
        if name in found:
            raise errors.SettingsError(
                'the parents form a cycle: {0}'.format(
                    ' -> '.join((*found, name)),
                ),
            )
        found[name] = None
        if len(found) > MAX_CHAIN:
            raise errors.SettingsError(
                f'branch {branch} has more than {MAX_CHAIN - 1} ancestors',
            )
    return tuple(found)


def check_parent(
    branch: str,
    parent: str,
    parents: typing.Mapping[str, str],
) -> None:
    """Check the parent that a branch names.

    :param parent: the named parent, empty for the parent of the path.
    :param parents: the named parent, maybe empty, of each existing branch.
    :raises errors.SettingsError: unknown parent, other family, or a cycle.
    """
    if branch == ROOT and parent:
        raise errors.SettingsError('the root fleet has no parent')
    if parent and parent != ROOT:
        if parent not in parents:
            raise errors.SettingsError(f'parent {parent!r} does not exist')
        if branch.partition('/')[0] != parent.partition('/')[0]:
            raise errors.SettingsError(
                f'parent {parent!r} is no branch of the same family',
            )
    after = {**parents, branch: parent}
    for name in after:
        chain(name, after)
