"""Log lines of the console scripts: JSON to standard error."""

import faulthandler
import logging
import signal
import sys
import typing

import structlog


def configure(stream: typing.Any = sys.stderr) -> None:
    """Write one JSON object a line, with time, level and short sentence.

    :param stream: where the lines go.

    SIGUSR1 prints the stacks of all threads, for a process that hangs.
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
