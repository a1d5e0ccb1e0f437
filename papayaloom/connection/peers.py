"""Sockets between routers: one inbox and a bounded set of outgoing ones.

Nothing here blocks its caller or retries: a message is a datagram, and what
cannot be sent at once is dropped and counted.
"""

import collections
import contextlib
import enum
import threading
import typing

import pynng

MAX_CONNECTIONS = 32
# Messages that wait in a socket while its connection is being set up.
_SEND_BUFFER = 32
_RECEIVE_BUFFER = 512
_RECEIVE_TIMEOUT_MS = 500
_MAX_BYTES = 65536


class Count(enum.Enum):
    """What the counters of :class:`Peers` count."""

    SENT = 'sent'
    RECEIVED = 'received'
    FULL = 'dropped, peer not reachable or slow'
    FAILED = 'dropped, socket error'


class Peers:
    """Inbox and outgoing connections of one router.

    :param address: pynng URL to listen on, such as ``tcp://10.0.0.1:7100``.
    :param receive: called with every received packet, on the inbox's thread.
    """

    def __init__(
        self,
        address: str,
        receive: typing.Callable[[bytes], object],
    ) -> None:
        """Listen; :meth:`start` begins to receive."""
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
        """Begin to receive."""
        self._thread.start()

    def send(self, address: str, packet: bytes) -> bool:
        """Send without blocking.

        :returns: whether the packet was handed to the socket.
        """
        with self._lock:
            if self._closed.is_set():
                return False
            try:
                self._connection(address).send(packet, block=False)
            except pynng.TryAgain:
                self.counts[Count.FULL] += 1
                return False
            except pynng.NNGException:
                self._drop(address)
                self.counts[Count.FAILED] += 1
                return False
            self.counts[Count.SENT] += 1
        return True

    def connections(self) -> int:
        """Return how many outgoing connections are open or being opened."""
        with self._lock:
            return len(self._outgoing)

    def close(self) -> None:
        """Close all sockets and wait for the inbox's thread."""
        with self._lock:
            self._closed.set()
            for sock in self._outgoing.values():
                sock.close()
            self._outgoing.clear()
        self._inbox.close()
        if self._thread.is_alive():
            self._thread.join()

    def _connection(self, address: str) -> pynng.Push0:
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

    def _drop(self, address: str) -> None:
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
