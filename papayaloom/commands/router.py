"""The router: serves callers, places chats, admits to engines.

Example settings file (JSON with comments)::

    {
      "name": "router-1",          // as in the platform's host list
      "deployment": "kelani",
      "zone": "lk-west-a", "region": "lk-west",
      "http": "127.0.0.1:8101",    // towards callers
      "control": "127.0.0.1:8201", // towards other routers
      "local": "127.0.0.1:8301",   // towards the locator on this host
      "kv_url": "http://127.0.0.1:8001",
      "hosts_url": "http://127.0.0.1:8002",
      "control_keys": ["first-secret"]
    }

SIGTERM begins a planned stop, which cuts off no request in flight.
"""

import os
import signal
import sys

import fire

from papayaloom import errors
from papayaloom.commands import logs
from papayaloom.process import bootstrap, router


def run(settings: str) -> None:
    """Run a router until it is told to stop.

    :param settings: path of the process's settings file.
    """
    logs.configure()
    try:
        process = router.Router(bootstrap.load(settings, bootstrap.Router))
    except errors.SettingsError as exc:
        sys.exit(f'papayaloom-router: {exc}')
    signal.signal(signal.SIGTERM, lambda *_: process.begin_stop())
    signal.signal(signal.SIGINT, lambda *_: process.begin_stop())
    process.start()
    try:
        process.wait()
    except errors.PapayaloomError as failed:
        sys.stderr.write(f'papayaloom-router: {failed}\n')
        sys.stderr.flush()
        # Threads of open requests would keep a normal exit waiting.
        os._exit(1)


def main() -> None:
    """Run the console script."""
    # The module's text tells what the program is for, with an example.
    run.__doc__ = f'{__doc__}\n{run.__doc__}'
    fire.Fire(run, name='papayaloom-router')


if __name__ == '__main__':
    main()
