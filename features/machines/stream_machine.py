"""State machine of stream delivery; the oracle is a list of tokens.

Guards against crossed answers, wrong ids, truncated streams that look
finished, wrong resume offsets, and lost or doubled tokens (property P2).
"""

import json
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from features import fake_engine
from features.machines import deterministic
from papayaloom import errors, ids
from papayaloom.connection import sse
from papayaloom.request import (
    chat,
    core_api,
    prompt,
    retry_policy,
    stream_splicer,
)

CALLER, UPSTREAM = 'caller-1', 'caller-1-f00d'
TOKENS = st.lists(
    st.sampled_from(
        ('the ', 'lamp\n', 'ව', '灯', '"', '[DONE]', 'data: x\n\n', '\\')
    ),
    min_size=1,
    max_size=12,
)


class StreamMachine(stateful.RuleBasedStateMachine):
    """Plays the engines and the desk against one chat request."""

    splice_class = stream_splicer.StreamSplicer

    @stateful.initialize(tokens=TOKENS, seed=st.integers(0, 9))
    def begin(self, tokens, seed):
        self.tokens = tokens
        self.now = 0.0
        self.out = b''
        body = json.dumps(
            {'model': 'm', 'messages': [{'role': 'user', 'content': 'why?'}]}
        )
        facts = chat.Facts(
            request_id=ids.RequestId(CALLER),
            upstream_id=ids.RequestId(UPSTREAM),
            organisation=ids.OrgId('o'),
            chat=ids.ChatId('c'),
            priority=4,
            arrived=0,
            deadline=1e9,
            fingerprint=ids.Fingerprint('f'),
            body=prompt.parse(body.encode()).ok(),
        )
        cfg = chat.Cfg(retries=retry_policy.Cfg(tries=3), resumes=8)
        self.chat = chat.Chat(facts, cfg, random.Random(seed), lambda _: True)
        self.chat.answer = self.splice_class(UPSTREAM, CALLER)
        self.follow(self.chat.admit(self.now))

    def follow(self, step):
        """Take steps until an engine is asked or the request has ended."""
        while isinstance(step, (chat.Pause, chat.Admit)):
            if isinstance(step, chat.Pause):
                self.now += step.seconds
                step = self.chat.admit(self.now)
                continue
            grant = core_api.Grant(1, ids.EngineId('e'), 'http://e')
            step = self.chat.granted(grant, self.now)
        self.step = step
        if isinstance(step, chat.Open):
            self.at = step.completion.offset
            self.check_resumption(step.completion)

    def check_resumption(self, completion):
        had = len(self.delivered())
        assert completion.offset == had, 'resumed at a wrong offset'
        last = json.loads(completion.body)['messages'][-1]
        so_far = ''.join(self.tokens[:had])
        assert last['content'] == (so_far or 'why?'), 'wrong text so far'

    def delivered(self):
        events = sse.Parser().feed(self.out)
        found = [json.loads(e) for e in events if e != sse.DONE]
        return [e for e in found if not e['choices'][0]['finish_reason']]

    def feed(self, content, cuts=()):
        """Send bytes of the engine, in pieces, and end a useless stream."""
        edges = [0, *sorted(cut % (len(content) + 1) for cut in cuts)]
        for start, end in zip(edges, [*edges[1:], len(content)], strict=True):
            if not self.chat.is_streaming:
                break
            self.out += self.chat.received(content[start:end])
        if not self.chat.is_streaming:
            self.end(None)

    def end(self, exc):
        outcome, step = self.chat.ended(exc, self.now)
        finished = outcome.end is core_api.AttemptEnd.FINISHED
        assert finished == isinstance(step, chat.Finish)
        self.out += self.chat.answer.closing
        self.follow(step)

    def is_open(self):
        return isinstance(self.step, chat.Open)

    def event(self, offset, request=UPSTREAM):
        return fake_engine.event(request, offset, self.tokens[offset])

    @stateful.precondition(is_open)
    @stateful.rule(
        count=st.integers(1, 4), cuts=st.lists(st.integers(0, 999), max_size=3)
    )
    def tokens_arrive(self, count, cuts):
        upto = min(self.at + count, len(self.tokens))
        content = b''.join(self.event(n) for n in range(self.at, upto))
        self.at = upto
        self.feed(content, cuts)

    @stateful.precondition(is_open)
    @stateful.rule(back=st.integers(1, 5))
    def tokens_arrive_again(self, back):
        first = max(self.at - back, 0)
        self.feed(b''.join(self.event(n) for n in range(first, self.at)))

    @stateful.precondition(is_open)
    @stateful.rule(offset=st.integers(0, 11))
    def event_of_another_request(self, offset):
        self.feed(fake_engine.event('caller-1-beef', offset, 'not yours'))

    @stateful.precondition(is_open)
    @stateful.rule(skip=st.integers(1, 4))
    def tokens_are_lost(self, skip):
        if self.at + skip < len(self.tokens):
            self.feed(self.event(self.at + skip))

    @stateful.precondition(is_open)
    @stateful.rule(
        content=st.sampled_from(
            (b'data: {"id": 1}\n\n', b': comment\n\n', b'data: nonsense\n\n')
        )
    )
    def other_bytes_arrive(self, content):
        self.feed(content)

    @stateful.precondition(is_open)
    @stateful.rule()
    def end_mark_without_reason(self):
        self.feed(sse.DONE_FRAME)

    @stateful.precondition(is_open)
    @stateful.rule(crashed=st.booleans(), reason=st.booleans())
    def engine_dies(self, crashed, reason):
        if reason and self.at == len(self.tokens):
            self.feed(fake_engine.event(UPSTREAM, self.at, finish='stop'))
        self.end(
            errors.UpstreamError(
                'gone', errors.Verdict.MAY_HAVE_RUN, crashed=crashed
            )
        )

    @stateful.precondition(is_open)
    @stateful.rule()
    def stream_ends_early(self):
        self.end(None)

    @stateful.precondition(is_open)
    @stateful.rule()
    def answer_ends(self):
        if self.at == len(self.tokens):
            last = fake_engine.event(UPSTREAM, self.at, finish='stop')
            self.feed(last + sse.DONE_FRAME + self.event(self.at - 1))

    @stateful.precondition(lambda self: not self.is_open())
    @stateful.rule(tokens=TOKENS)
    def next_request_begins(self, tokens):
        self.begin(tokens, len(tokens) % 10)

    @stateful.invariant()
    def caller_has_the_beginning_of_its_answer(self):
        got = self.delivered()
        texts = [event['choices'][0]['delta']['content'] for event in got]
        assert texts == self.tokens[: len(texts)], 'lost or doubled token'
        assert [event['offset'] for event in got] == list(range(len(got)))
        assert {event['id'] for event in got} <= {CALLER}, 'crossed answer'
        ended = isinstance(self.step, chat.Finish)
        assert self.out.endswith(b'\n\ndata: [DONE]\n\n') == ended
        if ended:
            assert texts == self.tokens, 'truncated stream looks finished'


class _DoublesTokens(stream_splicer.StreamSplicer):
    """Deliberate fault: a token that arrives again is delivered again."""

    def _out_of_order(self, event):
        if event.offset == self.next_offset - 1:
            self.next_offset -= 1
            self._text_parts.pop()
            text = event.choices[0].delta.content
            frame = fake_engine.event(CALLER, event.offset, text)
            return self._accept_event(event, frame[6:-2])
        return super()._out_of_order(event)


class FaultyMachine(StreamMachine):
    """The same machine around the deliberate fault."""

    splice_class = _DoublesTokens


def run(machine, examples=100, steps=25):
    """Run a machine with fixed choices.

    :raises AssertionError: a property was broken.
    """
    deterministic.run_fixed(
        machine,
        examples,
        steps,
        phases=tuple(hypothesis.Phase),
        print_blob=False,
        report_multiple_bugs=False,
    )
