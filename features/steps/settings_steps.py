import json
import pathlib
import re
import string

import behave
import hypothesis
import msgspec
import result
from hypothesis import strategies as st

from features import settings_sample
from papayaloom import errors
from papayaloom.version import (
    change,
    document,
    edit,
    settings_page,
    rewrite,
    schema,
    snapshot,
    tree,
)


@behave.when('the document of "{branch}" is')
def parse(context, branch):
    context.parsed = document.parse(
        context.text, branch, settings_sample.SCHEMA
    )


@behave.then('it is refused at line {line:d} for "{path}" because "{reason}"')
def refused(context, line, path, reason):
    wrong = context.parsed.err_value[0]
    assert (wrong.line, wrong.path) == (line, path), wrong
    assert reason in wrong.reason, wrong
    context.accepted = wrong.accepted


@behave.then('the accepted range is "{accepted}"')
def accepted_range(context, accepted):
    assert context.accepted == accepted, context.accepted


@behave.then('the accepted range is ""')
def no_accepted_range(context):
    assert not context.accepted, context.accepted


@behave.then('it sets "{path}" to {value}')
def sets(context, path, value):
    found = context.parsed.ok_value.settings[path]
    expected = json.loads(value)
    expected = tuple(expected) if isinstance(expected, list) else expected
    assert (found, type(found)) == (expected, type(expected)), found


@behave.given('the branches')
def branches(context):
    context.states = [snapshot.empty(settings_sample.SCHEMA)]
    context.deltas = []
    for row in context.table:
        before = context.states[-1]
        delta = settings_sample.delta_after(
            before, row['branch'], row['parent'], json.loads(row['settings'])
        )
        context.deltas.append(delta)
        context.states.append(before.apply(delta))


@behave.then(
    '"{path}" for "{org}" and "{target}" is {value} from "{origin}" '
    'of version {version:d}'
)
def resolves(context, path, org, target, value, origin, version):
    found = context.states[-1].resolve(path, org=org, target=target)
    unit = settings_sample.SCHEMA[path].unit
    expected = snapshot.ResolvedSetting(
        json.loads(value), unit, origin, version
    )
    assert found == expected, found


@behave.when('"{branch}" is checked with the parent "{parent}"')
def check_parent(context, branch, parent):
    text = json.dumps({'parent': parent})
    try:
        edit.check(branch, text, context.states[-1], settings_sample.SCHEMA)
    except errors.SettingsError as exc:
        context.error = exc


@behave.then('the check fails because "{reason}"')
def check_fails(context, reason):
    assert reason in str(context.error), context.error
    assert context.error.refusals[0].line == 1


def refuses(current, delta):
    try:
        current.apply(delta)
    except errors.SettingsError:
        return True
    return False


@behave.then('each delta is refused by every version but its predecessor')
def delta_fits(context):
    for number, delta in enumerate(context.deltas):
        for version, state in enumerate(context.states):
            assert refuses(state, delta) == (version != number)


@behave.then(
    'a delta with a changed value, branch, parent or removal is refused'
)
def delta_changed(context):
    for fields in (
        {'settings': {'test.rate': 7.0}},
        {'branch': 'models/a'},
        {'parent': 'models/a'},
        {'removed': True},
        {'version': 1},
    ):
        forged = msgspec.structs.replace(context.deltas[1], **fields)
        assert refuses(context.states[1], forged), fields


@behave.then('the decoded full state resolves the same')
def full_same(context):
    state = context.states[-1]
    decoded = snapshot.decode(state.encode(), settings_sample.SCHEMA)
    assert decoded.version == state.version
    assert decoded.digest == state.digest
    for path in settings_sample.SCHEMA:
        for branch in ('fleet', 'organisations/large', 'models/a'):
            expected = state.resolve_at(path, branch)
            assert decoded.resolve_at(path, branch) == expected


@behave.then('cut or changed full states, deltas and records raise CodecError')
def malformed(context):
    delta = change.encode_delta(context.deltas[0])
    assert change.decode_delta(delta) == context.deltas[0]
    full = context.states[-1].encode()
    for decode, content in (
        (snapshot.decode, full),
        (change.decode_delta, delta),
        (change.decode, b'{"version": 1}'),
    ):
        for size in range(len(content)):
            bad = content[:size] + b'\xc1' * (size % 3)
            try:
                decode(bad)
            except errors.CodecError:
                continue
            raise AssertionError((decode, bad))


def seeded(examples):
    return hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


FRAGMENTS = st.lists(
    st.one_of(
        st.sampled_from([
            '{', '}', '[', ']', ':', ',', '//', '/*', '*/', '\n', '"', "'",
            'settings', '"settings":', 'parent', 'test', 'rate:', '"test.rate"',
            'copies', 'null', 'true', 'NaN', '-', '+', '0x', '1e999', '01',
            '\\u', '"\\ud800"', '\\', '\ud800', '\x00', '9' * 5000, '.5',
            'Infinity', '"1e99 s"', '"3 MB"', '__proto__', '{settings:{test:{',
        ]),
        st.text(max_size=5),
    ),
    max_size=25,
)  # fmt: skip


@behave.then(
    '{count:d} generated bad documents are refused with a reason and a line'
)
def bad_documents(context, count):
    @seeded(count)
    @hypothesis.given(FRAGMENTS)
    @hypothesis.example(['[' * 3000, ']' * 3000])
    @hypothesis.example(['{a:' * 3000, '1', '}' * 3000])
    @hypothesis.example(['{settings:' + '{test:' * 900 + '1' + '}' * 901])
    @hypothesis.example(['{settings:{test:{rate:' + '9' * 400 + '}}}'])
    @hypothesis.example(['{"\\ud800": 1}'])
    @hypothesis.example(['{settings:{test:{names:["\\ud800"]}}}'])
    @hypothesis.example([' ' * (document.MAX_BYTES + 1)])
    def refuse(fragments):
        text = ''.join(fragments)
        parsed = document.parse(text, 'fleet', settings_sample.SCHEMA)
        if isinstance(parsed, result.Ok):
            assert set(parsed.ok_value.settings) <= set(settings_sample.SCHEMA)
            return
        for wrong in parsed.err_value:
            assert wrong.reason
            assert 0 <= wrong.line <= text.count('\n') + 1, wrong
            msgspec.json.encode(wrong)

    refuse()


VALUES = st.fixed_dictionaries(
    {},
    optional={
        'test.rate': st.floats(0, 100),
        'test.pause_s': st.integers(0, 60).map(float),
        'test.copies': st.integers(1, 2**53),
        'test.mode': st.sampled_from(['slow', 'steady']),
        'test.names': st.lists(st.text(max_size=9), max_size=3),
        'test.on': st.booleans(),
    },
)


@behave.then(
    '{count:d} generated good documents are accepted with the same values'
)
def good_documents(context, count):
    @seeded(count)
    @hypothesis.given(
        VALUES, st.text(string.ascii_letters + string.punctuation, max_size=20)
    )
    def accept(values, remark):
        nested = {'settings': {'test': {}}}
        for path, value in values.items():
            nested['settings']['test'][path.removeprefix('test.')] = value
        text = f'// {remark}\n{json.dumps(nested)}'
        parsed = document.parse(text, 'fleet', settings_sample.SCHEMA)
        expected = {
            path: tuple(value) if isinstance(value, list) else value
            for path, value in values.items()
        }
        assert parsed.ok_value.settings == expected

    accept()


@behave.then('every declaration accepts its default and has one axis')
def declarations(context):
    for path, declared in schema.load().items():
        checked = schema.check(declared, declared.default)
        assert checked.ok_value == declared.default, path
        assert tree.allowed_kinds(declared), path
        assert declared.doc.endswith('.'), path


@behave.then('docs/settings.md is what the declarations give')
def page_is_current(context):
    assert (
        pathlib.Path('docs/settings.md').read_text() == settings_page.render()
    ), 'run `make docs`'


GAP = st.sampled_from([
    '', ' ', '\n  ', '/* c */', '// l\n', ' /* d */ // e\n  ',
])  # fmt: skip


@st.composite
def objects(draw, members):
    """An object with gaps and comments in every place."""
    chosen = draw(
        st.lists(members, max_size=3, unique_by=lambda m: m.split(':')[0])
    )
    texts = [draw(GAP) + one + draw(GAP) for one in chosen]
    if texts and draw(st.booleans()):
        texts.append(draw(GAP))
    return '{{{}{}}}'.format(draw(GAP), ','.join(texts))


INNER = objects(st.sampled_from(['rate: 1.5', '"mode": "slow"', 'copies: 3']))
DOCUMENTS = objects(INNER.map('test: {}'.format)).map('{{settings: {}}}'.format)


def comments(text):
    return sorted(re.findall(r'/\* \w \*/|// \w', text))


@behave.then(
    '{count:d} generated documents keep their comments when a setting changes'
)
def rewriting(context, count):
    known = settings_sample.SCHEMA

    @seeded(count)
    @hypothesis.given(DOCUMENTS, st.sampled_from(['test.rate', 'test.copies']))
    def keep(text, path):
        before = document.parse(text, 'fleet', known).ok_value.settings
        changed = rewrite.set_value(text, path, '7').ok_value
        after = document.parse(changed, 'fleet', known).ok_value.settings
        assert after == {**before, path: 7}
        assert comments(changed) == comments(text)
        removed = rewrite.unset_value(changed, path).ok_value
        before.pop(path, None)
        left = document.parse(removed, 'fleet', known).ok_value.settings
        assert left == before
        assert comments(removed) == comments(text)

    keep()
