"""Text for operators: tables, trees, changes and values."""

import datetime
import sys
import typing

import msgspec

from papayaloom import errors
from papayaloom.version import change, log, schema, setting, snapshot, tree

# Values of these settings are secrets and are never printed by themselves.
SECRETS = frozenset(('control.keys',))


def show(as_json: object, content: object, readable: str) -> None:
    """Print a result, as JSON for machines or as text for people."""
    line = msgspec.json.encode(content).decode() if as_json else readable
    sys.stdout.write('{0}\n'.format(line.rstrip('\n')))


def complain(sentence: str) -> None:
    """Print why a command failed."""
    sys.stderr.write(f'papayaloom: {sentence}\n')


def value(path: str, raw: object) -> str:
    """Return a setting's value as JSON; secrets only by their number."""
    if raw is None:
        return 'not set'
    if path in SECRETS:
        return f'({len(typing.cast(tuple[str, ...], raw))} secrets)'
    return msgspec.json.encode(raw).decode()


def public(path: str, raw: object) -> object:
    """Return a value for machines; secrets only by their number."""
    return value(path, raw) if path in SECRETS and raw is not None else raw


def resolved(path: str, found: snapshot.Resolved) -> str:
    """Return a setting's value and where it comes from."""
    unit = found.unit.value
    shown = f'{path} = {value(path, found.value)}'
    # "1.15 factor" would read as a multiplication.
    if unit and found.unit not in {setting.Unit.FACTOR, setting.Unit.SHARE}:
        shown = f'{shown} {unit}'
    if found.branch == snapshot.DEFAULT_BRANCH:
        return f'{shown}, the default'
    return f'{shown}, set by {found.branch} in version {found.version}'


def declarations(found: typing.Iterable[setting.Setting]) -> str:
    """Return three lines for each declared setting."""
    return '\n'.join(
        f'{declared.path}\n  {declared.doc}\n  accepted: '
        f'{schema.accepted(declared)}; default: '
        f'{value(declared.path, declared.default)}; set by: '
        '{0}'.format(', '.join(kind.value for kind in tree.kinds_of(declared)))
        for declared in found
    )


def time_of(unix_ms: int) -> str:
    """Return a time in UTC."""
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
    """Return the tree, each branch below its parent, with its settings."""
    children: dict[str, list[str]] = {}
    for branch in sorted(current.branches):
        if branch != tree.ROOT:
            children.setdefault(_parent(current, branch), []).append(branch)
    lines = [f'settings version {current.version}, digest {current.digest}']
    waiting = [(tree.ROOT, '')]
    while waiting:
        name, indent = waiting.pop()
        lines.extend(_branch(name, indent, current.branches.get(name)))
        waiting.extend(
            (child, f'{indent}  ') for child in reversed(children.get(name, ()))
        )
    return '\n'.join(lines)


def history(changes: typing.Iterable[change.Change]) -> str:
    """Return a line for each change."""
    rows = [
        (
            made.version,
            time_of(made.at_unix_ms),
            made.author,
            made.branch,
            'removed' if made.removed else f'{len(made.settings)} settings',
        )
        for made in changes
    ]
    return table([('version', 'time', 'author', 'branch', 'change'), *rows])


def differences(found: typing.Iterable[log.Difference]) -> str:
    """Return a line for each setting that differs."""
    lines = [
        f'{one.branch} {one.path}: '
        f'{value(one.path, one.old)} -> {value(one.path, one.new)}'
        for one in found
    ]
    return '\n'.join(lines) or 'no difference'


def conflict(exc: errors.ConflictError) -> str:
    """Return both texts of a conflict."""
    return (
        f'{exc}\n--- the branch now (version {exc.version})\n'
        f'{exc.theirs.rstrip()}\n--- your text\n{exc.mine.rstrip()}\n'
        '--- merge them, then edit again on the new version'
    )


def _parent(current: snapshot.Snapshot, branch: str) -> str:
    """Return the nearest ancestor that exists, or the root."""
    ancestors = tree.chain(branch, current.parents)[1:]
    existing = (name for name in ancestors if name in current.branches)
    return next(existing, tree.ROOT)


def _branch(
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
