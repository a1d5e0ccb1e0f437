"""Commands on the settings tree: thin over edit, log and rewrite."""

import re
import typing

import msgspec
import result
from fire import decorators

from papayaloom import errors
from papayaloom.commands import options, rendering
from papayaloom.version import document, edit, log, rewrite, schema, snapshot
from papayaloom.version import tree as branches

# First line of a text that `text` printed; `edit` takes the base from it.
_STAMP = re.compile(r'// papayaloom: branch (\S+), version (\d+)\n')
_Shared = typing.Any


def _no_more(rest: tuple[object, ...]) -> None:
    # Fire finds surplus arguments only after the command has had its effect.
    if rest:
        raise errors.SettingsError(f'unexpected argument: {rest[0]}')


def _current(shared: options.Options) -> snapshot.Snapshot:
    return shared.editor().read().snapshot


def tree(*, json: bool = False, **shared: _Shared) -> None:
    """Print the branches, each below its parent, with their settings."""
    current = _current(options.read(shared))
    content = {
        'version': current.version,
        'digest': current.digest,
        'branches': {
            name: {
                'parent': branch.parent,
                'version': branch.version,
                'settings': {
                    path: rendering.public(path, raw)
                    for path, raw in branch.values().items()
                },
            }
            for name, branch in sorted(current.branches.items())
        },
    }
    rendering.show(json, content, rendering.branches(current))


def get(
    path: str,
    branch: str = 'fleet',
    *,
    json: bool = False,
    **shared: _Shared,
) -> None:
    """Print the value of a setting as seen from a branch, and its origin.

    :param path: such as placement.load_multiple.
    :param branch: such as organisations/kelani or models/gecko.
    """
    declared = schema.find(str(path))
    branches.kind(str(branch))
    current = _current(options.read(shared))
    found = current.resolve_at(declared.path, branch)
    content = {
        'path': declared.path,
        **msgspec.to_builtins(found),
        'value': rendering.public(declared.path, found.value),
    }
    rendering.show(json, content, rendering.resolved(declared.path, found))


def describe(path: str = '', *, json: bool = False) -> None:
    """Print the declarations of all settings, or of those below a path.

    :param path: such as placement, or placement.load_multiple.
    """
    prefix = f'{path}.' if path else ''
    found = [
        declared
        for name, declared in schema.load().items()
        if f'{name}.'.startswith(prefix)
    ]
    if not found:
        schema.find(path)
    rendering.show(json, found, rendering.declarations(found))


def text(branch: str, *, json: bool = False, **shared: _Shared) -> None:
    """Print the document of a branch, with its version in the first line."""
    branches.kind(str(branch))
    editor = options.read(shared).editor()
    current = editor.read().snapshot
    state = current.branches.get(branch)
    version = state.version if state else 0
    content = editor.text(current, branch) or '{\n  "settings": {}\n}\n'
    rendering.show(
        json,
        {'branch': branch, 'version': version, 'text': content},
        f'// papayaloom: branch {branch}, version {version}\n{content}',
    )


def check(
    file: str,
    branch: str = '',
    *,
    json: bool = False,
    **shared: _Shared,
) -> None:
    """Check a branch document without an edit.

    :param file: the document.
    :param branch: the branch that it is for; the one in the file's first
        line, or fleet, by default.
    """
    stamped, _, body = _read_document(str(file))
    name = branch or stamped or 'fleet'
    given = options.read(shared)
    if given.store:
        checked = edit.check(name, body, _current(given))
    else:
        # Without the store, the parent cannot be looked up.
        parsed = document.parse(body, name)
        if isinstance(parsed, result.Err):
            raise edit.refused(name, parsed.err_value)
        checked = parsed.ok_value
    rendering.show(
        json,
        {
            'branch': name,
            'parent': checked.parent,
            'settings': list(checked.settings),
        },
        f'{file} is accepted as {name} ({len(checked.settings)} settings)',
    )


@decorators.SetParseFns(branch=str, file=str)
def edit_branch(
    branch: str,
    file: str,
    *rest: str,
    base: int | None = None,
    json: bool = False,
    **shared: _Shared,
) -> None:
    """Replace the document of a branch by a file.

    :param base: version of the branch that the file is based on; taken from
        the first line when `papayaloom text` printed it.
    """
    _no_more(rest)
    stamped, version, body = _read_document(file)
    if stamped and stamped != branch:
        raise errors.SettingsError(
            f'{file} is the document of {stamped}, not of {branch}',
        )
    given = options.read(shared)
    current = _current(given)
    expected = version if base is None else options.integer('base', base)
    if expected is None and branch in current.branches:
        raise errors.SettingsError(
            f'branch {branch} has version {current.branches[branch].version}: '
            'state the version that the file is based on with --base, or '
            f'start from `papayaloom text {branch}`',
        )
    made = given.editor(current).commit(branch, body, expected or 0)
    _committed(json, made)


@decorators.SetParseFns(path=str, value=str, branch=str)
def set_value(
    path: str,
    value: str,
    *rest: str,
    branch: str = 'fleet',
    json: bool = False,
    **shared: _Shared,
) -> None:
    """Set one setting of a branch; its comments stay.

    The command "describe" prints the settings with their accepted values.

    :param value: a JSON value, or a text such as "250 ms".
    """
    _no_more(rest)
    declared = schema.find(path)
    _rewrite(
        branch,
        lambda body: rewrite.set_value(body, declared.path, value),
        json=json,
        shared=shared,
    )


@decorators.SetParseFns(path=str, branch=str)
def unset_value(
    path: str,
    *rest: str,
    branch: str = 'fleet',
    json: bool = False,
    **shared: _Shared,
) -> None:
    """Remove one setting from a branch, so that it is inherited."""
    _no_more(rest)
    _rewrite(
        branch,
        lambda body: rewrite.unset_value(body, path),
        json=json,
        shared=shared,
    )


@decorators.SetParseFns(branch=str)
def remove(
    branch: str,
    *rest: str,
    json: bool = False,
    **shared: _Shared,
) -> None:
    """Remove a branch; refused while another one names it as its parent."""
    _no_more(rest)
    given = options.read(shared)
    current = _current(given)
    state = current.branches.get(branch)
    version = state.version if state else 0
    _committed(json, given.editor(current).remove(branch, version))


def history(
    branch: str = '',
    limit: int = 20,
    *,
    json: bool = False,
    **shared: _Shared,
) -> None:
    """Print the newest changes, of one branch or of all.

    :param limit: how many changes to print at the most.
    """
    given = options.read(shared)
    changes = log.history(
        given.kv(),
        _current(given),
        branch or None,
        options.integer('limit', limit),
    )
    content = [msgspec.to_builtins(made) for made in changes]
    for entry in content:
        # Texts may hold secrets; `text` prints the one in force.
        entry.pop('text')
        entry['settings'] = sorted(entry['settings'])
    rendering.show(json, content, rendering.history(changes))


def diff(
    old: int,
    new: int = 0,
    *,
    json: bool = False,
    **shared: _Shared,
) -> None:
    """Print which settings differ between two versions.

    :param new: the newest version by default.
    """
    given = options.read(shared)
    newest = _current(given).version
    first = options.integer('old', old)
    last = options.integer('new', new) or newest
    if first > last or last > newest:
        raise errors.SettingsError(
            f'versions {old} and {last} are not in order from 0 to {newest}',
        )
    found = log.diff(given.kv(), first, last)
    content = [
        {
            'branch': one.branch,
            'path': one.path,
            'old': rendering.public(one.path, one.old),
            'new': rendering.public(one.path, one.new),
        }
        for one in found
    ]
    rendering.show(json, content, rendering.differences(found))


def _read_document(file: str) -> tuple[str, int | None, str]:
    """Return branch and version of the first line, and the rest of a file."""
    body = options.read_text(file)
    stamp = _STAMP.match(body)
    if stamp is None:
        return '', None, body
    return stamp[1], int(stamp[2]), body[stamp.end() :]


def _rewrite(
    branch: str,
    change: typing.Callable[[str], rewrite.Rewritten],
    *,
    json: bool,
    shared: dict[str, typing.Any],
) -> None:
    given = options.read(shared)
    current = _current(given)
    editor = given.editor(current)
    rewritten = change(editor.text(current, branch))
    if isinstance(rewritten, result.Err):
        raise errors.SettingsError(f'branch {branch}: {rewritten.err_value}')
    state = current.branches.get(branch)
    version = state.version if state else 0
    _committed(json, editor.commit(branch, rewritten.ok_value, version))


def _committed(as_json: object, made: edit.Committed) -> None:
    rendering.show(
        as_json,
        made,
        f'{made.branch} is accepted as version {made.version} '
        f'(digest {made.digest})',
    )
