"""Branch documents: JSON with comments, validated against the schema.

A document is an object with the optional members ``parent`` (a text) and
``settings`` (objects nested along the dotted paths of the settings).
"""

import typing

import json5
import msgspec
import result
from json5 import loader, model

from papayaloom import errors
from papayaloom.version import change, schema, tree

# Maximum size of a value in the key-value service.
MAX_BYTES = 1_000_000


class Refusal(msgspec.Struct, frozen=True, omit_defaults=True):
    """One reason why a document is rejected.

    :param path: the invalid setting or member of the document.
    :param line: line in the document, starting at 1; 0 if the error has no
        line.
    :param accepted: description of the accepted values.
    """

    path: str
    line: int
    reason: str
    accepted: str = ''

    def __str__(self) -> str:
        """Return a one-line message for operators."""
        accepted = f' (accepted: {self.accepted})' if self.accepted else ''
        where = f'line {self.line}: ' if self.line else ''
        return f'{where}{self.path} {self.reason}{accepted}'


class Document(msgspec.Struct, frozen=True):
    """A validated branch document.

    :param parent: explicit parent of the branch; empty for the default one.
    :param settings: values by path, in declared units and sorted by path.
    :param lines: line of each setting in the text.
    """

    parent: str
    settings: change.Values
    lines: dict[str, int]


ParseResult = result.Result[Document, tuple[Refusal, ...]]


class _Leaf(msgspec.Struct, frozen=True):
    path: str
    line: int
    content: object


class _DocumentReader:
    """Reads the members of a document and collects the errors in them."""

    def __init__(self, branch: str, declared_settings: schema.Schema) -> None:
        self.refusals: list[Refusal] = []
        self.parent = ''
        self.settings: change.Values = {}
        self.lines: dict[str, int] = {}
        self._branch = branch
        self._schema = declared_settings
        self._seen_paths: set[str] = set()
        self._pending_groups: list[tuple[str, model.JSONObject]] = []

    def read(self, root: model.Value) -> None:
        """Read all members of the document."""
        if not isinstance(root, model.JSONObject):
            self._add_refusal('document', root.lineno, 'is not an object')
            return
        seen_names: set[str] = set()
        for key, node in root.key_value_pairs:
            name = key_name(key)
            if name in seen_names:
                self._add_refusal(name, key.lineno, 'is given twice')
            elif name == 'parent':
                self._read_parent(node)
            elif name == 'settings':
                self._read_settings(node)
            else:
                self._add_refusal(
                    name,
                    key.lineno,
                    'is not a member of a branch document',
                    'parent, settings',
                )
            seen_names.add(name)

    def _add_refusal(
        self,
        path: str,
        line: int | None,
        reason: str,
        accepted: str = '',
    ) -> None:
        # Names come from the input and may contain unpaired surrogates.
        printable = path[:200].encode(errors='backslashreplace').decode()
        self.refusals.append(Refusal(printable, line or 0, reason, accepted))

    def _read_parent(self, node: model.Value) -> None:
        parent = _plain_value(node)
        if not isinstance(parent, str):
            self._add_refusal('parent', node.lineno, 'is not a text')
            return
        try:
            tree.kind(parent)
        except errors.SettingsError as exc:
            self._add_refusal('parent', node.lineno, f'is invalid: {exc}')
            return
        self.parent = parent

    def _read_settings(self, root: model.Value) -> None:
        if not isinstance(root, model.JSONObject):
            self._add_refusal('settings', root.lineno, 'is not an object')
            return
        # Iterative, because untrusted input could exceed the recursion limit.
        self._pending_groups.append(('', root))
        while self._pending_groups:
            prefix, group = self._pending_groups.pop()
            for key, node in group.key_value_pairs:
                path = f'{prefix}{key_name(key)}'
                self._read_member(path, key.lineno or 0, node)

    def _read_member(self, path: str, line: int, node: model.Value) -> None:
        if path in self._seen_paths:
            self._add_refusal(path, line, 'is given twice')
        elif isinstance(node, model.JSONObject) and self._is_group(path):
            self._pending_groups.append((f'{path}.', node))
        else:
            self._read_value(path, line, node)
        self._seen_paths.add(path)

    def _is_group(self, path: str) -> bool:
        return any(
            known_path.startswith(f'{path}.') for known_path in self._schema
        )

    def _read_value(self, path: str, line: int, node: model.Value) -> None:
        declared = self._schema.get(path)
        if declared is None:
            hint = schema.suggestion(path, self._schema)
            self._add_refusal(path, line, f'is not a known setting{hint}')
            return
        if not tree.may_set(self._branch, declared):
            self._add_refusal(
                path,
                line,
                f'may not be set in branch {self._branch}',
                ', '.join(kind.value for kind in tree.allowed_kinds(declared)),
            )
            return
        checked = schema.check(declared, _plain_value(node))
        if isinstance(checked, result.Err):
            self._add_refusal(
                path,
                line,
                checked.err_value,
                schema.describe_accepted(declared),
            )
            return
        self.settings[path] = checked.ok_value
        self.lines[path] = line


def parse(
    text: str,
    branch: str,
    declared_settings: schema.Schema | None = None,
) -> ParseResult:
    """Parse and validate the document of a branch.

    :param branch: name of the branch; it determines the allowed settings.
    :returns: the document, or all errors in it.
    """
    try:
        tree.kind(branch)
    except errors.SettingsError as exc:
        return result.Err((Refusal('branch', 0, f'is invalid: {exc}'),))
    syntax = parse_syntax(text)
    if isinstance(syntax, result.Err):
        return result.Err((syntax.err_value,))
    reader = _DocumentReader(
        branch,
        schema.load() if declared_settings is None else declared_settings,
    )
    reader.read(syntax.ok_value.value)
    if reader.refusals:
        return result.Err(
            tuple(sorted(reader.refusals, key=lambda refusal: refusal.line)),
        )
    return result.Ok(
        Document(
            parent=reader.parent,
            settings=dict(sorted(reader.settings.items())),
            lines=reader.lines,
        ),
    )


def parse_syntax(text: str) -> result.Result[model.JSONText, Refusal]:
    """Parse JSON with comments into a model that preserves the comments."""
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
        # For example an integer with more digits than Python converts.
        return result.Err(Refusal('document', 0, f'cannot be parsed: {exc}'))


def key_name(key: model.Key) -> str:
    """Return the name of a member."""
    if isinstance(key, model.Identifier):
        return key.name
    return _combine_surrogates(typing.cast(model.String, key).characters)


def member_line(text: str, name: str) -> int:
    """Return the line of a member, or 0 if it is missing or unparsable."""
    syntax = parse_syntax(text)
    if isinstance(syntax, result.Ok):
        for key, _ in getattr(syntax.ok_value.value, 'key_value_pairs', ()):
            if key_name(key) == name:
                return key.lineno or 0
    return 0


def _combine_surrogates(text: str) -> str:
    """Combine the surrogate pairs of a text into characters.

    json-five decodes the two escapes of a pair separately.
    """
    try:
        return text.encode('utf-16', 'surrogatepass').decode('utf-16')
    except UnicodeDecodeError:
        return text


def _syntax_refusal(text: str, exc: json5.JSON5DecodeError) -> Refusal:
    # The parser reports no line for an illegal character or an unexpected
    # end of input.
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
    return Refusal(
        'document', line, f'is not valid JSON with comments: {brief}'
    )


def _plain_value(node: model.Value) -> object:
    """Return a scalar or a list of scalars; None for anything nested deeper."""
    if isinstance(node, model.JSONArray):
        return [_scalar(element) for element in node.values]
    return _scalar(node)


def _scalar(node: model.Value) -> object:
    if isinstance(node, model.String):
        return _combine_surrogates(node.characters)
    if isinstance(node, model.UnaryOp):
        number = _scalar(node.value)
        if isinstance(number, int | float):
            return -number if node.op == '-' else number
    if isinstance(node, model.Number | model.BooleanLiteral):
        return typing.cast(object, getattr(node, 'value', None))
    return None
