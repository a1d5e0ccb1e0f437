"""Current settings of this process."""

import typing

from papayaloom import errors, ids, messages
from papayaloom.version import change, schema, snapshot

Subscriber = typing.Callable[[snapshot.Snapshot], object]


class CurrentSettings:
    """Holds the newest settings snapshot; its version never decreases.

    Requests pin :attr:`snapshot` when they begin. This is the document that
    :mod:`papayaloom.process.dissemination` distributes; records are encoded
    deltas of :mod:`papayaloom.version.change`.

    :param declared: schema of the declared settings; defaults to the schema
        of this release.
    """

    def __init__(self, declared: schema.Schema | None = None) -> None:
        """Start at version 0, where every setting has its default."""
        self.snapshot = snapshot.empty(declared)
        self._schema = declared
        self._subscribers: list[Subscriber] = []

    def subscribe(self, subscriber: Subscriber) -> None:
        """Register a callback for new snapshots; called now with this one."""
        self._subscribers.append(subscriber)
        subscriber(self.snapshot)

    def head(self) -> messages.Digest:
        """Return the current version and its digest."""
        return messages.Digest(self.snapshot.version, self.snapshot.digest)

    def version_of(self, record: bytes) -> ids.SettingsVersion:
        """Return the settings version that a record produces.

        :raises errors.CodecError: the record is malformed.
        """
        return change.decode_delta(record).version

    def apply(self, record: bytes) -> None:
        """Apply the next version.

        :raises errors.CodecError: the record is malformed.
        :raises errors.SettingsError: the record does not follow the current
            version.
        """
        self._publish(self.snapshot.apply(change.decode_delta(record)))

    def export(self) -> bytes:
        """Return the full state."""
        return self.snapshot.encode()

    def replace(self, content: bytes) -> None:
        """Apply a newer full state.

        :raises errors.CodecError: the content is not a full state.
        :raises errors.SettingsError: the full state is not newer.
        """
        newer = snapshot.decode(content, self._schema)
        if newer.version <= self.snapshot.version:
            raise errors.SettingsError(
                f'full state {newer.version} is not newer than version '
                f'{self.snapshot.version}',
            )
        self._publish(newer)

    def _publish(self, newer: snapshot.Snapshot) -> None:
        self.snapshot = newer
        for subscriber in self._subscribers:
            subscriber(newer)
