"""Results and events of the store client."""

from typing import TypeAlias

import msgspec


class KeyValue(msgspec.Struct, frozen=True):
    """One key with its value, its revisions and its lease.

    Parameters
    ----------
    key : str
        Name, without the prefix of the settings.
    value : bytes
        Content.
    mod_revision, create_revision : int
        Store revision of the last write, and of the write that created the key.
    version : int
        Number of writes since the creation.
    lease : int
        Id of the lease that the key is attached to; 0 for none.
    """

    key: str
    value: bytes
    mod_revision: int
    create_revision: int = 0
    version: int = 0
    lease: int = 0


class Listing(msgspec.Struct, frozen=True):
    """Every key under a prefix, in order, as of one store revision."""

    items: list[KeyValue]
    revision: int


class Lease(msgspec.Struct, frozen=True):
    """A lease, with the time until which its holder may rely on it.

    Parameters
    ----------
    id : int
        Id of the lease in the store.
    valid_until : float
        End of the lease on the local monotonic clock, in seconds.  The duration is counted from
        the time when the request was sent.
    """

    id: int
    valid_until: float


class PutEvent(msgspec.Struct, frozen=True):
    """A key was written."""

    item: KeyValue


class DeleteEvent(msgspec.Struct, frozen=True):
    """A key was deleted, directly or because its lease ended."""

    key: str
    revision: int


class ResyncEvent(msgspec.Struct, frozen=True):
    """Changes may have been missed: `listing` replaces the whole state known of the prefix."""

    listing: Listing


WatchEvent: TypeAlias = PutEvent | DeleteEvent | ResyncEvent
