"""Commands that read and edit the settings tree."""

import re
import typing

import msgspec
import result
from fire import decorators

from papayaloom import errors
from papayaloom.commands import options, rendering
from papayaloom.version import (
    document,
    edit,
    settings_log,
    rewrite,
    schema,
    snapshot,
)
from papayaloom.version import tree as branches

# First line of the output of `text`; `edit` reads the base version from it.
_VERSION_LINE = re.compile(r'// papayaloom: branch (\S+), version (\d+)\n')
_Shared = typing.Any


def _reject_surplus(rest: tuple[object, ...]) -> None:
    # Fire rejects surplus arguments only after it has run the command.
    if rest:
        raise errors.SettingsError(f'unexpected argument: {rest[0]}')


def _read_snapshot(opts: options.Options) -> snapshot.Snapshot:
    return opts.editor().read().snapshot


def tree(*, json: bool = False, **shared: _Shared) -> None:
    """Print the branch tree with the settings of each branch."""
    current = _read_snapshot(options.read(shared))
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
    """Print the value of a setting that applies to a branch, and its origin.

    :param path: for example placement.load_multiple.
    :param branch: for example organisations/kelani or models/gecko.
    """
    declared = schema.find(str(path))
    branches.kind(str(branch))
    current = _read_snapshot(options.read(shared))
    found = current.resolve_at(declared.path, branch)
    content = {
        'path': declared.path,
        **msgspec.to_builtins(found),
        'value': rendering.public(declared.path, found.value),
    }
    rendering.show(json, content, rendering.resolved(declared.path, found))


def describe(path: str = '', *, json: bool = False) -> None:
    """Print the declarations of all settings, or of those below a path.

    :param path: for example placement or placement.load_multiple.
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
    """Validate a branch document without committing it.

    :param file: path of the document.
    :param branch: branch of the document; by default the one in the first
        line of the file, or fleet.
    """
    stamped_branch, _, body = _read_document(str(file))
    name = branch or stamped_branch or 'fleet'
    opts = options.read(shared)
    if opts.store:
        checked = edit.check(name, body, _read_snapshot(opts))
    else:
        # Without the store, the parent branch cannot be checked.
        parsed = document.parse(body, name)
        if isinstance(parsed, result.Err):
            raise edit.invalid_document(name, parsed.err_value)
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
    """Replace the document of a branch with a file.

    :param base: version of the branch that the file is based on; by default
        the one in the first line, which `papayaloom text` prints.
    """
    _reject_surplus(rest)
    stamped_branch, version, body = _read_document(file)
    if stamped_branch and stamped_branch != branch:
        raise errors.SettingsError(
            f'{file} is the document of {stamped_branch}, not of {branch}',
        )
    opts = options.read(shared)
    current = _read_snapshot(opts)
    expected = version if base is None else options.integer('base', base)
    if expected is None and branch in current.branches:
        raise errors.SettingsError(
            f'branch {branch} has version {current.branches[branch].version}: '
            'give the version that the file is based on with --base, or '
            f'start from `papayaloom text {branch}`',
        )
    committed = opts.editor(current).commit(branch, body, expected or 0)
    _show_committed(json, committed)


@decorators.SetParseFns(path=str, value=str, branch=str)
def set_value(
    path: str,
    value: str,
    *rest: str,
    branch: str = 'fleet',
    json: bool = False,
    **shared: _Shared,
) -> None:
    """Set one setting of a branch; comments in the document are kept.

    The command "describe" prints the settings with their accepted values.

    :param value: a JSON value, or text such as "250 ms".
    """
    _reject_surplus(rest)
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
    """Remove one setting from a branch, which then inherits it."""
    _reject_surplus(rest)
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
    """Remove a branch; refused while it is the parent of another one."""
    _reject_surplus(rest)
    opts = options.read(shared)
    current = _read_snapshot(opts)
    state = current.branches.get(branch)
    version = state.version if state else 0
    _show_committed(json, opts.editor(current).remove(branch, version))


def history(
    branch: str = '',
    limit: int = 20,
    *,
    json: bool = False,
    **shared: _Shared,
) -> None:
    """Print the newest changes of one branch or of all branches.

    :param limit: maximum number of changes.
    """
    opts = options.read(shared)
    changes = settings_log.history(
        opts.kv(),
        _read_snapshot(opts),
        branch or None,
        options.integer('limit', limit),
    )
    content = [msgspec.to_builtins(change) for change in changes]
    for entry in content:
        # Documents may contain secrets; `text` prints the current one.
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
    opts = options.read(shared)
    newest = _read_snapshot(opts).version
    first = options.integer('old', old)
    last = options.integer('new', new) or newest
    if first > last or last > newest:
        raise errors.SettingsError(
            f'versions {old} and {last} are not in order from 0 to {newest}',
        )
    found = settings_log.diff(opts.kv(), first, last)
    content = [
        {
            'branch': difference.branch,
            'path': difference.path,
            'old': rendering.public(difference.path, difference.old),
            'new': rendering.public(difference.path, difference.new),
        }
        for difference in found
    ]
    rendering.show(json, content, rendering.differences(found))


def _read_document(file: str) -> tuple[str, int | None, str]:
    """Return branch and version of the first line, and the other lines."""
    body = options.read_text(file)
    version_line = _VERSION_LINE.match(body)
    if version_line is None:
        return '', None, body
    return version_line[1], int(version_line[2]), body[version_line.end() :]


def _rewrite(
    branch: str,
    change: typing.Callable[[str], rewrite.RewriteResult],
    *,
    json: bool,
    shared: dict[str, typing.Any],
) -> None:
    opts = options.read(shared)
    current = _read_snapshot(opts)
    editor = opts.editor(current)
    rewritten = change(editor.text(current, branch))
    if isinstance(rewritten, result.Err):
        raise errors.SettingsError(f'branch {branch}: {rewritten.err_value}')
    state = current.branches.get(branch)
    version = state.version if state else 0
    _show_committed(json, editor.commit(branch, rewritten.ok_value, version))


def _show_committed(as_json: object, committed: edit.CommittedEdit) -> None:
    rendering.show(
        as_json,
        committed,
        f'{committed.branch} is accepted as version {committed.version} '
        f'(digest {committed.digest})',
    )
