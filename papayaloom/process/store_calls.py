"""Data types for calls to the key-value service and their results.

Modules with decision logic return calls instead of performing I/O;
:mod:`papayaloom.process.store_io` executes them. ``operation`` is a number that
matches a result to its call.
"""

import msgspec


class Read(msgspec.Struct, frozen=True):
    """Reads the value and the revision of a key."""

    operation: int
    key: str


class CompareAndSwap(msgspec.Struct, frozen=True):
    """Writes a key if it has the expected revision, 0 if it must be absent.

    :param lease: id of the lease that the key is attached to; may be empty.
    """

    operation: int
    key: str
    content: bytes
    expected_revision: int
    lease: str = ''


class Delete(msgspec.Struct, frozen=True):
    """Deletes a key if it has the expected revision."""

    operation: int
    key: str
    expected_revision: int


class ListKeys(msgspec.Struct, frozen=True):
    """Lists the first keys with a prefix, without their values."""

    operation: int
    prefix: str
    limit: int


class Entry(msgspec.Struct, frozen=True):
    """Current content of a key; revision 0 and no content if absent."""

    operation: int
    content: bytes | None = None
    revision: int = 0


class Applied(msgspec.Struct, frozen=True):
    """The write or deletion was applied."""

    operation: int
    revision: int


class Conflict(msgspec.Struct, frozen=True):
    """The write or deletion was rejected; contains the current entry."""

    operation: int
    content: bytes | None = None
    revision: int = 0


class KeyList(msgspec.Struct, frozen=True):
    """Keys with a prefix in sort order, with their revisions."""

    operation: int
    keys: tuple[tuple[str, int], ...]


class Failed(msgspec.Struct, frozen=True):
    """The store did not reply; a write may still take effect."""

    operation: int


class GrantLease(msgspec.Struct, frozen=True):
    """Requests a new lease."""

    operation: int
    term_s: float


class KeepLease(msgspec.Struct, frozen=True):
    """Renews a lease for its full term."""

    operation: int
    lease: str


class LeaseResult(msgspec.Struct, frozen=True):
    """Id of the granted or renewed lease; empty if it had expired."""

    operation: int
    lease: str


Call = Read | CompareAndSwap | Delete | ListKeys | GrantLease | KeepLease
CallResult = Entry | Applied | Conflict | KeyList | LeaseResult | Failed
