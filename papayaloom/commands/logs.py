"""Logging setup of the console scripts: JSON lines on standard error."""

import faulthandler
import logging
import signal
import sys
import typing

import structlog


def configure(stream: typing.Any = sys.stderr) -> None:
    """Log one JSON object per line, with timestamp, level and event.

    SIGUSR1 dumps the stacks of all threads, to debug a process that hangs.

    :param stream: destination of the lines.
    """
    faulthandler.register(signal.SIGUSR1)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(stream),
    )
