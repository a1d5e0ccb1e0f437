"""Loopback proxy that delays, resets, cuts and silences connections."""

import contextlib
import enum
import socket
import struct
import threading
import time

_BYTES = 65_536
_DELAY_S = 0.2
_POLL_S = 0.05
_RESET = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """What happens to bytes."""

    PASS = 'pass'
    DELAY = 'delay'
    # Nothing gets through; connections stay open.
    SILENT = 'silent'
    # Requests get through, answers don't.
    ONE_WAY = 'one way'
    RESET = 'reset'


class Proxy:
    """Forwards connections to one address.

    :param target: host and port.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        """Listen on a free port."""
        self.mode = Mode.PASS
        self._target = target
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=256)
        self.address: tuple[str, int] = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Take no more connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(near,), daemon=True
            ).start()

    def _serve(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection(self._target, timeout=2)
        except OSError:
            near.close()
            return
        back = threading.Thread(
            target=self._pump, args=(far, near, True), daemon=True
        )
        back.start()
        self._pump(near, far, False)
        back.join()
        near.close()
        far.close()

    def _pump(
        self, source: socket.socket, sink: socket.socket, is_answer: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while content := source.recv(_BYTES):
                if not self._hold(is_answer):
                    _reset(source)
                    break
                sink.sendall(content)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)

    def _hold(self, is_answer: bool) -> bool:
        """Wait as the mode asks; false to reset."""
        if self.mode is Mode.DELAY:
            time.sleep(_DELAY_S)
        while self.mode is Mode.SILENT or (
            self.mode is Mode.ONE_WAY and is_answer
        ):
            time.sleep(_POLL_S)
        return self.mode is not Mode.RESET


def _reset(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        sock.shutdown(socket.SHUT_RDWR)
