"""Benchmark of the request path over TCP sockets.

Runs three server processes: an engine (a plain cheroot server that emits
tokens at a fixed rate), the router, and a second plain cheroot server that
writes the same streams itself, as the baseline. This process acts as the
callers.
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

# Bearer key that the router process accepts.
API_KEY = 'bench'
TOKEN_INTERVAL_S = 0.069
STREAM_COUNT = 100
# Mean answer length at the planned load: 460,000 tokens/s ÷ 1,200 requests/s.
ANSWER_TOKENS = 383


class ServerProcess:
    """Server that runs in a subprocess."""

    def __init__(self, *arguments: str) -> None:
        """Start the process and read its address."""
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
        host, port = self._read_line().split()
        self.address = (host, int(port))

    @property
    def url(self) -> str:
        """Return the base URL."""
        return 'http://{0}:{1}'.format(*self.address)

    def cpu_s(self) -> float:
        """Return the CPU time used so far, in seconds."""
        assert self._process.stdin
        self._process.stdin.write('\n')
        self._process.stdin.flush()
        return float(self._read_line())

    def stop(self) -> None:
        """Close the input of the process and wait for it to exit."""
        assert self._process.stdin
        self._process.stdin.close()
        self._process.wait(10)

    def _read_line(self) -> str:
        assert self._process.stdout
        return self._process.stdout.readline()


class StreamResults(msgspec.Struct):
    """Measurements of one run of streams.

    :param first_byte_s: times to first byte of the last answer of each stream.
    :param ramp_up_first_byte_s: times to first byte of the earlier answers.
    """

    first_byte_s: list[float] = msgspec.field(default_factory=list)
    ramp_up_first_byte_s: list[float] = msgspec.field(default_factory=list)
    tokens: int = 0
    finished: int = 0
    cpu_s: float = 0

    def median_first_byte_s(self) -> float:
        """Return the median time to the first byte."""
        return statistics.median(self.first_byte_s)

    def p95_first_byte_s(self) -> float:
        """Return the 95th percentile of the time to the first byte."""
        return statistics.quantiles(self.first_byte_s, n=20)[-1]

    def cpu_per_token_us(self) -> float:
        """Return the CPU time per token, in microseconds."""
        return self.cpu_s / self.tokens * 1e6


def run_streams(
    address: tuple[str, int], starts: list[float], answers: int
) -> StreamResults:
    """Run streams that each request ``answers`` answers in sequence.

    :param starts: start time of each stream, in seconds from now.
    """
    selector = selectors.DefaultSelector()
    results = StreamResults()
    started = time.monotonic()
    pending_starts = sorted(starts)
    open_streams = 0
    while pending_starts or open_streams:
        now = time.monotonic() - started
        while pending_starts and pending_starts[0] <= now:
            pending_starts.pop(0)
            _open_stream(selector, address, answers)
            open_streams += 1
        wait_s = pending_starts[0] - now if pending_starts else 1
        for key, _ in selector.select(max(wait_s, 0)):
            remaining = _read_chunk(selector, key.fileobj, key.data, results)
            if remaining:
                _open_stream(selector, address, remaining)
            open_streams -= remaining == 0
    return results


def _open_stream(selector, address: tuple[str, int], answers: int) -> None:
    body = json.dumps(
        {
            'model': 'bench',
            'stream': True,
            'messages': [{'role': 'user', 'content': 'why did it change?'}],
        }
    )
    started = time.monotonic()
    conn = socket.create_connection(address)
    conn.sendall(
        (
            'POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n'
            f'Authorization: Bearer {API_KEY}\r\n'
            'Content-Type: application/json\r\nConnection: close\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'
        ).encode()
    )
    selector.register(conn, selectors.EVENT_READ, [started, b'', answers])


def _read_chunk(selector, conn, state, results: StreamResults) -> int | None:
    """Read a chunk of an answer.

    :returns: the number of answers left in the stream when this answer has
        ended, otherwise nothing.
    """
    chunk = conn.recv(65536)
    if chunk:
        if state[0]:
            # The server sends the headers together with the first token.
            first_byte_times = (
                results.first_byte_s
                if state[2] == 1
                else results.ramp_up_first_byte_s
            )
            first_byte_times.append(time.monotonic() - state[0])
            state[0] = 0
        results.tokens += chunk.count(b'"finish_reason": null')
        state[1] = (state[1] + chunk)[-64:]
        return None
    results.finished += b'data: [DONE]' in state[1]
    selector.unregister(conn)
    conn.close()
    return state[2] - 1


def run(
    *, smoke: bool = False, seed: int = 1
) -> typing.Iterator[measurement.Figure]:
    """Run the benchmark and yield its figures.

    :param smoke: run only a few short streams.
    """
    streams = 10 if smoke else STREAM_COUNT
    answer_tokens = 5 if smoke else ANSWER_TOKENS
    yield from measure_streams('steady', streams, answer_tokens, seed)
    yield from measure_streams('burst', streams, min(answer_tokens, 100), seed)


def measure_streams(
    scenario: str, streams: int, answer_tokens: int, seed: int
) -> typing.Iterator[measurement.Figure]:
    """Measure streams with answers of ``answer_tokens`` tokens.

    In the ``steady`` scenario each stream requests two answers, and the
    stream starts are spread over the duration of one answer. All second
    requests therefore begin while every stream is running, at the request
    rate that this number of streams sustains. In ``burst`` all streams start
    within one token interval.
    """
    arguments = ('bare', str(answer_tokens), str(TOKEN_INTERVAL_S))
    servers = [ServerProcess(*arguments), ServerProcess(*arguments)]
    servers.append(ServerProcess('router', servers[0].url))
    steady = scenario == 'steady'
    answers = 2 if steady else 1
    start_window_s = (
        TOKEN_INTERVAL_S * answer_tokens if steady else TOKEN_INTERVAL_S
    )
    rng = random.Random(seed)
    starts = [rng.uniform(0, start_window_s) for _ in range(streams)]
    results_by_server: dict[str, StreamResults] = {}
    try:
        for name, server in (('plain', servers[1]), ('routed', servers[2])):
            # An unmeasured warm-up stream makes the process load its modules.
            run_streams(server.address, [0], 1)
            cpu_before_s = server.cpu_s()
            results_by_server[name] = run_streams(
                server.address, starts, answers
            )
            results_by_server[name].cpu_s = server.cpu_s() - cpu_before_s
    finally:
        for server in servers:
            server.stop()
    description = (
        f'{scenario}, {streams} streams, '
        f'{TOKEN_INTERVAL_S * 1000:.0f} ms a token, '
        f'{answer_tokens} tokens an answer'
    )
    expected_answers = streams * answers
    yield from _figures(
        results_by_server,
        expected_answers,
        expected_answers * answer_tokens,
        description,
        seed,
    )


def _figures(
    results_by_server, answers: int, tokens: int, scenario: str, seed: int
) -> typing.Iterator[measurement.Figure]:
    def figure(name: str, value: float, unit: str, policy: str = 'router'):
        return measurement.Figure(
            name, round(value, 4), unit, seed, scenario, policy
        )

    plain, routed = results_by_server['plain'], results_by_server['routed']
    yield figure('unfinished_answers', answers - routed.finished, 'answers')
    yield figure('missing_tokens', tokens - routed.tokens, 'tokens')
    ratio = routed.median_first_byte_s() / plain.median_first_byte_s()
    yield figure('added_first_byte', ratio, 'ratio')
    ratio = routed.p95_first_byte_s() / plain.p95_first_byte_s()
    yield figure('added_first_byte_p95', ratio, 'ratio')
    for policy, results in (('router', routed), ('bare cheroot', plain)):
        yield figure(
            'first_byte', results.median_first_byte_s() * 1000, 'ms', policy
        )
        yield figure(
            'first_byte_p95', results.p95_first_byte_s() * 1000, 'ms', policy
        )
        yield figure('cpu_per_token', results.cpu_per_token_us(), 'us', policy)
    ratio = routed.cpu_per_token_us() / plain.cpu_per_token_us()
    yield figure('cpu_per_token_ratio', ratio, 'ratio')
    rate = 1e6 / routed.cpu_per_token_us()
    yield figure('tokens_per_core_second', rate, 'tokens/s')
