"""The settings in force in this process."""

import typing

from papayaloom import errors, ids, messages
from papayaloom.version import change, schema, snapshot

Subscriber = typing.Callable[[snapshot.Snapshot], object]


class Current:
    """Holds the newest snapshot; its version never goes down.

    Requests pin :attr:`snapshot` when they begin. This is the document that
    :mod:`papayaloom.process.dissemination` distributes; records are encoded
    deltas of :mod:`papayaloom.version.change`.

    :param known: the declared settings; those of this release when left out.
    """

    def __init__(self, known: schema.Schema | None = None) -> None:
        """Start with version 0, where every setting has its default."""
        self.snapshot = snapshot.empty(known)
        self._schema = known
        self._subscribers: list[Subscriber] = []

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call a function with every new snapshot, and now with this one."""
        self._subscribers.append(subscriber)
        subscriber(self.snapshot)

    def head(self) -> messages.Digest:
        """Return the version in force and its digest."""
        return messages.Digest(self.snapshot.version, self.snapshot.digest)

    def version_of(self, record: bytes) -> ids.SettingsVersion:
        """Return the version that a record leads to.

        :raises errors.CodecError: the record is malformed.
        """
        return change.decode_delta(record).version

    def apply(self, record: bytes) -> None:
        """Put the next version in force.

        :raises errors.CodecError: the record is malformed.
        :raises errors.SettingsError: the record does not follow the version
            in force.
        """
        self._set(self.snapshot.apply(change.decode_delta(record)))

    def export(self) -> bytes:
        """Return the full state."""
        return self.snapshot.encode()

    def replace(self, content: bytes) -> None:
        """Put a newer full state in force.

        :raises errors.CodecError: the content is no full state.
        :raises errors.SettingsError: it is not newer.
        """
        newer = snapshot.decode(content, self._schema)
        if newer.version <= self.snapshot.version:
            raise errors.SettingsError(
                f'full state {newer.version} is not newer than version '
                f'{self.snapshot.version}',
            )
        self._set(newer)

    def _set(self, newer: snapshot.Snapshot) -> None:
        self.snapshot = newer
        for subscriber in self._subscribers:
            subscriber(newer)
