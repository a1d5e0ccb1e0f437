"""The operator's command ``papayaloom``.

Every command takes ``--store=URL``, ``--routers=URL,URL``, ``--author=NAME``,
``--timeout_s=SECONDS`` and ``--config=FILE``; the file is JSON with comments
with the members ``store``, ``routers``, ``author`` and ``timeout_s``, and
the environment variable PAPAYALOOM_CONFIG can name it. ``--json`` prints
JSON for machines.

Exit status: 0 done, 1 refused or not reached, 2 wrong usage, 3 the store or
a process did not answer.
"""

import sys
import types
import typing

import fire

from papayaloom import errors
from papayaloom.commands import fleet, rendering, settings

REFUSED = 1
NO_ANSWER = 3
INTERRUPTED = 130

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
        }
    )
)


def main() -> None:
    """Run the console script."""
    try:
        fire.Fire(dict(COMMANDS), name='papayaloom')
    except BrokenPipeError:
        # The reader of the output has gone, as with `| head`.
        sys.stderr.close()
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED)
    except errors.PapayaloomError as exc:
        sys.exit(_fail(exc))


def _fail(exc: errors.PapayaloomError) -> int:
    if isinstance(exc, errors.ConflictError):
        rendering.complain(rendering.conflict(exc))
    else:
        rendering.complain(str(exc))
    if isinstance(exc, errors.StoreUnavailableError):
        return NO_ANSWER
    return REFUSED


if __name__ == '__main__':
    main()
