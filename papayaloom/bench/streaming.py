"""Cost of the request path on real sockets.

Three processes: an engine (a plain cheroot server that paces its tokens), the
router, and a second plain cheroot server that writes the same streams itself.
This process is the callers.
"""

import json
import random
import selectors
import socket
import statistics
import subprocess
import sys
import time
import typing

import msgspec

from papayaloom.bench import measurement

# Key that the router child accepts.
KEY = 'bench'
TOKEN_S = 0.069
STREAMS = 100
# Mean answer at the planned size: 460,000 tokens/s ÷ 1,200 requests/s.
ANSWER_TOKENS = 383


class Child:
    """A server process."""

    def __init__(self, *arguments: str) -> None:
        """Start the process and wait for its address."""
        self._process = subprocess.Popen(
            (
                sys.executable,
                '-m',
                'papayaloom.bench.streaming_child',
                *arguments,
            ),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        host, port = self._line().split()
        self.address = (host, int(port))

    @property
    def url(self) -> str:
        """Return the base URL."""
        return 'http://{0}:{1}'.format(*self.address)

    def cpu_s(self) -> float:
        """Return the processor time used so far."""
        assert self._process.stdin
        self._process.stdin.write('\n')
        self._process.stdin.flush()
        return float(self._line())

    def stop(self) -> None:
        """End the process."""
        assert self._process.stdin
        self._process.stdin.close()
        self._process.wait(10)

    def _line(self) -> str:
        assert self._process.stdout
        return self._process.stdout.readline()


class Round(msgspec.Struct):
    """Result of one round of streams.

    :param first_s: times to the first byte of the last answers.
    :param ramp_s: the same of the answers before them.
    """

    first_s: list[float] = msgspec.field(default_factory=list)
    ramp_s: list[float] = msgspec.field(default_factory=list)
    tokens: int = 0
    finished: int = 0
    cpu_s: float = 0

    def median_s(self) -> float:
        """Return the median time to the first byte."""
        return statistics.median(self.first_s)

    def tail_s(self) -> float:
        """Return the time that 95 of 100 first bytes stay under."""
        return statistics.quantiles(self.first_s, n=20)[-1]

    def per_token_us(self) -> float:
        """Return the processor time of a token, in microseconds."""
        return self.cpu_s / self.tokens * 1e6


def stream_round(
    address: tuple[str, int], starts: list[float], answers: int
) -> Round:
    """Run streams; each asks for ``answers`` answers, one after the other.

    :param starts: when each stream begins, in seconds.
    """
    selector = selectors.DefaultSelector()
    done = Round()
    begun = time.monotonic()
    waiting = sorted(starts)
    open_streams = 0
    while waiting or open_streams:
        now = time.monotonic() - begun
        while waiting and waiting[0] <= now:
            waiting.pop(0)
            _start(selector, address, answers)
            open_streams += 1
        wait_s = waiting[0] - now if waiting else 1
        for key, _ in selector.select(max(wait_s, 0)):
            left = _read(selector, key.fileobj, key.data, done)
            if left:
                _start(selector, address, left)
            open_streams -= left == 0
    return done


def _start(selector, address: tuple[str, int], answers: int) -> None:
    body = json.dumps(
        {
            'model': 'bench',
            'stream': True,
            'messages': [{'role': 'user', 'content': 'why did it change?'}],
        }
    )
    begun = time.monotonic()
    conn = socket.create_connection(address)
    conn.sendall(
        (
            'POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n'
            f'Authorization: Bearer {KEY}\r\n'
            'Content-Type: application/json\r\nConnection: close\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'
        ).encode()
    )
    selector.register(conn, selectors.EVENT_READ, [begun, b'', answers])


def _read(selector, conn, state, done: Round) -> int | None:
    """Read a chunk; return the answers left when one has ended."""
    chunk = conn.recv(65536)
    if chunk:
        if state[0]:
            # The headers come with the first token.
            first = done.first_s if state[2] == 1 else done.ramp_s
            first.append(time.monotonic() - state[0])
            state[0] = 0
        done.tokens += chunk.count(b'"finish_reason": null')
        state[1] = (state[1] + chunk)[-64:]
        return None
    done.finished += b'data: [DONE]' in state[1]
    selector.unregister(conn)
    conn.close()
    return state[2] - 1


def run(
    *, smoke: bool = False, seed: int = 1
) -> typing.Iterator[measurement.Figure]:
    """Measure and yield the figures.

    :param smoke: few short streams.
    """
    streams = 10 if smoke else STREAMS
    count = 5 if smoke else ANSWER_TOKENS
    yield from measure('steady', streams, count, seed)
    yield from measure('burst', streams, min(count, 100), seed)


def measure(
    scenario: str, streams: int, count: int, seed: int
) -> typing.Iterator[measurement.Figure]:
    """Measure streams with answers of ``count`` tokens.

    In the scenario ``steady`` each stream asks for two answers, and the
    streams start spread over the time of one answer. So all second requests
    begin while all streams run, at the rate that goes with that number of
    streams. In ``burst`` all streams start within the time of one token.
    """
    arguments = ('bare', str(count), str(TOKEN_S))
    children = [Child(*arguments), Child(*arguments)]
    children.append(Child('router', children[0].url))
    steady = scenario == 'steady'
    answers = 2 if steady else 1
    spread = TOKEN_S * count if steady else TOKEN_S
    rng = random.Random(seed)
    starts = [rng.uniform(0, spread) for _ in range(streams)]
    seen: dict[str, Round] = {}
    try:
        for name, child in (('plain', children[1]), ('routed', children[2])):
            # One unmeasured stream loads the modules of each process.
            stream_round(child.address, [0], 1)
            before = child.cpu_s()
            seen[name] = stream_round(child.address, starts, answers)
            seen[name].cpu_s = child.cpu_s() - before
    finally:
        for child in children:
            child.stop()
    conditions = (
        f'{scenario}, {streams} streams, {TOKEN_S * 1000:.0f} ms a token, '
        f'{count} tokens an answer'
    )
    expected = streams * answers
    yield from _figures(seen, expected, expected * count, conditions, seed)


def _figures(
    seen, answers: int, tokens: int, scenario: str, seed: int
) -> typing.Iterator[measurement.Figure]:
    def figure(name: str, number: float, unit: str, policy: str = 'router'):
        return measurement.Figure(
            name, round(number, 4), unit, seed, scenario, policy
        )

    plain, routed = seen['plain'], seen['routed']
    yield figure('unfinished_answers', answers - routed.finished, 'answers')
    yield figure('missing_tokens', tokens - routed.tokens, 'tokens')
    ratio = routed.median_s() / plain.median_s()
    yield figure('added_first_byte', ratio, 'ratio')
    ratio = routed.tail_s() / plain.tail_s()
    yield figure('added_first_byte_p95', ratio, 'ratio')
    for policy, entry in (('router', routed), ('bare cheroot', plain)):
        yield figure('first_byte', entry.median_s() * 1000, 'ms', policy)
        yield figure('first_byte_p95', entry.tail_s() * 1000, 'ms', policy)
        yield figure('cpu_per_token', entry.per_token_us(), 'us', policy)
    ratio = routed.per_token_us() / plain.per_token_us()
    yield figure('cpu_per_token_ratio', ratio, 'ratio')
    rate = 1e6 / routed.per_token_us()
    yield figure('tokens_per_core_second', rate, 'tokens/s')
