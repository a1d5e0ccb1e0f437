"""Router-to-router sockets: one inbox and a bounded set of outgoing sockets.

Messages have datagram semantics: sending neither blocks nor retries, and a
message that can't be sent immediately is dropped and counted.
"""

import collections
import contextlib
import enum
import threading
import typing

import pynng

MAX_CONNECTIONS = 32
# Messages buffered while a connection is being established.
_SEND_BUFFER = 32
_RECEIVE_BUFFER = 512
_RECEIVE_TIMEOUT_MS = 500
_MAX_BYTES = 65536


class Count(enum.Enum):
    """Counters of :class:`PeerSockets`."""

    SENT = 'sent'
    RECEIVED = 'received'
    FULL = 'dropped, peer not reachable or slow'
    FAILED = 'dropped, socket error'


class PeerSockets:
    """Inbox and outgoing connections of one router.

    :param address: pynng URL to listen on, such as ``tcp://10.0.0.1:7100``.
    :param receive: called on the inbox thread for every received packet.
    """

    def __init__(
        self,
        address: str,
        receive: typing.Callable[[bytes], object],
    ) -> None:
        """Bind the inbox; :meth:`start` starts receiving."""
        self.counts: collections.Counter[Count] = collections.Counter()
        self._receive = receive
        self._outgoing: collections.OrderedDict[str, pynng.Push0] = (
            collections.OrderedDict()
        )
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._inbox = pynng.Pull0(
            recv_timeout=_RECEIVE_TIMEOUT_MS,
            recv_buffer_size=_RECEIVE_BUFFER,
            recv_max_size=_MAX_BYTES,
        )
        try:
            self._inbox.listen(address)
        except pynng.NNGException:
            self._inbox.close()
            raise
        self._thread = threading.Thread(
            target=self._run, name='peers-inbox', daemon=True
        )

    def start(self) -> None:
        """Start receiving."""
        self._thread.start()

    def send(self, address: str, packet: bytes) -> bool:
        """Send without blocking.

        :returns: whether the socket accepted the packet.
        """
        with self._lock:
            if self._closed.is_set():
                return False
            try:
                self._get_socket(address).send(packet, block=False)
            except pynng.TryAgain:
                self.counts[Count.FULL] += 1
                return False
            except pynng.NNGException:
                self._close_socket(address)
                self.counts[Count.FAILED] += 1
                return False
            self.counts[Count.SENT] += 1
        return True

    def connections(self) -> int:
        """Return the number of outgoing connections, including pending ones."""
        with self._lock:
            return len(self._outgoing)

    def close(self) -> None:
        """Close all sockets and wait for the inbox thread."""
        with self._lock:
            self._closed.set()
            for sock in self._outgoing.values():
                sock.close()
            self._outgoing.clear()
        self._inbox.close()
        if self._thread.is_alive():
            self._thread.join()

    def _get_socket(self, address: str) -> pynng.Push0:
        sock = self._outgoing.get(address)
        if sock is None:
            if len(self._outgoing) >= MAX_CONNECTIONS:
                _, oldest = self._outgoing.popitem(last=False)
                oldest.close()
            sock = pynng.Push0(send_buffer_size=_SEND_BUFFER)
            self._outgoing[address] = sock
            sock.dial(address, block=False)
        self._outgoing.move_to_end(address)
        return sock

    def _close_socket(self, address: str) -> None:
        sock = self._outgoing.pop(address, None)
        if sock is not None:
            sock.close()

    def _run(self) -> None:
        while not self._closed.is_set():
            with contextlib.suppress(pynng.Timeout):
                if not self._receive_one():
                    return

    def _receive_one(self) -> bool:
        try:
            packet = self._inbox.recv()
        except pynng.Closed:
            return False
        self.counts[Count.RECEIVED] += 1
        self._receive(packet)
        return True
