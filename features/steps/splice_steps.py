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


@behave.then('the state machine of stream delivery finds no broken property')
def machine_passes(context):
    stream_machine.run(stream_machine.StreamMachine)


@behave.then('the state machine reports a splice that doubles tokens')
def fault_found(context):
    try:
        stream_machine.run(stream_machine.FaultyMachine)
    except AssertionError as exc:
        assert 'lost or doubled token' in str(exc), exc
        return
    raise AssertionError('the deliberate fault was not found')


@behave.then('random byte streams give the same whole and in random pieces')
def fuzz_parser(context):
    @FIXED
    @hypothesis.given(STREAMS, CUTS, st.sampled_from((8, 30, 1000)))
    def same(content, cuts, limit):
        whole = parse(content, (), limit)
        assert parse(content, cuts, limit) == whole
        assert parse(content, range(len(content)), limit) == whole

    same()


@behave.then('random contents written as frames come back from random pieces')
def fuzz_writer(context):
    @FIXED
    @hypothesis.given(st.lists(st.text(max_size=20), max_size=5), CUTS)
    def same(texts, cuts):
        written = [json.dumps(text).encode() for text in texts]
        lines = [text.encode().replace(b'\r', b'\n') for text in texts]
        for contents in (written, lines):
            stream = b''.join(sse.frame(content) for content in contents)
            assert parse(stream, cuts, 1000) == contents

    same()


@behave.then('a line that comes in small pieces is refused at the limit')
def refused_at_limit(context):
    parser = sse.Parser(1000)
    taken = 0
    try:
        while taken < 5000:
            parser.feed(b'x' * 100)
            taken += 100
    except errors.CodecError:
        assert taken == 1000, taken
        return
    raise AssertionError('an endless line was accepted')
