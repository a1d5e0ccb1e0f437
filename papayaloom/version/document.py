"""Branch documents: JSON with comments, checked against the declarations.

A document is an object with the optional members ``parent`` (text) and
``settings`` (objects nested by the dots of the settings' paths).
"""

import typing

import json5
import msgspec
import result
from json5 import loader, model

from papayaloom import errors
from papayaloom.version import change, schema, tree

# Limit of a value of the key-value service.
MAX_BYTES = 1_000_000


class Refusal(msgspec.Struct, frozen=True, omit_defaults=True):
    """Why a document is refused.

    :param path: the setting, or the member of the document, that is wrong.
    :param line: line of the document, from 1; 0 when no line is to blame.
    :param accepted: what would be accepted.
    """

    path: str
    line: int
    reason: str
    accepted: str = ''

    def __str__(self) -> str:
        """Return one line for operators."""
        accepted = f' (accepted: {self.accepted})' if self.accepted else ''
        where = f'line {self.line}: ' if self.line else ''
        return f'{where}{self.path} {self.reason}{accepted}'


class Document(msgspec.Struct, frozen=True):
    """A checked branch document.

    :param parent: the parent that the branch names, empty for its path's.
    :param settings: flat, in declared units, sorted by path.
    :param lines: line of each setting in the text.
    """

    parent: str
    settings: change.Values
    lines: dict[str, int]


Parsed = result.Result[Document, tuple[Refusal, ...]]


class _Leaf(msgspec.Struct, frozen=True):
    path: str
    line: int
    content: object


class _Reader:
    """Collects the members of one document and what is wrong with them."""

    def __init__(self, branch: str, known: schema.Schema) -> None:
        self.refusals: list[Refusal] = []
        self.parent = ''
        self.settings: change.Values = {}
        self.lines: dict[str, int] = {}
        self._branch = branch
        self._schema = known
        self._seen: set[str] = set()
        self._waiting: list[tuple[str, model.JSONObject]] = []

    def read(self, root: model.Value) -> None:
        """Read the whole document."""
        if not isinstance(root, model.JSONObject):
            self._refuse('document', root.lineno, 'is not an object')
            return
        seen: set[str] = set()
        for key, node in root.key_value_pairs:
            name = key_name(key)
            if name in seen:
                self._refuse(name, key.lineno, 'is given twice')
            elif name == 'parent':
                self._read_parent(node)
            elif name == 'settings':
                self._read_settings(node)
            else:
                self._refuse(
                    name,
                    key.lineno,
                    'is no member of a branch document',
                    'parent, settings',
                )
            seen.add(name)

    def _refuse(
        self,
        path: str,
        line: int | None,
        reason: str,
        accepted: str = '',
    ) -> None:
        # Names come from the input and may hold half of a surrogate pair.
        printable = path[:200].encode(errors='backslashreplace').decode()
        self.refusals.append(Refusal(printable, line or 0, reason, accepted))

    def _read_parent(self, node: model.Value) -> None:
        parent = _content(node)
        if not isinstance(parent, str):
            self._refuse('parent', node.lineno, 'is not a text')
            return
        try:
            tree.kind(parent)
        except errors.SettingsError as exc:
            self._refuse('parent', node.lineno, f'is refused: {exc}')
            return
        self.parent = parent

    def _read_settings(self, root: model.Value) -> None:
        if not isinstance(root, model.JSONObject):
            self._refuse('settings', root.lineno, 'is not an object')
            return
        # A list instead of recursion: the depth of the input is not trusted.
        self._waiting.append(('', root))
        while self._waiting:
            prefix, group = self._waiting.pop()
            for key, node in group.key_value_pairs:
                path = f'{prefix}{key_name(key)}'
                self._read_member(path, key.lineno or 0, node)

    def _read_member(self, path: str, line: int, node: model.Value) -> None:
        if path in self._seen:
            self._refuse(path, line, 'is given twice')
        elif isinstance(node, model.JSONObject) and self._is_group(path):
            self._waiting.append((f'{path}.', node))
        else:
            self._read_value(path, line, node)
        self._seen.add(path)

    def _is_group(self, path: str) -> bool:
        return any(known.startswith(f'{path}.') for known in self._schema)

    def _read_value(self, path: str, line: int, node: model.Value) -> None:
        declared = self._schema.get(path)
        if declared is None:
            hint = schema.similar(path, self._schema)
            self._refuse(path, line, f'is no known setting{hint}')
            return
        if not tree.may_set(self._branch, declared):
            self._refuse(
                path,
                line,
                f'may not be set in branch {self._branch}',
                ', '.join(kind.value for kind in tree.kinds_of(declared)),
            )
            return
        checked = schema.check(declared, _content(node))
        if isinstance(checked, result.Err):
            self._refuse(
                path, line, checked.err_value, schema.accepted(declared)
            )
            return
        self.settings[path] = checked.ok_value
        self.lines[path] = line


def parse(
    text: str,
    branch: str,
    known: schema.Schema | None = None,
) -> Parsed:
    """Parse and check the document of a branch.

    :param branch: name of the branch, which decides what it may set.
    :returns: the document, or everything that is wrong with it.
    """
    try:
        tree.kind(branch)
    except errors.SettingsError as exc:
        return result.Err((Refusal('branch', 0, f'is refused: {exc}'),))
    syntax = parse_syntax(text)
    if isinstance(syntax, result.Err):
        return result.Err((syntax.err_value,))
    reader = _Reader(branch, schema.load() if known is None else known)
    reader.read(syntax.ok_value.value)
    if reader.refusals:
        return result.Err(
            tuple(sorted(reader.refusals, key=lambda wrong: wrong.line)),
        )
    return result.Ok(
        Document(
            parent=reader.parent,
            settings=dict(sorted(reader.settings.items())),
            lines=reader.lines,
        ),
    )


def parse_syntax(text: str) -> result.Result[model.JSONText, Refusal]:
    """Parse JSON with comments to a model that keeps the comments."""
    size = len(text.encode(errors='surrogatepass'))
    if size > MAX_BYTES:
        return result.Err(
            Refusal(
                'document',
                0,
                f'has {size} bytes',
                f'at most {MAX_BYTES} bytes',
            ),
        )
    try:
        return result.Ok(
            json5.loads(text, loader=loader.ModelLoader()),
        )
    except json5.JSON5DecodeError as exc:
        return result.Err(_syntax_refusal(text, exc))
    except ValueError as exc:
        # An integer with more digits than Python converts.
        return result.Err(Refusal('document', 0, f'cannot be read: {exc}'))


def key_name(key: model.Key) -> str:
    """Return the name of a member."""
    if isinstance(key, model.Identifier):
        return key.name
    return _join_surrogates(typing.cast(model.String, key).characters)


def member_line(text: str, name: str) -> int:
    """Return the line of a member of a readable document, 0 without it."""
    syntax = parse_syntax(text)
    if isinstance(syntax, result.Ok):
        for key, _ in getattr(syntax.ok_value.value, 'key_value_pairs', ()):
            if key_name(key) == name:
                return key.lineno or 0
    return 0


def _join_surrogates(text: str) -> str:
    """Return a text with its pairs of escaped surrogates decoded.

    json-five decodes each of two escapes on its own.
    """
    try:
        return text.encode('utf-16', 'surrogatepass').decode('utf-16')
    except UnicodeDecodeError:
        return text


def _syntax_refusal(text: str, exc: json5.JSON5DecodeError) -> Refusal:
    # The parser gives no line for an illegal character or an early end.
    line = exc.lineno
    reason = exc.msg
    if not line:
        _, _, index = reason.partition(' at index ')
        end = int(index) if index.isdigit() else len(text)
        line = text.count('\n', 0, end) + 1
    if 'primary error was:' in reason:
        reason = reason.partition('primary error was:')[2]
        reason = reason.partition('Additionally')[0]
    brief = ' '.join(reason.partition(' at: line')[0].split())
    return Refusal('document', line, f'is no JSON with comments: {brief}')


def _content(node: model.Value) -> object:
    """Return a scalar or a list of scalars; anything deeper as nothing."""
    if isinstance(node, model.JSONArray):
        return [_scalar(element) for element in node.values]
    return _scalar(node)


def _scalar(node: model.Value) -> object:
    if isinstance(node, model.String):
        return _join_surrogates(node.characters)
    if isinstance(node, model.UnaryOp):
        amount = _scalar(node.value)
        if isinstance(amount, int | float):
            return -amount if node.op == '-' else amount
    if isinstance(node, model.Number | model.BooleanLiteral):
        return typing.cast(object, getattr(node, 'value', None))
    return None
