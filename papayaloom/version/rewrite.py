"""Changes of single settings in a branch document that keep its comments."""

import json
import typing

import json5
import result
from json5 import dumper, model

from papayaloom.version import document

Rewritten = result.Result[str, str]
_INDENT = '  '


def set_value(text: str, path: str, raw: str) -> Rewritten:
    """Return a document that sets one setting, or why that is impossible.

    The new value stands in the place of the old one; otherwise it is added
    to the deepest object that exists. Everything else stays as it is.

    :param text: the document; an empty one is taken as ``{}``.
    :param raw: the value as JSON with comments would hold it; anything else
        is taken as a text, so ``250 ms`` needs no quotes.
    """
    return _rewrite(text, lambda root: _set(root, path, _value(raw)))


def unset_value(text: str, path: str) -> Rewritten:
    """Return a document without one setting, or why that is impossible."""
    return _rewrite(text, lambda root: _unset(root, path))


def _rewrite(
    text: str,
    change: typing.Callable[[model.JSONObject], str],
) -> Rewritten:
    syntax = document.parse_syntax(text if text.strip() else '{}\n')
    if isinstance(syntax, result.Err):
        return result.Err(str(syntax.err_value))
    root = syntax.ok_value.value
    if not isinstance(root, model.JSONObject):
        return result.Err('the document is not an object')
    wrong = change(root)
    if wrong:
        return result.Err(wrong)
    writer = typing.cast(dumper.BaseDumper, dumper.ModelDumper())
    return result.Ok(json5.dumps(syntax.ok_value, dumper=writer))


def _value(raw: str) -> model.Value:
    try:
        return _parse(raw)
    except (json5.JSON5DecodeError, ValueError):
        return _parse(json.dumps(raw))


def _parse(raw: str) -> model.Value:
    loaded = json5.loads(raw, loader=json5.loader.ModelLoader())
    return typing.cast(model.JSONText, loaded).value


def _member(group: model.JSONObject, name: str) -> int | None:
    for index, key in enumerate(group.keys):
        if document.key_name(key) == name:
            return index
    return None


def _find(
    group: model.JSONObject,
    left: str,
) -> tuple[model.JSONObject, str, int | None]:
    """Return the deepest object towards a setting and what is left to add.

    A document may join any parts of a path in one name.
    """
    parts = left.split('.')
    for length in range(len(parts), 0, -1):
        index = _member(group, '.'.join(parts[:length]))
        if index is not None:
            rest = '.'.join(parts[length:])
            inner = group.values[index]
            if rest and isinstance(inner, model.JSONObject):
                return _find(inner, rest)
            return group, rest, index
    return group, left, None


def _set(root: model.JSONObject, path: str, fresh: model.Value) -> str:
    whole = f'settings.{path}'
    group, left, index = _find(root, whole)
    if index is not None:
        if left:
            return f'{path} cannot be set below a value'
        former = group.values[index]
        fresh.wsc_before = former.wsc_before
        fresh.wsc_after = former.wsc_after
        group.values[index] = fresh
        return ''
    depth = 1 + whole.count('.') - left.count('.')
    _append(group, left.split('.'), fresh, depth)
    return ''


def _append(
    group: model.JSONObject,
    names: list[str],
    fresh: model.Value,
    depth: int,
) -> None:
    key = model.DoubleQuotedString(names[0], json.dumps(names[0]))
    inner = fresh
    if len(names) > 1:
        inner = model.JSONObject()
        _append(inner, names[1:], fresh, depth + 1)
    inner.wsc_before = [' ']
    key.wsc_before = ['\n{0}'.format(_INDENT * depth)]
    closing = '\n{0}'.format(_INDENT * (depth - 1))
    if group.values:
        # White space and comments before the closing brace belong to the
        # last value, or to its trailing comma.
        _follow(group, key)
    elif group.leading_wsc:
        key.wsc_before = [
            *_without_end(group.leading_wsc),
            *key.wsc_before,
        ]
        group.leading_wsc = []
    inner.wsc_after = [closing]
    group.keys.append(key)
    group.values.append(inner)


def _follow(group: model.JSONObject, key: model.Key) -> None:
    last = group.values[-1]
    comma = group.trailing_comma
    tail = last.wsc_after if comma is None else comma.wsc_after
    key.wsc_before = [*_without_end(tail), *key.wsc_before]
    if comma is None:
        last.wsc_after = []
    group.trailing_comma = None


def _without_end(tail: list[typing.Any]) -> list[typing.Any]:
    kept = list(tail)
    while kept and isinstance(kept[-1], str):
        kept.pop()
    return kept


def _unset(root: model.JSONObject, path: str) -> str:
    group, left, index = _find(root, f'settings.{path}')
    if index is None or left:
        return f'{path} is not set'
    key, former = group.keys.pop(index), group.values.pop(index)
    comments = [*_without_end(key.wsc_before), *_without_end(former.wsc_after)]
    if index == 0:
        comments = [*_without_end(group.leading_wsc), *comments]
        group.leading_wsc = []
    if index < len(group.values):
        following = group.keys[index]
        following.wsc_before = _join(comments, following.wsc_before)
    else:
        _close(group, comments, former.wsc_after)
    return ''


def _close(
    group: model.JSONObject,
    comments: list[typing.Any],
    end: list[typing.Any],
) -> None:
    """Put comments and white space behind the last value that is left."""
    comma = group.trailing_comma
    if comma is not None:
        end = comma.wsc_after
        comments = [*comments, *_without_end(end)]
        group.trailing_comma = None
    tail = _join(comments, _white_space_at_end(end))
    if group.values:
        last = group.values[-1]
        last.wsc_after = _join(_without_end(last.wsc_after), tail)
    else:
        group.leading_wsc = tail


def _white_space_at_end(end: list[typing.Any]) -> list[typing.Any]:
    kept = len(_without_end(end))
    return end[kept:]


def _join(
    comments: list[typing.Any],
    tail: list[typing.Any],
) -> list[typing.Any]:
    """Return comments and what follows; a line comment ends its line."""
    joined: list[typing.Any] = []
    for part in (*comments, *tail):
        after_line = joined and isinstance(joined[-1], model.LineComment)
        if after_line and not (isinstance(part, str) and '\n' in part):
            joined.append('\n')
        joined.append(part)
    if joined and isinstance(joined[-1], model.LineComment):
        joined.append('\n')
    return joined
