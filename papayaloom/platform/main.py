"""Command of the forwarding router on the users' platform.

The environment variable ``PAPAYALOOM_SETTINGS`` holds the path of the settings
file. SIGTERM starts a graceful shutdown.
"""

import gc
import os
import signal
import sys

from papayaloom import errors
from papayaloom.commands import bounded_log, logs, stop_signals
from papayaloom.platform import documents, headers, settings, store
from papayaloom.process import gateway, large_blocks, store_view


# Longest time for writing the log lines that are still buffered at exit.
_LOG_DRAIN_S = 0.1
# Time within which the main thread handles a signal that another one received.
_SIGNAL_CHECK_S = 0.5
PLATFORM_ADAPTER = store_view.PlatformAdapter(
    dialect=headers.PlatformDialect(),
    keys=documents.KEYS,
    tables=documents.decode_tables,
    replica=documents.decode_replica,
    directory_answer=documents.directory_answer,
    is_readiness=documents.is_readiness,
)


def main() -> None:
    """Run the process until a signal stops it."""
    output = bounded_log.BoundedLog(sys.stdout)
    logs.configure(output)
    large_blocks.map_separately()
    try:
        cfg = settings.load(settings.path_from_environment())
        process = gateway.Gateway(
            cfg.process,
            store.PlatformStore(cfg.store),
            PLATFORM_ADAPTER,
            store.PlatformStore(cfg.store, store.SHORT_TIMEOUT_S),
        )
    except errors.SettingsError as exc:
        sys.exit(f'papayaloom-gateway: {exc}')
    stop_signals.subscribe(process.begin_stop)
    # The settings of the process hold listen addresses, which only a restart
    # changes, so there is nothing to reload.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Objects created by the imports live as long as the process; exclude them
    # from garbage collection.
    gc.freeze()
    gc.enable()
    process.start()
    has_stopped = False
    while not has_stopped:
        has_stopped = process.wait(_SIGNAL_CHECK_S)
    output.drain(_LOG_DRAIN_S)
    # A normal exit would wait for the threads of open connections.
    os._exit(0)
