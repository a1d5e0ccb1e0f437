"""Orderer process: sends orders to engines while it holds the lease.

Example settings file (JSON with comments)::

    {
      "name": "orderer-1",
      "deployment": "kelani",
      "zone": "lk-west-a", "region": "lk-west",
      "http": "127.0.0.1:8501",    // status endpoints only
      "kv_url": "http://127.0.0.1:8001",
      "hosts_url": "http://127.0.0.1:8002",
      "weights_url": "http://127.0.0.1:8003"
    }
"""

import sys

import fire

from papayaloom import errors
from papayaloom.commands import logs, stop_signals
from papayaloom.process import bootstrap, orderer


def run(settings: str) -> None:
    """Run an orderer until it gets SIGTERM or SIGINT.

    :param settings: path of the settings file.
    """
    logs.configure()
    try:
        cfg = bootstrap.load(settings, bootstrap.Orderer)
    except errors.SettingsError as exc:
        sys.exit(f'papayaloom-orderer: {exc}')
    for name in ('hosts_url', 'weights_url'):
        if not getattr(cfg, name):
            sys.exit(f'papayaloom-orderer: {settings} has no field "{name}"')
    try:
        process = orderer.Orderer(cfg)
    except OSError as bind_error:
        sys.exit(
            f'papayaloom-orderer: cannot listen on {cfg.http}: {bind_error}'
        )
    stop_signals.subscribe(process.server.stop)
    process.run()


def main() -> None:
    """Run the console script."""
    # Fire shows this text as help; the module docstring has the example.
    run.__doc__ = f'{__doc__}\n{run.__doc__}'
    fire.Fire(run, name='papayaloom-orderer')


if __name__ == '__main__':
    main()
