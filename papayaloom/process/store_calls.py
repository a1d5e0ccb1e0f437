"""Calls of the key-value service as values, and their results.

A decision module returns calls; :mod:`papayaloom.process.store_io` carries
them out. ``operation`` is a number by which the module knows the result.
"""

import msgspec


class Read(msgspec.Struct, frozen=True):
    """Asks for the value and the revision of a key."""

    operation: int
    key: str


class CompareAndSwap(msgspec.Struct, frozen=True):
    """Asks to write a key if it has the expected revision, 0 for absent.

    :param lease: the key expires with this lease.
    """

    operation: int
    key: str
    content: bytes
    expect: int
    lease: str = ''


class Delete(msgspec.Struct, frozen=True):
    """Asks to delete a key if it has the expected revision."""

    operation: int
    key: str
    expect: int


class ListKeys(msgspec.Struct, frozen=True):
    """Asks for the first keys of a prefix, without values."""

    operation: int
    prefix: str
    limit: int


class Entry(msgspec.Struct, frozen=True):
    """A key as the store has it; revision 0 and no content when absent."""

    operation: int
    content: bytes | None = None
    revision: int = 0


class Swapped(msgspec.Struct, frozen=True):
    """The write or the deletion was done."""

    operation: int
    revision: int


class Conflict(msgspec.Struct, frozen=True):
    """The write or the deletion was not done; this is the current entry."""

    operation: int
    content: bytes | None = None
    revision: int = 0


class Keys(msgspec.Struct, frozen=True):
    """Keys of a prefix in their order, with their revisions."""

    operation: int
    keys: tuple[tuple[str, int], ...]


class Failed(msgspec.Struct, frozen=True):
    """The store did not answer; a write may still take effect."""

    operation: int


class GrantLease(msgspec.Struct, frozen=True):
    """Asks for a new lease."""

    operation: int
    term_s: float


class KeepLease(msgspec.Struct, frozen=True):
    """Asks to start the term of a lease anew."""

    operation: int
    lease: str


class Leased(msgspec.Struct, frozen=True):
    """A lease was granted or kept; empty when it had expired."""

    operation: int
    lease: str


Call = Read | CompareAndSwap | Delete | ListKeys | GrantLease | KeepLease
Stored = Entry | Swapped | Conflict | Keys | Leased | Failed
