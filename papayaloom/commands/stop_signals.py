"""Calls back when the process is told to stop.

A signal handler may interrupt any statement of the main thread, another handler
included, so it must not take a lock: it could be held by what it interrupts.
The handlers here only put the signal into a reentrant queue.
"""

import queue
import signal
import threading
import typing

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def subscribe(stop: typing.Callable[[], object]) -> None:
    """Call back at each SIGTERM and SIGINT, in a thread of its own.

    Call it in the main thread, which has to wake from time to time: another
    thread may receive the signal, as after a freeze, and only the main thread
    runs its handler.
    """
    received: queue.SimpleQueue[int] = queue.SimpleQueue()

    def handle_signal(number: int, _: object) -> None:
        received.put(number)

    for stop_signal in _STOP_SIGNALS:
        signal.signal(stop_signal, handle_signal)
    threading.Thread(
        target=_run, args=(received, stop), name='signals', daemon=True
    ).start()


def _run(
    received: queue.SimpleQueue[int], stop: typing.Callable[[], object]
) -> None:
    while received.get():
        stop()
