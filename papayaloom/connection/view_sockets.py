"""Sockets between a router and the locator on the same host.

The router publishes its view of the fleet; the locator keeps the latest one.
The messages don't leave the host and are not authenticated.
"""

import threading
import typing

import msgspec
import pynng

from papayaloom import messages

# Both ends buffer only a few views, because only the newest one matters.
_BUFFERED_VIEWS = 4
_RECEIVE_TIMEOUT_MS = 500
_MAX_BYTES = 4_000_000


class ViewPublisher:
    """Publishes the view of one router.

    :param address: local pynng URL, such as
        ``tcp://127.0.0.1:7101``.
    """

    def __init__(self, address: str) -> None:
        """Bind the socket."""
        self._sock = pynng.Pub0(send_buffer_size=_BUFFERED_VIEWS)
        try:
            self._sock.listen(address)
        except pynng.NNGException:
            self._sock.close()
            raise

    def publish(self, view: messages.FleetView) -> None:
        """Send the view; must be called on every change and every second.

        A locator considers its router dead if it receives no views. A locator
        that starts later receives the next view.
        """
        self._sock.send(msgspec.msgpack.encode(view))

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()


class ViewSubscriber:
    """Receives the views of the router on the same host.

    :param receive: called on the subscriber thread for every view.
    """

    def __init__(
        self,
        address: str,
        receive: typing.Callable[[messages.FleetView], object],
    ) -> None:
        """Connect in the background; the router may start later."""
        self.malformed = 0
        self._receive = receive
        self._decoder = msgspec.msgpack.Decoder(messages.FleetView)
        self._closed = threading.Event()
        self._sock = pynng.Sub0(
            topics='',
            recv_timeout=_RECEIVE_TIMEOUT_MS,
            recv_buffer_size=_BUFFERED_VIEWS,
            recv_max_size=_MAX_BYTES,
        )
        self._sock.dial(address, block=False)
        self._thread = threading.Thread(
            target=self._run, name='views', daemon=True
        )

    def start(self) -> None:
        """Start receiving."""
        self._thread.start()

    def close(self) -> None:
        """Close the socket and wait for the thread."""
        self._closed.set()
        if self._thread.is_alive():
            self._thread.join()
        self._sock.close()

    def _run(self) -> None:
        while not self._closed.is_set():
            try:
                packet = self._sock.recv()
            except pynng.Timeout:
                continue
            except pynng.Closed:
                return
            self._decode_view(packet)

    def _decode_view(self, packet: bytes) -> None:
        try:
            view = self._decoder.decode(packet)
        except msgspec.DecodeError:
            self.malformed += 1
            return
        self._receive(view)
