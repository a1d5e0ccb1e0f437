import json

import behave
import hypothesis
from hypothesis import strategies as st

from features.machines import stream_machine
from papayaloom import errors
from papayaloom.connection import sse

FIXED = hypothesis.settings(
    derandomize=True, database=None, max_examples=300, deadline=None
)
# Bytes that matter to the parser are drawn more often than others.
STREAMS = st.lists(
    st.one_of(
        st.sampled_from(
            (b'data: ', b'data:', b'\n', b'\r', b'\r\n', b'\n\n', b'event: x')
        ),
        st.binary(max_size=6),
    ),
    max_size=14,
).map(b''.join)
CUTS = st.lists(st.integers(0, 100), max_size=6)


def parse(content, cuts, limit):
    parser = sse.Parser(limit)
    edges = [0, *sorted(min(cut, len(content)) for cut in cuts), len(content)]
    found = []
    try:
        for start, end in zip(edges, edges[1:], strict=False):
            found += parser.feed(content[start:end])
    except errors.CodecError:
        return 'refused'
    return found


@behave.when('the state machine of stream delivery runs')
def run_machine(context):
    context.broken = ''
    stream_machine.run(stream_machine.StreamMachine)


@behave.then('no property was broken')
def nothing_broken(context):
    assert not context.broken


@behave.when('the state machine runs on a splice that doubles tokens')
def run_faulty(context):
    try:
        stream_machine.run(stream_machine.FaultyMachine)
    except AssertionError as exc:
        context.broken = str(exc)


@behave.then('it reports a lost or doubled token')
def fault_found(context):
    assert 'lost or doubled token' in context.broken


@behave.when('random byte streams are parsed whole and in random pieces')
def fuzz_parser(context):
    @FIXED
    @hypothesis.given(STREAMS, CUTS, st.sampled_from((8, 30, 1000)))
    def same(content, cuts, limit):
        whole = parse(content, (), limit)
        assert parse(content, cuts, limit) == whole
        assert parse(content, range(len(content)), limit) == whole

    context.check = same


@behave.then('both give the same events or both are refused')
def parsed_the_same(context):
    context.check()


@behave.when(
    'random contents are written as frames and parsed in random pieces'
)
def fuzz_writer(context):
    @FIXED
    @hypothesis.given(st.lists(st.text(max_size=20), max_size=5), CUTS)
    def same(texts, cuts):
        written = [json.dumps(text).encode() for text in texts]
        lines = [text.encode().replace(b'\r', b'\n') for text in texts]
        for contents in (written, lines):
            stream = b''.join(sse.frame(content) for content in contents)
            assert parse(stream, cuts, 1000) == contents

    context.check = same


@behave.then('the contents come back')
def contents_back(context):
    context.check()


@behave.when('a stream sends a line longer than the limit in small pieces')
def endless_line(context):
    context.parser = sse.Parser(1000)


@behave.then('the parser refuses it at the limit')
def refused_at_limit(context):
    taken = 0
    try:
        while taken < 5000:
            context.parser.feed(b'x' * 100)
            taken += 100
    except errors.CodecError:
        assert taken == 1000, taken
        return
    raise AssertionError('an endless line was accepted')
