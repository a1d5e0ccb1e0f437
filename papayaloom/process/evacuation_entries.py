"""Applies the store's entries about evacuated zones.

An entry's key names the zone; any value counts.
"""

import random
import threading
import typing

import structlog

from papayaloom.ports import kv
from papayaloom.process import dispatch_actor, stored_entries
from papayaloom.routing import decision_counts, dispatch
from papayaloom.routing.health import evacuations

_log = structlog.get_logger('view')
_USUAL_VALUE = b'{}'
# The rest of an unexpected value is left out of the log.
_LOGGED_BYTES = 80
# After this time without a failed call, a listing is not older than what is
# known. Operators have this long to repeat an evacuation that the store lost.
_CALM_S = 10.0
# Part of the hosts that list the store again in a second, on average.
_LISTING_SHARE = 0.2


class EvacuationEntries:
    """Entries about evacuated zones.

    :param prefix: key prefix of the entries.
    :param stored: entries that this host serves to others as a snapshot.
    """

    def __init__(
        self,
        prefix: str,
        dispatch_client: dispatch_actor.DispatchClient,
        stored: stored_entries.StoredEntries,
    ) -> None:
        """Use the given dispatch state."""
        self._prefix = prefix
        self._dispatch_client = dispatch_client
        self._stored = stored
        # Held while a listing or a snapshot is applied.
        self._lock = threading.Lock()
        self._has_snapshot = False
        self._reported_unknown: frozenset[str] = frozenset()
        self._reported_unconfirmed: frozenset[str] = frozenset()

    def replace(
        self,
        entries: typing.Sequence[kv.Entry],
        *,
        is_older: bool,
        is_snapshot: bool,
    ) -> None:
        """Apply a listing.

        A snapshot ends no evacuation, nor does the first listing after it: the
        store may have been restored from an older copy in between.

        :param is_older: the listing may be older than what is known.
        :param is_snapshot: the listing comes from another host.
        """
        with self._lock:
            self._replace(entries, is_older=is_older, is_snapshot=is_snapshot)

    def restore(self, content: bytes) -> None:
        """Apply the evacuations of another host's snapshot, and nothing else.

        :raises papayaloom.errors.CodecError: the snapshot cannot be decoded.
        """
        entries = [
            kv.Entry(key, value, 0)
            for key, value in stored_entries.decode(content).items()
            if key.startswith(self._prefix)
        ]
        self.replace(entries, is_older=True, is_snapshot=True)

    def update(self, key: str, content: bytes) -> None:
        """Apply a written entry."""
        zone = self._evacuated_zone(key, content)

        def step(dispatcher: dispatch.Dispatcher, now: float) -> None:
            if dispatcher.evacuations.evacuate(zone, now):
                changes = evacuations.Changes(evacuated=(zone,))
                _record(dispatcher, changes)
                _log_changes(changes)

        if zone:
            self._dispatch_client.ask(step)

    def remove(self, key: str) -> None:
        """Apply the removal of an entry."""
        zone = key.removeprefix(self._prefix)

        def step(dispatcher: dispatch.Dispatcher, now: float) -> None:
            if dispatcher.evacuations.end(zone, now):
                changes = evacuations.Changes(returned=(zone,))
                _record(dispatcher, changes)
                _log_changes(changes)

        self._dispatch_client.ask(step)

    def needs_listing(self, rng: random.Random) -> bool:
        """Whether evacuations are to be confirmed by a listing now."""

        def step(dispatcher: dispatch.Dispatcher, now: float) -> bool:
            is_calm = dispatcher.replicas.lapses.calm_s(now) >= _CALM_S
            return is_calm and bool(dispatcher.evacuations.unconfirmed)

        if not self._dispatch_client.ask(step):
            return False
        is_chosen = rng.random() < _LISTING_SHARE
        # A listing of a calm store is newer than an earlier snapshot.
        self._has_snapshot = self._has_snapshot and not is_chosen
        return is_chosen

    def log_unknown(self, dispatcher: dispatch.Dispatcher) -> None:
        """Log evacuated zones without a known replica, each once."""
        unknown = dispatcher.evacuations.zones
        if unknown:
            unknown -= {one.zone for one in dispatcher.replicas.dump()}
        for zone in sorted(unknown - self._reported_unknown):
            _log.warning('view: no replica in an evacuated zone', zone=zone)
        self._reported_unknown = unknown

    def _replace(
        self,
        entries: typing.Sequence[kv.Entry],
        *,
        is_older: bool,
        is_snapshot: bool,
    ) -> None:
        named = [self._evacuated_zone(one.key, one.value) for one in entries]
        zones = [zone for zone in named if zone]
        is_older = is_older or is_snapshot or self._has_snapshot
        self._has_snapshot = is_snapshot

        def step(
            dispatcher: dispatch.Dispatcher, now: float
        ) -> tuple[evacuations.Changes, frozenset[str]]:
            changes = dispatcher.evacuations.replace(
                zones, now, is_older=is_older, is_snapshot=is_snapshot
            )
            _record(dispatcher, changes)
            return changes, dispatcher.evacuations.unconfirmed

        changes, unconfirmed = self._dispatch_client.ask(step)
        _log_changes(changes)
        if unconfirmed and unconfirmed != self._reported_unconfirmed:
            _log.warning(
                'view: evacuated zones are unconfirmed',
                zones=sorted(unconfirmed),
            )
        self._reported_unconfirmed = unconfirmed
        # Hosts that start with this host's snapshot need the kept ones too.
        kept = {f'{self._prefix}{zone}': _USUAL_VALUE for zone in unconfirmed}
        listed = {one.key: one.value for one in entries}
        self._stored.replace(self._prefix, {**kept, **listed})

    def _evacuated_zone(self, key: str, content: bytes) -> str:
        """Return the zone that an entry names; empty if it names none."""
        zone = key.removeprefix(self._prefix)
        if not zone:
            _log.warning('view: an evacuation names no zone', key=key)
        elif content.strip() != _USUAL_VALUE:
            _log.warning(
                'view: unexpected value of an evacuation',
                key=key,
                content=content[:_LOGGED_BYTES],
            )
        return zone


def _record(
    dispatcher: dispatch.Dispatcher, changes: evacuations.Changes
) -> None:
    for _ in changes.evacuated:
        dispatcher.decisions.add(decision_counts.Decision.ZONE_EVACUATED)
    for _ in changes.returned:
        dispatcher.decisions.add(decision_counts.Decision.ZONE_RETURNED)


def _log_changes(changes: evacuations.Changes) -> None:
    for evacuated in changes.evacuated:
        _log.info('view: zone evacuated', zone=evacuated)
    for returned in changes.returned:
        _log.info('view: zone returned', zone=returned)
