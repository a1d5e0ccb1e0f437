"""Follows changes in the platform's store through a single watch.

The watch covers all sources: the route table, replicas, hosts and poison
reports. The feed pauses between calls, because heartbeats change the store many
times a second and every call has a cost.
"""

import itertools
import os
import random
import threading
import time
import typing

import msgspec
import structlog

from papayaloom import errors
from papayaloom.ports import kv

_log = structlog.get_logger('feed')
_POLL_PAUSE_S = 0.35
_RETRY_S = 0.25
# Pause before a watch that was cut is repeated.
_CUT_RETRY_S = 0.05
# A host without a listing cannot serve requests, so its first retries are
# more frequent.
_INITIAL_RETRY_S = 0.15
_INITIAL_RETRIES = 20
_PAGE_ENTRIES = 500
# The first listing takes a few tens of milliseconds if the store is available.
_FIRST_LISTING_S = 0.1
# Longer than a call takes unless the process was suspended.
_LATE_S = 4.0
# A relay host answers within this time if it is available.
_CURRENT_WAIT_S = 0.5


class Source(msgspec.Struct, frozen=True):
    """A key prefix and the callbacks for its entries.

    :param replace: called with all entries after a listing.
    :param update: called with the key and content of a changed entry.
    :param remove: called with the key of a deleted entry.
    """

    prefix: str
    replace: typing.Callable[[list[kv.Entry]], object]
    update: typing.Callable[[str, bytes], object]
    remove: typing.Callable[[str], object]


class Health(msgspec.Struct, frozen=True):
    """Callbacks for the availability of the store.

    :param on_answer: called before the content of an answer is applied.
    :param on_failure: called with the monotonic time since which the store may
        have been unavailable. A cut watch is no failure by itself.
    :param fetch_snapshot: starts to fetch a snapshot from another host; called
        if a call fails while there is no current listing; must not block.
    :param on_restored: the store has returned from an older copy of itself
        since the last listing; called before the next one is applied.
    """

    on_answer: typing.Callable[[], object]
    on_failure: typing.Callable[[float], object]
    fetch_snapshot: typing.Callable[[], object]
    on_restored: typing.Callable[[], object]


class _Listing(msgspec.Struct, frozen=True):
    entries: list[kv.Entry]
    position: kv.Position


class Feed:
    """Thread that lists the sources once and then watches for changes.

    ``is_store_unavailable`` is true if the last call to the store failed, other
    than by a cut of a waiting watch.
    """

    def __init__(
        self,
        store: kv.Kv,
        watch: typing.Callable[[kv.Position], kv.WatchResult],
        sources: tuple[Source, ...],
        health: Health,
        rng: random.Random,
        quick: kv.Kv | None = None,
    ) -> None:
        """Prepare the thread.

        :param watch: returns the changes of all keys after a position.
        :param quick: store client with a short timeout for the first listing;
            every third attempt uses ``store``, whose longer timeout suits a
            slow store.
        """
        self._store = store
        self._watch = watch
        self._sources = sources
        self._prefix = os.path.commonprefix([one.prefix for one in sources])
        self._initial_stores = itertools.cycle(
            (quick or store, quick or store, store)
        )
        self._health = health
        self._rng = rng
        self._stopping = threading.Event()
        self._position: kv.Position | None = None
        self._listed_epoch: int | None = None
        self.is_store_unavailable = False
        self._was_listed = False
        self._initial_tries = 0
        self._listed = threading.Event()
        self._started_at = float('-inf')
        self._is_listing_wanted = False
        # When the last answered call began; what it told is not older.
        self._informed_at = float('-inf')
        self._answered_at = float('-inf')
        # When a waiting watch was cut after the last answer.
        self._cut_at: float | None = None
        self._called = threading.Condition()

    def list_again(self) -> None:
        """List the sources with the next call."""
        self._is_listing_wanted = True

    def wait_current(self, max_age_s: float) -> None:
        """Wait until what is known is recent, for a limited time.

        Returns at once while the store is unavailable: then the last known
        state applies. A process that was suspended does not know that yet.
        """
        if self._is_current(max_age_s):
            return
        with self._called:
            self._called.wait_for(
                lambda: self._is_current(max_age_s), _CURRENT_WAIT_S
            )

    def wait_listed(self) -> bool:
        """Wait for the first listing, until it is overdue.

        :returns: whether the sources have been listed.
        """
        age_s = time.monotonic() - self._started_at
        return self._listed.wait(max(_FIRST_LISTING_S - age_s, 0))

    def start(self) -> None:
        """Start the thread."""
        self._started_at = time.monotonic()
        threading.Thread(target=self._run, name='feed', daemon=True).start()

    def stop(self) -> None:
        """Stop the thread after its current call."""
        self._stopping.set()

    def step(self) -> None:
        """Run one listing or one watch call.

        :raises papayaloom.errors.StoreUnavailableError: the store is
            unavailable.
        """
        if self._position is None or self._is_listing_wanted:
            self._is_listing_wanted = False
            self._position = self._list()
            return
        before = self._position
        watched = self._watch(before)
        self._record_answer()
        if watched.lost or not before.is_comparable(watched.epoch):
            _log.info(
                'feed: change history lost; listing the store again',
                position=before,
                epoch=watched.epoch,
            )
            self._position = None
            return
        self._position = kv.Position(watched.revision, before.epoch)
        for event in watched.events:
            self._dispatch(event)

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._stopping.wait(self._run_step())

    def _run_step(self) -> float:
        """Run a step and return the pause before the next one, in seconds."""
        begun_at = time.monotonic()
        try:
            self.step()
        except errors.WatchCutError as exc:
            self._cut_at = time.monotonic()
            _log.info('feed: the watch was cut', reason=str(exc))
            return self._rng.uniform(0.5, 1.5) * _CUT_RETRY_S
        except errors.StoreUnavailableError as exc:
            self._record_failure(exc)
            return self._rng.uniform(0.5, 1.5) * self._retry_s()
        except Exception:
            # The thread must survive any error; without it this host would
            # never see another change.
            _log.exception(
                'feed: cannot apply a change; listing the store again'
            )
            self._position = None
            # What cannot be applied does not come by waiting for it.
            self._record_informed(begun_at)
            return _RETRY_S
        self._record_informed(begun_at)
        is_late = time.monotonic() - begun_at > _LATE_S
        return 0 if self._position is None or is_late else _POLL_PAUSE_S

    def _retry_s(self) -> float:
        if self._was_listed:
            return _RETRY_S
        self._initial_tries += 1
        return _INITIAL_RETRY_S * max(1, self._initial_tries / _INITIAL_RETRIES)

    def _is_current(self, max_age_s: float) -> bool:
        age_s = time.monotonic() - self._informed_at
        return self.is_store_unavailable or age_s <= max_age_s

    def _record_answer(self) -> None:
        if self.is_store_unavailable:
            self.is_store_unavailable = False
            _log.info('feed: the store is available again')
        self._cut_at = None
        self._answered_at = time.monotonic()
        self._health.on_answer()

    def _record_informed(self, begun_at: float) -> None:
        with self._called:
            self._informed_at = begun_at
            self._called.notify_all()

    def _record_failure(self, exc: errors.StoreUnavailableError) -> None:
        # It was wanted because the store had been calm.
        self._is_listing_wanted = False
        if not self.is_store_unavailable:
            with self._called:
                self.is_store_unavailable = True
                self._called.notify_all()
            _log.warning('feed: the store is unavailable', reason=str(exc))
        self._health.on_failure(
            self._answered_at if self._cut_at is None else self._cut_at
        )
        if self._position is None:
            self._health.fetch_snapshot()

    def _list(self) -> kv.Position:
        listing = self._fetch(
            self._store if self._was_listed else next(self._initial_stores)
        )
        _log.info('feed: listed the store', position=listing.position)
        if not listing.position.is_comparable(self._listed_epoch):
            self._health.on_restored()
        self._record_answer()
        self._listed_epoch = listing.position.epoch
        for source in self._sources:
            source.replace(
                [
                    one
                    for one in listing.entries
                    if one.key.startswith(source.prefix)
                ]
            )
        self._was_listed = True
        self._listed.set()
        return listing.position

    def _fetch(self, store: kv.Kv) -> _Listing:
        """List all sources with one query, as every call has a cost.

        :raises papayaloom.errors.StoreUnavailableError: no usable response.
        """
        entries: list[kv.Entry] = []
        after = ''
        position: kv.Position | None = None
        while True:
            page = store.list_prefix(self._prefix, after, _PAGE_ENTRIES)
            if position is None:
                # Watching from the first page's revision repeats changes made
                # during the listing, and misses none.
                position = kv.Position(page.revision, page.epoch)
            if not position.is_comparable(page.epoch):
                raise errors.StoreUnavailableError(
                    'the store returned from an older copy during a listing'
                )
            entries.extend(page.entries)
            if not page.more or not page.entries:
                break
            after = page.entries[-1].key
        return _Listing(entries, position)

    def _dispatch(self, event: kv.Event) -> None:
        for source in self._sources:
            if not event.key.startswith(source.prefix):
                continue
            if event.deleted:
                source.remove(event.key)
            else:
                source.update(event.key, event.value)
