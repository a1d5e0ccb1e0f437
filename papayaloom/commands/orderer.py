"""The orderer: gives orders to engines while it holds the lease.

Example settings file (JSON with comments)::

    {
      "name": "orderer-1",
      "deployment": "kelani",
      "zone": "lk-west-a", "region": "lk-west",
      "http": "127.0.0.1:8501",    // status only
      "kv_url": "http://127.0.0.1:8001",
      "hosts_url": "http://127.0.0.1:8002",
      "weights_url": "http://127.0.0.1:8003"
    }
"""

import signal
import sys
import threading

import fire

from papayaloom import errors
from papayaloom.commands import logs
from papayaloom.process import bootstrap, orderer


def run(settings: str) -> None:
    """Run an orderer until it gets SIGTERM or SIGINT.

    :param settings: path of the process's settings file.
    """
    logs.configure()
    try:
        file = bootstrap.load(settings, bootstrap.Orderer)
    except errors.SettingsError as exc:
        sys.exit(f'papayaloom-orderer: {exc}')
    for name in ('hosts_url', 'weights_url'):
        if not getattr(file, name):
            sys.exit(f'papayaloom-orderer: {settings} has no field "{name}"')
    try:
        process = orderer.Orderer(file)
    except OSError as unbound:
        sys.exit(f'papayaloom-orderer: cannot listen on {file.http}: {unbound}')
    # The server's stop waits for its own loop, which this thread runs.
    stop = threading.Thread(target=process.server.stop, daemon=True)
    signal.signal(signal.SIGTERM, lambda *_: _begin(stop))
    signal.signal(signal.SIGINT, lambda *_: _begin(stop))
    process.run()


def _begin(stop: threading.Thread) -> None:
    if not stop.is_alive():
        stop.start()


def main() -> None:
    """Run the console script."""
    # The module's text tells what the program is for, with an example.
    run.__doc__ = f'{__doc__}\n{run.__doc__}'
    fire.Fire(run, name='papayaloom-orderer')


if __name__ == '__main__':
    main()
