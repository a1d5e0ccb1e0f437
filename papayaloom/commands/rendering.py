"""Text output for operators: tables, trees, changes and values."""

import datetime
import sys
import typing

import msgspec

from papayaloom import errors
from papayaloom.version import (
    change,
    settings_log,
    schema,
    setting,
    snapshot,
    tree,
)

# Values of these settings are secrets: only their count is printed, except
# in the full text of a document.
SECRETS = frozenset(('control.keys',))


def show(as_json: object, content: object, readable: str) -> None:
    """Print a result as JSON or as readable text."""
    line = msgspec.json.encode(content).decode() if as_json else readable
    sys.stdout.write('{0}\n'.format(line.rstrip('\n')))


def complain(message: str) -> None:
    """Print an error message to standard error."""
    sys.stderr.write(f'papayaloom: {message}\n')


def value(path: str, raw: object) -> str:
    """Return a setting's value as JSON; of secrets only the count."""
    if raw is None:
        return 'not set'
    if path in SECRETS:
        return f'({len(typing.cast(tuple[str, ...], raw))} secrets)'
    return msgspec.json.encode(raw).decode()


def public(path: str, raw: object) -> object:
    """Return a value for JSON output; of secrets only the count."""
    return value(path, raw) if path in SECRETS and raw is not None else raw


def resolved(path: str, found: snapshot.ResolvedSetting) -> str:
    """Return a setting's value and the branch that sets it."""
    unit = found.unit.value
    line = f'{path} = {value(path, found.value)}'
    # "1.15 factor" would read as a multiplication.
    if unit and found.unit not in {setting.Unit.FACTOR, setting.Unit.SHARE}:
        line = f'{line} {unit}'
    if found.branch == snapshot.DEFAULT_BRANCH:
        return f'{line}, the default'
    return f'{line}, set by {found.branch} in version {found.version}'


def declarations(found: typing.Iterable[setting.Setting]) -> str:
    """Return the description of each declared setting, in three lines."""
    return '\n'.join(
        f'{declared.path}\n  {declared.doc}\n  accepted: '
        f'{schema.describe_accepted(declared)}; default: '
        f'{value(declared.path, declared.default)}; set by: '
        '{0}'.format(
            ', '.join(kind.value for kind in tree.allowed_kinds(declared))
        )
        for declared in found
    )


def time_of(unix_ms: int) -> str:
    """Return a Unix time as a UTC timestamp."""
    moment = datetime.datetime.fromtimestamp(unix_ms // 1000, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%SZ')


def table(rows: typing.Sequence[typing.Sequence[object]]) -> str:
    """Return rows in aligned columns."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in texts
    )


def branches(current: snapshot.Snapshot) -> str:
    """Return the branch tree with the settings of each branch."""
    children: dict[str, list[str]] = {}
    for branch in sorted(current.branches):
        if branch != tree.ROOT:
            children.setdefault(_existing_parent(current, branch), []).append(
                branch
            )
    lines = [f'settings version {current.version}, digest {current.digest}']
    pending = [(tree.ROOT, '')]
    while pending:
        name, indent = pending.pop()
        lines.extend(_branch_lines(name, indent, current.branches.get(name)))
        pending.extend(
            (child, f'{indent}  ') for child in reversed(children.get(name, ()))
        )
    return '\n'.join(lines)


def history(changes: typing.Iterable[change.Change]) -> str:
    """Return a line for each change."""
    rows = [
        (
            entry.version,
            time_of(entry.at_unix_ms),
            entry.author,
            entry.branch,
            'removed' if entry.removed else f'{len(entry.settings)} settings',
        )
        for entry in changes
    ]
    return table([('version', 'time', 'author', 'branch', 'change'), *rows])


def differences(found: typing.Iterable[settings_log.Difference]) -> str:
    """Return a line for each setting that differs."""
    lines = [
        f'{diff.branch} {diff.path}: '
        f'{value(diff.path, diff.old)} -> {value(diff.path, diff.new)}'
        for diff in found
    ]
    return '\n'.join(lines) or 'no difference'


def conflict(exc: errors.ConflictError) -> str:
    """Return the current document and the rejected one of a conflict."""
    return (
        f'{exc}\n--- the branch now (version {exc.version})\n'
        f'{exc.theirs.rstrip()}\n--- your text\n{exc.mine.rstrip()}\n'
        '--- merge them, then edit again on the new version'
    )


def _existing_parent(current: snapshot.Snapshot, branch: str) -> str:
    """Return the nearest ancestor that has a document, or the root."""
    ancestors = tree.chain(branch, current.parents)[1:]
    existing = (name for name in ancestors if name in current.branches)
    return next(existing, tree.ROOT)


def _branch_lines(
    name: str,
    indent: str,
    state: snapshot.Branch | None,
) -> typing.Iterator[str]:
    if state is None:
        yield f'{indent}{name} (no document)'
        return
    parent = f', parent {state.parent}' if state.parent else ''
    yield f'{indent}{name} (version {state.version}{parent})'
    for path, (raw, version) in sorted(state.settings.items()):
        yield f'{indent}  - {path} = {value(path, raw)} (version {version})'
