"""The records in the store of which entry owns which log.

A record changes only by compare-and-swap.  The entry that raises the epoch may try to take the log
over; the promises of the copies then stop the previous owner.
"""

from typing import Protocol

import msgspec

from waxwingglade.base import (
    EntryRef,
    Epoch,
    ErrorCode,
    FormatError,
    LogId,
    Ok,
    Outcome,
    not_run,
)
from waxwingglade.connection.store_budget import Purpose
from waxwingglade.connection.store_messages import KeyValue

FORMAT_VERSION = 1
KEY_PREFIX = "logs/"


class LogEntry(msgspec.Struct, frozen=True):
    """The store's record of one log.

    Parameters
    ----------
    format : int
        Format version.
    log : LogId
        Name of the log.
    epoch : Epoch
        Raised at every change of ownership.
    owner : EntryRef
        Owner, or the entry that is taking the log over.
    copies : list of EntryRef
        Entries that hold the log; every durable record is at a majority of them.
    """

    format: int
    log: LogId
    epoch: Epoch
    owner: EntryRef
    copies: list[EntryRef]


class Versioned(msgspec.Struct, frozen=True):
    """A record with its revision in the store; 0 if there is no record."""

    entry: LogEntry | None
    revision: int


class Store(Protocol):
    """Operations of the store client that the directory uses."""

    async def get(self, key: str, purpose: Purpose = ...) -> Outcome[KeyValue | None]:
        """Return a key with its revision, or None if there is no such key."""

    async def put_if(
        self, key: str, value: bytes, expected: int, lease: int = 0, purpose: Purpose = ...
    ) -> Outcome[int]:
        """Write a key if it is still at revision `expected`; return the new revision."""

    async def delete_if(self, key: str, expected: int, purpose: Purpose = ...) -> Outcome[None]:
        """Delete a key if it is still at revision `expected`."""


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(LogEntry)


class Directory:
    """Reads and changes log records in the store.

    Parameters
    ----------
    store : Store
        Client of the store.
    """

    def __init__(self, store: Store) -> None:
        self.store = store

    def key(self, log: LogId) -> str:
        """Return the key of a log's record."""
        return f"{KEY_PREFIX}{log}"

    async def read(self, log: LogId, purpose: Purpose = Purpose.LOOKUP) -> Outcome[Versioned]:
        """Return the record of a log, which is None if there is none."""
        found = await self.store.get(self.key(log), purpose=purpose)
        if found.is_err():
            return found
        if found.ok_value is None:
            return Ok(Versioned(None, 0))
        try:
            entry = decode_entry(found.ok_value.value)
        except FormatError as error:
            return not_run(ErrorCode.VERSION, str(error))
        return Ok(Versioned(entry, found.ok_value.mod_revision))

    async def write(self, entry: LogEntry, expected: int) -> Outcome[int]:
        """Replace the record at revision `expected`; return the new revision.

        A CONFLICT failure means that the record was changed meanwhile.
        """
        data = _encoder.encode(entry)
        key = self.key(entry.log)
        return await self.store.put_if(key, data, expected, purpose=Purpose.OWNERSHIP)

    async def remove(self, log: LogId, expected: int) -> Outcome[None]:
        """Remove the record of a log that is no longer needed."""
        return await self.store.delete_if(self.key(log), expected, purpose=Purpose.OWNERSHIP)


def decode_entry(data: bytes) -> LogEntry:
    """Return the record in `data`; raise `FormatError` if it cannot be read."""
    try:
        entry = _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise FormatError(f"log record cannot be read: {error}") from error
    if entry.format > FORMAT_VERSION:
        raise FormatError(f"log record has format {entry.format}, newer than {FORMAT_VERSION}")
    return entry
