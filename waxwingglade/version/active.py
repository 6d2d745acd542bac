"""The version in force in a process.

It only ever rises.  Whatever brings a version (store, peer, copy in a data folder), an equal or
lower one is not taken.
"""

import asyncio
from collections import deque
from enum import Enum

from loguru import logger

from waxwingglade.base import ConfigVersion, ErrorCode, FormatError, Ok, Outcome, not_run
from waxwingglade.version.record import RecordKind, decode_record, encode_record, record_kind
from waxwingglade.version.snapshot import (
    ConfigDigest,
    ConfigSnapshot,
    VersionRecord,
    VersionRecords,
    decode_snapshot,
    encode_snapshot,
    replay,
)

RECENT_RECORDS = 256


class Source(Enum):
    """Where the version in force came from."""

    SETTINGS = "settings"
    COPY = "copy"
    PEER = "peer"
    STORE = "store"


class ActiveConfig:
    """The version in force.

    Attributes
    ----------
    current : ConfigSnapshot
        The version in force; a call keeps the object it began with.
    source : Source
        Where it came from.
    confirmed : bool
        Whether the store, or a peer that had heard from it, has answered since the start.  Until
        then a higher version may have been accepted that this process has not heard of.
    recent : deque of VersionRecord
        The last versions in their order, ending in the one in force; for peers that are behind.
    lower_refused, conflicts_refused : int
        Offers of a lower version, and of the same version with another content.
    """

    def __init__(self, initial: ConfigSnapshot) -> None:
        self.current = initial
        self.source = Source.SETTINGS
        self.confirmed = False
        self.recent: deque[VersionRecord] = deque(maxlen=RECENT_RECORDS)
        self.lower_rejected = 0
        self.conflicts_rejected = 0
        self.changed = asyncio.Event()

    def offer(self, snapshot: ConfigSnapshot, source: Source = Source.PEER) -> bool:
        """Take a version if it is higher than the one in force; return whether it was taken."""
        if not self._is_newer(snapshot.version, snapshot.hash, source):
            return False
        self.recent.clear()
        self._put_in_force(snapshot, source)
        return True

    def offer_records(self, records: list[VersionRecord], source: Source = Source.PEER) -> bool:
        """Take the versions that follow the one in force; return whether any was taken.

        Where the records leave a gap, or start from another content, none is taken.
        """
        if not records or not self._is_newer(records[-1].version, records[-1].hash, source):
            return False
        following = [each for each in records if each.version > self.current.version]
        try:
            snapshot = replay(self.current, following)
        except FormatError as error:
            logger.warning("configuration records from {} not taken: {}", source.value, error)
            return False
        self.recent.extend(following)
        self._put_in_force(snapshot, source)
        return True

    def offer_bytes(self, data: bytes, source: Source = Source.PEER) -> Outcome[bool]:
        """Take what a peer's `snapshot_bytes` or `records_bytes` gave, if it is higher.

        Ok(False) for records of a higher version means that they do not fit what is in force here:
        the whole is needed.
        """
        try:
            if record_kind(data) is RecordKind.SNAPSHOT:
                return Ok(self.offer(decode_snapshot(data), source))
            received = decode_record(RecordKind.VERSIONS, data, VersionRecords)
        except FormatError as error:
            logger.error("configuration from {} refused: {}", source.value, error)
            return not_run(ErrorCode.VERSION, str(error))
        return Ok(self.offer_records(received.records, source))

    def digest(self) -> ConfigDigest:
        """Return what heartbeats carry."""
        return ConfigDigest(self.current.version, self.current.hash, self.confirmed)

    def is_behind(self, peer: ConfigDigest) -> bool:
        """Note a peer's digest; return whether the peer has a higher version to ask for."""
        if peer.version > self.current.version:
            return True
        if peer.version == self.current.version:
            self._is_newer(peer.version, peer.hash, Source.PEER)
        self.confirmed = self.confirmed or peer.confirmed
        return False

    def snapshot_bytes(self) -> bytes:
        """Return the whole version in force for a peer."""
        return encode_snapshot(self.current)

    def records_bytes(self, since: ConfigVersion) -> bytes | None:
        """Return the versions after `since` for a peer, or None where the whole is needed."""
        records = [record for record in self.recent if record.version > since]
        if not records or records[0].version != since + 1:
            return None
        return encode_record(RecordKind.VERSIONS, VersionRecords(records))

    async def wait_for(self, version: ConfigVersion) -> ConfigSnapshot:
        """Wait until a version, or a higher one, is in force."""
        while self.current.version < version:
            await self.changed.wait()
        return self.current

    def _is_newer(self, version: ConfigVersion, content: str, source: Source) -> bool:
        """Return whether a version is higher; report one that contradicts what is in force."""
        if version > self.current.version:
            return True
        if version < self.current.version:
            self.lower_rejected += 1
            return False
        if content != self.current.hash:
            self.conflicts_rejected += 1
            logger.error(
                "configuration version {} from {} has content {}, but {} is in force; refused",
                version,
                source.value,
                content,
                self.current.hash,
            )
        return False

    def _put_in_force(self, snapshot: ConfigSnapshot, source: Source) -> None:
        """Replace the version in force and wake the waiters."""
        self.current = snapshot
        self.source = source
        self.confirmed = self.confirmed or source is Source.STORE
        logger.info("configuration version {} in force, from {}", snapshot.version, source.value)
        self.changed.set()
        self.changed = asyncio.Event()
