"""Router process: serves callers, places chats and admits requests.

Example settings file (JSON with comments)::

    {
      "name": "router-1",          // as in the platform's host list
      "deployment": "kelani",
      "zone": "lk-west-a", "region": "lk-west",
      "http": "127.0.0.1:8101",    // address for callers
      "control": "127.0.0.1:8201", // address for other routers
      "local": "127.0.0.1:8301",   // address for the locator on this host
      "kv_url": "http://127.0.0.1:8001",
      "hosts_url": "http://127.0.0.1:8002",
      "control_keys": ["first-secret"]
    }

SIGTERM starts a graceful shutdown, which completes the requests in flight.
"""

import os
import sys

import fire

from papayaloom import errors
from papayaloom.commands import logs, stop_signals
from papayaloom.process import bootstrap, router


def run(settings: str) -> None:
    """Run a router until it gets SIGTERM or SIGINT.

    :param settings: path of the settings file.
    """
    logs.configure()
    try:
        process = router.Router(bootstrap.load(settings, bootstrap.Router))
    except errors.SettingsError as exc:
        sys.exit(f'papayaloom-router: {exc}')
    stop_signals.subscribe(process.begin_stop)
    process.start()
    try:
        process.wait()
    except errors.PapayaloomError as failure:
        sys.stderr.write(f'papayaloom-router: {failure}\n')
        sys.stderr.flush()
        # A normal exit would wait for the threads of open requests.
        os._exit(1)


def main() -> None:
    """Run the console script."""
    # Fire shows this text as help; the module docstring has the example.
    run.__doc__ = f'{__doc__}\n{run.__doc__}'
    fire.Fire(run, name='papayaloom-router')


if __name__ == '__main__':
    main()
