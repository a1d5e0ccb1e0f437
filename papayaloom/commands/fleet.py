"""Commands that query running processes: explain, fleet and dump."""

import sys
import time
import typing

import msgspec
import result

from papayaloom import errors
from papayaloom.commands import options, rendering
from papayaloom.ports import status

_POLL_INTERVAL_S = 0.2
_UNKNOWN = '?'
_Shared = typing.Any


class Router(msgspec.Struct, frozen=True):
    """Settings version reported by one router.

    :param version: None when the router did not report one.
    :param problem: why the router did not report a version.
    """

    url: str
    router: str = ''
    version: int | None = None
    digest: str = ''
    source: str = ''
    problem: str = ''


class Report(msgspec.Struct, frozen=True):
    """Settings versions of all routers.

    :param newest: newest version found in the store or on any router.
    :param lacking: URLs of the routers that do not have it.
    """

    newest: int
    routers: tuple[Router, ...]
    lacking: tuple[str, ...]


class _DumpedSettings(msgspec.Struct, frozen=True):
    version: int | None = None
    digest: str = ''
    source: str = ''


class _RouterDump(msgspec.Struct, frozen=True):
    router: str = ''
    settings: _DumpedSettings = _DumpedSettings()


def explain(
    request_id: str,
    *,
    json: bool = False,
    **shared: _Shared,
) -> None:
    """Print the decision records of a request from all routers."""
    opts = options.read(shared)
    urls = opts.router_urls()
    answers = status.Client(opts.timeout_s).records(urls, str(request_id))
    records: list[typing.Any] = []
    failed = 0
    for answer in answers:
        if isinstance(answer, result.Err):
            failed += 1
            rendering.complain(answer.err_value)
        elif isinstance(answer.ok_value, list):
            records.extend(answer.ok_value)
    if not records:
        raise errors.SettingsError(
            f'no router has a record of request {request_id} '
            f'({len(urls) - failed} of {len(urls)} routers answered)',
        )
    lines = (line for entry in records for line in entry['explanation'])
    rendering.show(json, records, '\n'.join(lines))


def fleet(
    wait: int = 0,
    *,
    json: bool = False,
    **shared: _Shared,
) -> None:
    """Print the settings version of each router and which are out of date.

    :param wait: whole seconds to wait until every router has the newest
        version; the exit status is 1 if a router still lacks it.
    """
    opts = options.read(shared)
    client = status.Client(opts.timeout_s)
    newest = _newest_stored_version(opts)
    deadline = time.monotonic() + options.integer('wait', wait)
    found = report(client, opts.router_urls(), newest)
    while found.lacking and time.monotonic() < deadline:
        time.sleep(_POLL_INTERVAL_S)
        found = report(client, opts.router_urls(), newest)
    rendering.show(json, found, _report_text(found))
    if wait and found.lacking:
        sys.exit(1)


def dump(process_url: str, *, json: bool = False, **shared: _Shared) -> None:
    """Print the state dump of a process.

    :param process_url: base URL, for example http://10.0.0.7:8080.
    """
    opts = options.read(shared)
    answer = status.Client(opts.timeout_s).dumps((str(process_url),))[0]
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
    """Query the settings versions of the routers.

    :param newest: newest version in the store, 0 if unknown.
    """
    routers = tuple(map(_router_from_dump, urls, client.dumps(urls)))
    versions = (router.version or 0 for router in routers)
    highest = max(newest, *versions)
    return Report(
        highest,
        routers,
        tuple(router.url for router in routers if router.version != highest),
    )


def _newest_stored_version(opts: options.Options) -> int:
    """Return the newest version in the store, 0 if it is unavailable.

    The report must still work during an outage of the store, when it is
    needed most.
    """
    if not opts.store:
        return 0
    try:
        return opts.editor().read().snapshot.version
    except errors.StoreUnavailableError as exc:
        rendering.complain(f'{exc}; compared with the routers only')
    return 0


def _router_from_dump(url: str, answer: status.FetchResult) -> Router:
    if isinstance(answer, result.Err):
        return Router(url, problem=answer.err_value)
    try:
        decoded = msgspec.convert(answer.ok_value, _RouterDump)
    except msgspec.ValidationError as exc:
        return Router(url, problem=f'{url} did not return a router dump: {exc}')
    settings = decoded.settings
    return Router(
        url, decoded.router, settings.version, settings.digest, settings.source
    )


def _report_text(found: Report) -> str:
    rows: list[tuple[object, ...]] = [
        ('url', 'router', 'version', 'source', 'note'),
    ]
    for router in found.routers:
        note = router.problem
        if not note and router.url in found.lacking:
            note = 'lacks the newest version'
        rows.append(
            (
                router.url,
                router.router or _UNKNOWN,
                _UNKNOWN if router.version is None else router.version,
                router.source or _UNKNOWN,
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
