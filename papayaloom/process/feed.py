"""Follows the platform's store: settings, replicas and hosts of the fleet.

One watch serves all three. Between two answers it pauses, because heartbeats
change the store many times a second and every call has its price.
"""

import itertools
import os
import random
import threading
import typing

import msgspec
import structlog

from papayaloom import errors
from papayaloom.ports import kv

_log = structlog.get_logger('feed')
PAUSE_S = 0.35
_RETRY_S = 0.25
# A host that knows nothing serves nobody: it tries often at first.
_FIRST_RETRY_S = 0.15
_FIRST_RETRIES = 20
_PAGE = 500


class Source(msgspec.Struct, frozen=True):
    """A prefix of keys and who takes them.

    :param replace: takes the whole listing.
    :param update: takes one changed entry.
    :param remove: takes the key of a removed entry.
    """

    prefix: str
    replace: typing.Callable[[list[kv.Entry]], object]
    update: typing.Callable[[str, bytes], object]
    remove: typing.Callable[[str], object]


class Health(msgspec.Struct, frozen=True):
    """Who is told whether the store answers.

    :param catch_up: begins to ask the other hosts while nothing was listed
        yet; does not wait for them.
    """

    answered: typing.Callable[[], object]
    failed: typing.Callable[[], object]
    catch_up: typing.Callable[[], object]


class _Listing(msgspec.Struct, frozen=True):
    entries: list[kv.Entry]
    revision: int


class Feed:
    """Thread that lists the sources once and then follows their changes.

    ``is_store_away`` tells whether the last call to the store failed.
    """

    def __init__(
        self,
        store: kv.Kv,
        watch: typing.Callable[[int], kv.Watched],
        sources: tuple[Source, ...],
        health: Health,
        rng: random.Random,
        quick: kv.Kv | None = None,
    ) -> None:
        """Prepare the thread.

        :param watch: returns the changes of all keys after a revision.
        :param quick: client of the store that gives up soon, for the first
            listing; every second try waits longer, for a store that is slow.
        """
        self._store = store
        self._watch = watch
        self._sources = sources
        self._prefix = os.path.commonprefix([one.prefix for one in sources])
        self._first_stores = itertools.cycle((quick or store, store))
        self._health = health
        self._rng = rng
        self._stopping = threading.Event()
        self._revision: int | None = None
        self.is_store_away = False
        self._was_listed = False
        self._first_tries = 0

    def start(self) -> None:
        """Run the thread."""
        threading.Thread(target=self._run, name='feed', daemon=True).start()

    def stop(self) -> None:
        """End the thread after its present call."""
        self._stopping.set()

    def step(self) -> None:
        """List or watch once.

        :raises papayaloom.errors.StoreUnavailableError: the store is away.
        """
        if self._revision is None:
            self._revision = self._list()
            return
        watched = self._watch(self._revision)
        if watched.lost:
            _log.info('feed: the history is gone', revision=self._revision)
            self._revision = None
            return
        self._revision = watched.revision
        for event in watched.events:
            self._dispatch(event)

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self.step()
            except errors.StoreUnavailableError as exc:
                self._failed(exc)
                self._stopping.wait(
                    self._rng.uniform(0.5, 1.5) * self._retry_s()
                )
                continue
            except Exception:
                # The thread must go on: without it this host would keep to
                # an old state for ever.
                _log.exception('feed: a change could not be taken')
                self._revision = None
                self._stopping.wait(_RETRY_S)
                continue
            self._answered()
            if self._revision is not None:
                self._stopping.wait(PAUSE_S)

    def _retry_s(self) -> float:
        if self._was_listed:
            return _RETRY_S
        self._first_tries += 1
        return _FIRST_RETRY_S * max(1, self._first_tries / _FIRST_RETRIES)

    def _answered(self) -> None:
        if self.is_store_away:
            self.is_store_away = False
            _log.info('feed: the store answers again')
        self._health.answered()

    def _failed(self, exc: errors.StoreUnavailableError) -> None:
        if not self.is_store_away:
            self.is_store_away = True
            _log.warning('feed: the store is away', reason=str(exc))
        self._health.failed()
        if self._revision is None:
            self._health.catch_up()

    def _list(self) -> int:
        listing = self._fetch(
            self._store if self._was_listed else next(self._first_stores)
        )
        self._health.answered()
        for source in self._sources:
            source.replace(
                [
                    one
                    for one in listing.entries
                    if one.key.startswith(source.prefix)
                ]
            )
        self._was_listed = True
        return listing.revision

    def _fetch(self, store: kv.Kv) -> _Listing:
        """List all sources at once: each call has its price."""
        entries: list[kv.Entry] = []
        after = ''
        revision: int | None = None
        while True:
            page = store.list_prefix(self._prefix, after, _PAGE)
            if revision is None:
                # Changes made while the later pages are read are seen again.
                revision = page.revision
            entries.extend(page.entries)
            if not page.more or not page.entries:
                break
            after = page.entries[-1].key
        return _Listing(entries, revision)

    def _dispatch(self, event: kv.Event) -> None:
        for source in self._sources:
            if not event.key.startswith(source.prefix):
                continue
            if event.deleted:
                source.remove(event.key)
            else:
                source.update(event.key, event.value)
