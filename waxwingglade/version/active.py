"""The configuration version that is in force in a process.

It never decreases: a version that is equal or lower is rejected, whether it comes from the store, a
peer or the copy in the data folder.
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
"""Number of version records that are held in memory for peers that are behind."""


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
        The version in force; a call uses the object with which it started until it ends.
    source : Source
        Where the version came from.
    confirmed : bool
        Whether the store, or a peer whose version is confirmed, has answered since the start.
        Until then, this process may not know of a higher version that was accepted.
    recent : deque of VersionRecord
        The last versions in ascending order, up to the one in force; sent to peers that are behind.
    lower_rejected, conflicts_rejected : int
        Number of offers of a lower version, and of the same version with other content.
    changed : asyncio.Event
        Set when another version comes into force, and then replaced by a new event.
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
        """Put a version in force if it is higher than the current one; return whether it was."""
        if not self._is_newer(snapshot.version, snapshot.hash, source):
            return False
        self.recent.clear()
        self._put_in_force(snapshot, source)
        return True

    def offer_records(self, records: list[VersionRecord], source: Source = Source.PEER) -> bool:
        """Put the versions that follow the current one in force; return whether any was.

        If the records have a gap, or start from other content, none is put in force.
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
        """Put the result of a peer's `snapshot_bytes` or `records_bytes` in force, if it is higher.

        Ok(False) for records of a higher version means that they do not follow from the version in
        force here, so the complete snapshot is needed.
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
        """Return the digest of the version in force, which heartbeats contain."""
        return ConfigDigest(self.current.version, self.current.hash, self.confirmed)

    def is_behind(self, peer: ConfigDigest) -> bool:
        """Return whether a peer has a higher version, which has to be requested from it.

        If its version is not higher, the digest is checked for conflicting content, and a confirmed
        digest makes the version here confirmed.
        """
        if peer.version > self.current.version:
            return True
        if peer.version == self.current.version:
            self._is_newer(peer.version, peer.hash, Source.PEER)
        self.confirmed = self.confirmed or peer.confirmed
        return False

    def snapshot_bytes(self) -> bytes:
        """Return the complete version in force, encoded for a peer."""
        return encode_snapshot(self.current)

    def records_bytes(self, since: ConfigVersion) -> bytes | None:
        """Return the versions after `since`, encoded for a peer.

        The result is None if not all of them are known, and `snapshot_bytes` has to be sent.
        """
        records = [record for record in self.recent if record.version > since]
        if not records or records[0].version != since + 1:
            return None
        return encode_record(RecordKind.VERSIONS, VersionRecords(records))

    async def wait_for(self, version: ConfigVersion) -> ConfigSnapshot:
        """Wait until `version` or a higher one is in force, and return the version in force."""
        while self.current.version < version:
            await self.changed.wait()
        return self.current

    def _is_newer(self, version: ConfigVersion, content: str, source: Source) -> bool:
        """Return whether a version is higher; count lower and conflicting ones, log conflicts."""
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
        """Replace the version in force and notify the tasks that wait for `changed`."""
        self.current = snapshot
        self.source = source
        self.confirmed = self.confirmed or source is Source.STORE
        logger.info("configuration version {} in force, from {}", snapshot.version, source.value)
        self.changed.set()
        self.changed = asyncio.Event()
