"""Prints docs/settings.md from the declared settings."""

import itertools
import sys

import msgspec

from papayaloom.version import schema, setting, tree

_HEAD = """# Settings

Every setting, from its declaration in `papayaloom/version/declarations/`. This page is printed by
`make docs`; do not edit it. docs/operators/settings.md says how to change a setting.

A number may be given as text with a unit of the same dimension, such as `"250 ms"` for 0.25 s.
"""
_COLUMNS = ('setting', 'default', 'accepted', 'set by', 'description')


def render() -> str:
    """Return the page as Markdown."""
    parts = [_HEAD]
    declared = schema.load().values()
    for part, group in itertools.groupby(declared, key=_part):
        parts.extend((f'\n## {part}\n\n', _row(_COLUMNS)))
        parts.append(_row(tuple('---' for _ in _COLUMNS)))
        parts.extend(_row(_cells(one)) for one in group)
    return ''.join(parts)


def _part(declared: setting.Setting) -> str:
    return declared.path.partition('.')[0]


def _cells(declared: setting.Setting) -> list[str]:
    default = msgspec.json.encode(declared.default).decode()
    return [
        f'`{declared.path}`',
        f'`{default}`',
        schema.accepted(declared),
        ', '.join(kind.value for kind in tree.kinds_of(declared)),
        declared.doc,
    ]


def _row(cells: list[str] | tuple[str, ...]) -> str:
    escaped = (cell.replace('|', '&#124;') for cell in cells)
    return '| {0} |\n'.format(' | '.join(escaped))


if __name__ == '__main__':
    sys.stdout.write(render())
