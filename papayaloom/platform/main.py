"""The forwarding router on the users' platform.

The settings file is named by the variable ``PAPAYALOOM_SETTINGS``. SIGTERM
begins a planned stop.
"""

import gc
import os
import signal
import sys

from papayaloom import errors
from papayaloom.commands import bounded_log, logs
from papayaloom.platform import documents, headers, settings, store
from papayaloom.process import gateway, store_view


# Time for the last lines of the log to be written.
_LAST_LINES_S = 0.1
OUTSIDE = store_view.PlatformAdapter(
    dialect=headers.PlatformDialect(),
    keys=documents.KEYS,
    tables=documents.tables,
    replica=documents.replica,
    directory_answer=documents.directory_answer,
    is_readiness=documents.is_readiness,
)


def main() -> None:
    """Run the process until it is told to stop."""
    output = bounded_log.BoundedLog(sys.stdout)
    logs.configure(output)
    try:
        cfg = settings.load(settings.path_of_process())
        process = gateway.Gateway(
            cfg.process,
            store.PlatformStore(cfg.store),
            OUTSIDE,
            store.PlatformStore(cfg.store, store.QUICK_S),
        )
    except errors.SettingsError as exc:
        sys.exit(f'papayaloom-gateway: {exc}')
    signal.signal(signal.SIGTERM, lambda *_: process.begin_stop())
    signal.signal(signal.SIGINT, lambda *_: process.begin_stop())
    # The settings of the process name addresses, which a restart changes.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # What the imports made lives as long as the process.
    gc.freeze()
    gc.enable()
    process.start()
    process.wait()
    output.drain(_LAST_LINES_S)
    # Threads of open connections would keep a normal exit waiting.
    os._exit(0)
