"""Edits of single settings in a branch document that preserve its comments."""

import json
import typing

import json5
import result
from json5 import dumper, model

from papayaloom.version import document

RewriteResult = result.Result[str, str]
_INDENT = '  '


def set_value(text: str, path: str, raw: str) -> RewriteResult:
    """Return the document with one setting set, or the reason for a failure.

    The new value replaces the old one. Without an old one, it is added to
    the innermost existing object. Everything else is preserved.

    :param text: the document; an empty text is treated as ``{}``.
    :param raw: the value in JSON with comments; anything else is treated as
        a text, so ``250 ms`` needs no quotes.
    """
    return _rewrite(text, lambda root: _set(root, path, _parse_value(raw)))


def unset_value(text: str, path: str) -> RewriteResult:
    """Return the document without one setting, or the reason for a failure."""
    return _rewrite(text, lambda root: _unset(root, path))


def _rewrite(
    text: str,
    change: typing.Callable[[model.JSONObject], str],
) -> RewriteResult:
    syntax = document.parse_syntax(text if text.strip() else '{}\n')
    if isinstance(syntax, result.Err):
        return result.Err(str(syntax.err_value))
    root = syntax.ok_value.value
    if not isinstance(root, model.JSONObject):
        return result.Err('the document is not an object')
    failure = change(root)
    if failure:
        return result.Err(failure)
    writer = typing.cast(dumper.BaseDumper, dumper.ModelDumper())
    return result.Ok(json5.dumps(syntax.ok_value, dumper=writer))


def _parse_value(raw: str) -> model.Value:
    try:
        return _parse(raw)
    except (json5.JSON5DecodeError, ValueError):
        return _parse(json.dumps(raw))


def _parse(raw: str) -> model.Value:
    loaded = json5.loads(raw, loader=json5.loader.ModelLoader())
    return typing.cast(model.JSONText, loaded).value


def _member_index(group: model.JSONObject, name: str) -> int | None:
    for index, key in enumerate(group.keys):
        if document.key_name(key) == name:
            return index
    return None


def _find_member(
    group: model.JSONObject,
    remaining: str,
) -> tuple[model.JSONObject, str, int | None]:
    """Find the innermost existing object on the path of a setting.

    A member name in a document may consist of several parts of the path.

    :param remaining: path relative to the object.
    :returns: the object, the remaining path below it and, if a member of the
        object matches, its index.
    """
    parts = remaining.split('.')
    for length in range(len(parts), 0, -1):
        index = _member_index(group, '.'.join(parts[:length]))
        if index is not None:
            rest = '.'.join(parts[length:])
            inner = group.values[index]
            if rest and isinstance(inner, model.JSONObject):
                return _find_member(inner, rest)
            return group, rest, index
    return group, remaining, None


def _set(root: model.JSONObject, path: str, new_value: model.Value) -> str:
    full_path = f'settings.{path}'
    group, remaining, index = _find_member(root, full_path)
    if index is not None:
        if remaining:
            return f'{path} cannot be set because a value is set above it'
        old_value = group.values[index]
        new_value.wsc_before = old_value.wsc_before
        new_value.wsc_after = old_value.wsc_after
        group.values[index] = new_value
        return ''
    depth = 1 + full_path.count('.') - remaining.count('.')
    _append(group, remaining.split('.'), new_value, depth)
    return ''


def _append(
    group: model.JSONObject,
    names: list[str],
    new_value: model.Value,
    depth: int,
) -> None:
    key = model.DoubleQuotedString(names[0], json.dumps(names[0]))
    inner = new_value
    if len(names) > 1:
        inner = model.JSONObject()
        _append(inner, names[1:], new_value, depth + 1)
    inner.wsc_before = [' ']
    key.wsc_before = ['\n{0}'.format(_INDENT * depth)]
    closing = '\n{0}'.format(_INDENT * (depth - 1))
    if group.values:
        # The parser attaches whitespace and comments before the closing
        # brace to the last value, or to its trailing comma.
        _move_comments_to_key(group, key)
    elif group.leading_wsc:
        key.wsc_before = [
            *_strip_trailing_whitespace(group.leading_wsc),
            *key.wsc_before,
        ]
        group.leading_wsc = []
    inner.wsc_after = [closing]
    group.keys.append(key)
    group.values.append(inner)


def _move_comments_to_key(group: model.JSONObject, key: model.Key) -> None:
    last = group.values[-1]
    comma = group.trailing_comma
    tail = last.wsc_after if comma is None else comma.wsc_after
    key.wsc_before = [*_strip_trailing_whitespace(tail), *key.wsc_before]
    if comma is None:
        last.wsc_after = []
    group.trailing_comma = None


def _strip_trailing_whitespace(tail: list[typing.Any]) -> list[typing.Any]:
    kept = list(tail)
    while kept and isinstance(kept[-1], str):
        kept.pop()
    return kept


def _unset(root: model.JSONObject, path: str) -> str:
    group, remaining, index = _find_member(root, f'settings.{path}')
    if index is None or remaining:
        return f'{path} is not set'
    key, old_value = group.keys.pop(index), group.values.pop(index)
    comments = [
        *_strip_trailing_whitespace(key.wsc_before),
        *_strip_trailing_whitespace(old_value.wsc_after),
    ]
    if index == 0:
        comments = [*_strip_trailing_whitespace(group.leading_wsc), *comments]
        group.leading_wsc = []
    if index < len(group.values):
        following = group.keys[index]
        following.wsc_before = _join_comments(comments, following.wsc_before)
    else:
        _append_trailing(group, comments, old_value.wsc_after)
    return ''


def _append_trailing(
    group: model.JSONObject,
    comments: list[typing.Any],
    trailing: list[typing.Any],
) -> None:
    """Attach comments and whitespace after the last remaining value."""
    comma = group.trailing_comma
    if comma is not None:
        trailing = comma.wsc_after
        comments = [*comments, *_strip_trailing_whitespace(trailing)]
        group.trailing_comma = None
    tail = _join_comments(comments, _trailing_whitespace(trailing))
    if group.values:
        last = group.values[-1]
        last.wsc_after = _join_comments(
            _strip_trailing_whitespace(last.wsc_after), tail
        )
    else:
        group.leading_wsc = tail


def _trailing_whitespace(trailing: list[typing.Any]) -> list[typing.Any]:
    kept = len(_strip_trailing_whitespace(trailing))
    return trailing[kept:]


def _join_comments(
    comments: list[typing.Any],
    tail: list[typing.Any],
) -> list[typing.Any]:
    """Join comments and whitespace, with a newline after each line comment."""
    joined: list[typing.Any] = []
    for part in (*comments, *tail):
        after_line = joined and isinstance(joined[-1], model.LineComment)
        if after_line and not (isinstance(part, str) and '\n' in part):
            joined.append('\n')
        joined.append(part)
    if joined and isinstance(joined[-1], model.LineComment):
        joined.append('\n')
    return joined
