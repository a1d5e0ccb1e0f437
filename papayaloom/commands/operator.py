"""Operator's command line ``papayaloom``.

Every command takes ``--store=URL``, ``--routers=URL,URL``, ``--author=NAME``,
``--timeout_s=SECONDS`` and ``--config=FILE``. The file is JSON with comments
and has the fields ``store``, ``routers``, ``author`` and ``timeout_s``; the
environment variable PAPAYALOOM_CONFIG names a default file. ``--json`` prints
machine-readable output.

Exit status: 0 success, 1 refused or condition not met, 2 usage error, 3 the
store or a process did not answer.
"""

import sys
import types
import typing

import fire

from papayaloom import errors
from papayaloom.commands import fleet, rendering, settings, where

EXIT_REFUSED = 1
EXIT_NO_ANSWER = 3
EXIT_INTERRUPTED = 130

COMMANDS: typing.Mapping[str, typing.Callable[..., None]] = (
    types.MappingProxyType(
        {
            'tree': settings.tree,
            'get': settings.get,
            'describe': settings.describe,
            'text': settings.text,
            'check': settings.check,
            'edit': settings.edit_branch,
            'set': settings.set_value,
            'unset': settings.unset_value,
            'remove': settings.remove,
            'history': settings.history,
            'diff': settings.diff,
            'explain': fleet.explain,
            'fleet': fleet.fleet,
            'dump': fleet.dump,
            'where': where.where,
        }
    )
)


def main() -> None:
    """Run the console script."""
    try:
        fire.Fire(dict(COMMANDS), name='papayaloom')
    except BrokenPipeError:
        # The reader closed the pipe, as `| head` does.
        sys.stderr.close()
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
    except errors.PapayaloomError as exc:
        sys.exit(_report_error(exc))


def _report_error(exc: errors.PapayaloomError) -> int:
    if isinstance(exc, errors.ConflictError):
        rendering.complain(rendering.conflict(exc))
    else:
        rendering.complain(str(exc))
    if isinstance(exc, errors.StoreUnavailableError):
        return EXIT_NO_ANSWER
    return EXIT_REFUSED


if __name__ == '__main__':
    main()
