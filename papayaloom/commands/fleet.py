"""Commands that ask the routers: explain, fleet and dump."""

import sys
import time
import typing

import msgspec
import result

from papayaloom import errors
from papayaloom.commands import options, rendering
from papayaloom.ports import status

_POLL_S = 0.2
_UNKNOWN = '?'
_Shared = typing.Any


class Router(msgspec.Struct, frozen=True):
    """Settings of one router.

    :param version: nothing when the router did not tell.
    :param problem: why the router did not tell.
    """

    url: str
    router: str = ''
    version: int | None = None
    digest: str = ''
    source: str = ''
    problem: str = ''


class Report(msgspec.Struct, frozen=True):
    """Settings of the fleet.

    :param newest: newest version of the store and of all routers.
    :param lacking: URLs of the routers that do not have it.
    """

    newest: int
    routers: tuple[Router, ...]
    lacking: tuple[str, ...]


class _SettingsOfDump(msgspec.Struct, frozen=True):
    version: int | None = None
    digest: str = ''
    source: str = ''


class _RouterDump(msgspec.Struct, frozen=True):
    router: str = ''
    settings: _SettingsOfDump = _SettingsOfDump()


def explain(
    request_id: str,
    *,
    json: bool = False,
    **shared: _Shared,
) -> None:
    """Print what the routers recorded about a request."""
    given = options.read(shared)
    urls = given.router_urls()
    answers = status.Client(given.timeout_s).records(urls, str(request_id))
    records: list[typing.Any] = []
    silent = 0
    for answer in answers:
        if isinstance(answer, result.Err):
            silent += 1
            rendering.complain(answer.err_value)
        elif isinstance(answer.ok_value, list):
            records.extend(answer.ok_value)
    if not records:
        raise errors.SettingsError(
            f'no router has a record of request {request_id} '
            f'({len(urls) - silent} of {len(urls)} routers answered)',
        )
    lines = (line for entry in records for line in entry['explanation'])
    rendering.show(json, records, '\n'.join(lines))


def fleet(
    wait: int = 0,
    *,
    json: bool = False,
    **shared: _Shared,
) -> None:
    """Print which settings version each router has and who lacks the newest.

    :param wait: whole seconds to wait until every router has the newest version;
        the exit status is 1 when one still lacks it.
    """
    given = options.read(shared)
    client = status.Client(given.timeout_s)
    newest = _newest_in_store(given)
    until = time.monotonic() + options.integer('wait', wait)
    found = report(client, given.router_urls(), newest)
    while found.lacking and time.monotonic() < until:
        time.sleep(_POLL_S)
        found = report(client, given.router_urls(), newest)
    rendering.show(json, found, _report_text(found))
    if wait and found.lacking:
        sys.exit(1)


def dump(process_url: str, *, json: bool = False, **shared: _Shared) -> None:
    """Print the state dump of a process.

    :param process_url: such as http://10.0.0.7:8080.
    """
    given = options.read(shared)
    answer = status.Client(given.timeout_s).dumps((str(process_url),))[0]
    if isinstance(answer, result.Err):
        raise errors.StoreUnavailableError(answer.err_value)
    encoded = msgspec.json.encode(answer.ok_value)
    rendering.show(
        json,
        answer.ok_value,
        msgspec.json.format(encoded, indent=2).decode(),
    )


def report(
    client: status.Client,
    urls: typing.Sequence[str],
    newest: int,
) -> Report:
    """Ask the routers for their versions.

    :param newest: newest version in the store, 0 when it is not known.
    """
    routers = tuple(map(_router, urls, client.dumps(urls)))
    versions = (router.version or 0 for router in routers)
    highest = max(newest, *versions)
    return Report(
        highest,
        routers,
        tuple(one.url for one in routers if one.version != highest),
    )


def _newest_in_store(given: options.Options) -> int:
    """Return the newest version in the store, 0 when it does not tell.

    The report matters most during an outage of the store.
    """
    if not given.store:
        return 0
    try:
        return given.editor().read().snapshot.version
    except errors.StoreUnavailableError as exc:
        rendering.complain(f'{exc}; compared with the routers only')
    return 0


def _router(url: str, answer: status.FetchResult) -> Router:
    if isinstance(answer, result.Err):
        return Router(url, problem=answer.err_value)
    try:
        told = msgspec.convert(answer.ok_value, _RouterDump)
    except msgspec.ValidationError as exc:
        return Router(url, problem=f'{url} sent no dump of a router: {exc}')
    found = told.settings
    return Router(url, told.router, found.version, found.digest, found.source)


def _report_text(found: Report) -> str:
    rows: list[tuple[object, ...]] = [
        ('url', 'router', 'version', 'source', 'note'),
    ]
    for one in found.routers:
        note = one.problem
        if not note and one.url in found.lacking:
            note = 'lacks the newest version'
        rows.append(
            (
                one.url,
                one.router or _UNKNOWN,
                _UNKNOWN if one.version is None else one.version,
                one.source or _UNKNOWN,
                note,
            )
        )
    count = len(found.routers)
    return '{0}\n{1} of {2} routers have the newest version {3}'.format(
        rendering.table(rows),
        count - len(found.lacking),
        count,
        found.newest,
    )
