"""Connection to an upstream that is read while its caller is watched.

urllib3 can't do three things that forwarding needs: send a body and read an
early answer at the same time, wait for the upstream and the caller together,
and tell the bytes that belong to no answer. So the connection is a plain
socket with h11, which parses HTTP/1.1 and does no I/O.
"""

import select
import socket
import time
import typing

import h11
import msgspec

from papayaloom import errors
from papayaloom.connection import bounds
from papayaloom.request import onward

CONNECT_S = 0.3
_READ_BYTES = 65_536
# A host without power answers no probes: found after about three seconds.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_PROBES = 2
_UNACKNOWLEDGED_MS = 2500
_CALLER_GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_WRITABLE = select.POLLIN | select.POLLOUT
_READABLE = select.POLLIN | select.POLLHUP | select.POLLERR

Event = h11.Response | h11.Data | h11.EndOfMessage


class CallerGoneError(errors.PapayaloomError):
    """The caller closed its connection."""


class LateError(errors.PapayaloomError):
    """The time for an answer has passed."""


class Head(msgspec.Struct, frozen=True):
    """Request line and headers towards an upstream."""

    method: bytes
    target: bytes
    headers: onward.Headers


class Channel:
    """One connection; serves one request at a time.

    :param address: host and port of the upstream.
    """

    def __init__(
        self,
        address: tuple[str, int],
        limits: bounds.Bounds = bounds.DEFAULT,
        connect_s: float = CONNECT_S,
    ) -> None:
        """Connect.

        :raises papayaloom.errors.UpstreamError: not reached; not run.
        """
        self.address = address
        self.used_at = time.monotonic()
        self.idle_s = float('inf')
        # Bytes of the present request are on their way.
        self.has_sent = False
        # The upstream leaves: no further request may use the connection.
        self.is_last = False
        # A request was answered on this connection before.
        self.is_reused = False
        self._limits = limits
        self._allowed_bytes = limits.answer
        self._further_heads = 0
        self._parser = self._new_parser()
        self._unsent = b''
        try:
            self._sock = socket.create_connection(address, timeout=connect_s)
        except OSError as exc:
            raise errors.UpstreamError(
                f'upstream {address[0]}:{address[1]} not reached: {exc}',
                errors.Verdict.NOT_RUN,
            ) from exc
        _tune(self._sock)

    def send(self, head: Head, body: bytes) -> None:
        """Begin to send a request; the rest is sent while answers are read."""
        self.has_sent = False
        self.allow(self._limits.answer)
        self._further_heads = 0
        parts = [
            self._parser.send(
                h11.Request(
                    method=head.method,
                    target=head.target,
                    headers=head.headers,
                )
            )
        ]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        self._unsent = b''.join(part for part in parts if part)
        self._write()

    def allow(self, allowed_bytes: int) -> None:
        """Let the upstream send so much from now on."""
        self._allowed_bytes = allowed_bytes

    def receive_head(self, until: float, caller_fd: int = -1) -> h11.Response:
        """Return the status and the headers of the answer.

        Raises like :meth:`receive_part`.
        """
        event = self._receive(until, caller_fd)
        if isinstance(event, h11.Response):
            return event
        raise self._broken('sent a body without a head')

    def receive_part(self, until: float, caller_fd: int = -1) -> bytes | None:
        """Return the next part of the answer's body, or None at its end.

        :param until: monotonic time at which the wait ends.
        :param caller_fd: connection of the caller, -1 for none.
        :raises papayaloom.errors.UpstreamError: the connection broke, or the
            bytes are no answer.
        :raises LateError: the time has passed.
        :raises CallerGoneError: the caller closed its connection.
        """
        event = self._receive(until, caller_fd)
        if isinstance(event, h11.Response):
            raise self._broken('sent a head inside a body')
        return bytes(event.data) if isinstance(event, h11.Data) else None

    def skip_answer(self, head: Head) -> None:
        """Expect another answer, after one that belongs to another request.

        :param head: the request that is still unanswered.
        """
        if self._unsent:
            raise self._broken('answered another request')
        extra, is_closed = self._parser.trailing_data
        self._parser = self._new_parser()
        host = [(b'Host', b'upstream')]
        self._parser.send(
            h11.Request(method=head.method, target=head.target, headers=host)
        )
        self._parser.send(h11.EndOfMessage())
        if extra or is_closed:
            self._parser.receive_data(extra)

    def finish(self) -> bool:
        """Make ready for the next request.

        :returns: whether the connection can be used again.
        """
        if self.is_last or self._unsent or self._parser.trailing_data[0]:
            return False
        if self._parser.our_state is not h11.DONE:
            return False
        if self._parser.their_state is not h11.DONE:
            return False
        self._parser.start_next_cycle()
        self.is_reused = True
        self.used_at = time.monotonic()
        return True

    def is_quiet(self) -> bool:
        """Whether an idle connection is open and has no stray bytes."""
        poll = select.poll()
        poll.register(self._sock, select.POLLIN | select.POLLRDHUP)
        return not poll.poll(0)

    def close(self) -> None:
        """Close; a replica that is at work for us stops."""
        self._sock.close()

    def _receive(self, until: float, caller_fd: int) -> Event:
        while True:
            event = self._next()
            if event is not None:
                return event
            self._await(until, caller_fd)

    def _next(self) -> Event | None:
        """Return the next part that has arrived; None when more is needed."""
        while True:
            event = self._parsed()
            if isinstance(event, (h11.Response, h11.Data, h11.EndOfMessage)):
                return event
            if event is h11.NEED_DATA:
                return None
            if not isinstance(event, h11.InformationalResponse):
                raise self._broken('closed without an answer')
            self._further_heads += 1
            if self._further_heads > self._limits.further_heads:
                raise self._broken('sent informational heads without end')

    def _parsed(self) -> typing.Any:
        try:
            event = self._parser.next_event()
        except h11.RemoteProtocolError as exc:
            raise self._broken(f'no answer in the protocol: {exc}') from exc
        if event is not h11.NEED_DATA:
            self._spend(bounds.PART_COST_BYTES)
        return event

    def _await(self, until: float, caller_fd: int) -> None:
        poll = select.poll()
        poll.register(self._sock, _WRITABLE if self._unsent else select.POLLIN)
        if caller_fd >= 0:
            poll.register(caller_fd, select.POLLRDHUP)
        left = until - time.monotonic()
        if left <= 0:
            raise LateError('the time for an answer has passed')
        ready = dict(poll.poll(left * 1000 + 1))
        if ready.get(caller_fd, 0) & _CALLER_GONE:
            raise CallerGoneError('the caller closed its connection')
        seen = ready.get(self._sock.fileno(), 0)
        if seen & select.POLLOUT:
            self._write()
        if seen & _READABLE:
            self._read()

    def _write(self) -> None:
        try:
            sent = self._sock.send(self._unsent)
        except BlockingIOError:
            return
        except OSError as exc:
            # The upstream may have answered before it closed.
            self._unsent = b''
            if not self.has_sent:
                raise errors.UpstreamError(
                    f'upstream closed before the request was sent: {exc}',
                    errors.Verdict.NOT_RUN,
                ) from exc
            return
        self.has_sent = self.has_sent or sent > 0
        self._unsent = self._unsent[sent:]

    def _read(self) -> None:
        try:
            content = self._sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            raise self._broken(f'reset: {exc}') from exc
        self._spend(len(content))
        self._parser.receive_data(content)

    def _spend(self, spent_bytes: int) -> None:
        self._allowed_bytes -= spent_bytes
        if self._allowed_bytes < 0:
            raise self._broken('sent more than an answer may have')

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self._limits.head
        )

    def _broken(self, why: str) -> errors.UpstreamError:
        return errors.UpstreamError(
            f'upstream {self.address[0]}:{self.address[1]}: {why}',
            errors.Verdict.MAY_HAVE_RUN,
            crashed=True,
        )


def _tune(sock: socket.socket) -> None:
    sock.setblocking(False)
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
    )
    for level, option, setting in options:
        sock.setsockopt(level, option, setting)
