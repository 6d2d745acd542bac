"""Typed access to the configuration's records in the store.

Keys, under a common prefix:

``head``
    The record of the version in force, and a reference to the newest complete tree.  This key alone
    determines the version in force: a version is accepted by one compare-and-swap on it.
``history/BUCKET/VERSION``
    Records of the versions before the one in force.  Each is written before the head is replaced by
    a later version.  Its content is final by then, so a repeated write changes nothing.
``snapshots/VERSION-HASH``
    Complete trees, each written before a head refers to it.
``proposals/ID``
    Proposals, with their approvals and states.
"""

from typing import Generic, TypeVar

import msgspec

from waxwingglade.base import (
    ConfigVersion,
    Err,
    ErrorCode,
    FormatError,
    Ok,
    Outcome,
    Verdict,
    not_run,
)
from waxwingglade.version.proposal import Proposal, ProposalId
from waxwingglade.version.record import RecordKind, decode_record, encode_record
from waxwingglade.version.snapshot import (
    ConfigSnapshot,
    VersionRecord,
    decode_snapshot,
    encode_snapshot,
    replay,
)
from waxwingglade.version.store_api import KeyValue, Store

T = TypeVar("T")

DEFAULT_PREFIX = "config/"
MAX_VALUE_BYTES = 1_000_000
BUCKET_VERSIONS = 100
"""Number of versions in a bucket of the history, which is read with one listing."""


class SnapshotRef(msgspec.Struct, frozen=True):
    """Reference to a complete tree in the store."""

    version: ConfigVersion
    hash: str


class Head(msgspec.Struct, frozen=True):
    """The record of the version in force, and the tree from which it can be rebuilt."""

    record: VersionRecord
    snapshot: SnapshotRef


class Stored(msgspec.Struct, Generic[T], frozen=True):
    """A record that was read from the store, with the revision at which it was written."""

    value: T
    mod_revision: int


class ConfigKeys(msgspec.Struct, frozen=True):
    """Names of the configuration's keys in the store."""

    prefix: str = DEFAULT_PREFIX

    @property
    def head(self) -> str:
        """Key of the version in force."""
        return f"{self.prefix}head"

    @property
    def proposals(self) -> str:
        """Prefix of all proposals."""
        return f"{self.prefix}proposals/"

    @property
    def snapshots(self) -> str:
        """Prefix of all complete trees."""
        return f"{self.prefix}snapshots/"

    def proposal(self, proposal: ProposalId) -> str:
        """Key of a proposal."""
        return f"{self.proposals}{proposal}"

    def snapshot(self, ref: SnapshotRef) -> str:
        """Key of a complete tree."""
        return f"{self.snapshots}{ref.version:012d}-{ref.hash}"

    def bucket(self, number: int) -> str:
        """Prefix of one bucket of the history."""
        return f"{self.prefix}history/{number:010d}/"

    def version(self, version: ConfigVersion) -> str:
        """Key of a version in the history."""
        return f"{self.bucket(version // BUCKET_VERSIONS)}{version:012d}"


class ConfigStore:
    """Typed reads and writes of the configuration's records."""

    def __init__(self, store: Store, keys: ConfigKeys | None = None) -> None:
        self.store = store
        self.keys = keys or ConfigKeys()

    async def read_head(self) -> Outcome[Stored[Head] | None]:
        """Return the head, or None if no version was ever accepted."""
        return await self._read(self.keys.head, RecordKind.HEAD, Head)

    async def write_head(self, head: Head, expected: int) -> Outcome[int]:
        """Replace the head if its revision is `expected`."""
        return await self._write(self.keys.head, encode_record(RecordKind.HEAD, head), expected)

    async def read_proposal(self, proposal: ProposalId) -> Outcome[Stored[Proposal] | None]:
        """Return a proposal, or None if it does not exist."""
        return await self._read(self.keys.proposal(proposal), RecordKind.PROPOSAL, Proposal)

    async def write_proposal(self, proposal: Proposal, expected: int) -> Outcome[int]:
        """Replace a proposal if its revision is `expected` (0: absent)."""
        data = encode_record(RecordKind.PROPOSAL, proposal)
        return await self._write(self.keys.proposal(proposal.id), data, expected)

    async def list_proposals(self) -> Outcome[list[Stored[Proposal]]]:
        """Return all retained proposals."""
        return await self._list(self.keys.proposals, RecordKind.PROPOSAL, Proposal)

    async def read_bucket(self, number: int) -> Outcome[list[Stored[VersionRecord]]]:
        """Return the versions in one bucket of the history, in ascending order."""
        return await self._list(self.keys.bucket(number), RecordKind.VERSION, VersionRecord)

    async def read_versions(
        self, first: ConfigVersion, last: ConfigVersion
    ) -> Outcome[list[VersionRecord]]:
        """Return the versions from `first` to `last`, all of which are older than the head's."""
        records: list[VersionRecord] = []
        for number in range(first // BUCKET_VERSIONS, last // BUCKET_VERSIONS + 1):
            bucket = await self.read_bucket(number)
            if isinstance(bucket, Err):
                return bucket
            records += [each.value for each in bucket.ok_value]
        records = [record for record in records if first <= record.version <= last]
        if len(records) != max(0, last - first + 1):
            return not_run(ErrorCode.NOT_FOUND, f"versions from {first} are no longer all kept")
        return Ok(records)

    async def store_version(self, record: VersionRecord) -> Outcome[None]:
        """Write a version that is in force to the history, before the head is replaced."""
        data = encode_record(RecordKind.VERSION, record)
        return await self._write_immutable(self.keys.version(record.version), data)

    async def store_snapshot(self, snapshot: ConfigSnapshot) -> Outcome[SnapshotRef]:
        """Write a complete tree, before a head refers to it."""
        ref = SnapshotRef(snapshot.version, snapshot.hash)
        stored = await self._write_immutable(self.keys.snapshot(ref), encode_snapshot(snapshot))
        return stored if isinstance(stored, Err) else Ok(ref)

    async def load(self, head: Head, known: ConfigSnapshot) -> Outcome[ConfigSnapshot]:
        """Return the version of a head, rebuilt from `known` or from the head's stored tree.

        Rebuilding from `known` is tried first if it is older than the head's version but not older
        than the stored tree.
        """
        if known.hash == head.record.hash and known.version == head.record.version:
            return Ok(known)
        if head.snapshot.version <= known.version < head.record.version:
            rebuilt = await self._replay(known, head)
            if isinstance(rebuilt, Ok):
                return rebuilt
        stored_tree = await self._read_snapshot(head.snapshot)
        if isinstance(stored_tree, Err):
            return stored_tree
        return await self._replay(stored_tree.ok_value, head)

    async def _replay(self, start: ConfigSnapshot, head: Head) -> Outcome[ConfigSnapshot]:
        """Return the version of a head, rebuilt from an earlier version."""
        if start.version == head.record.version:
            return Ok(start)
        between = await self.read_versions(start.version + 1, head.record.version - 1)
        if isinstance(between, Err):
            return between
        try:
            return Ok(replay(start, [*between.ok_value, head.record]))
        except FormatError as error:
            return not_run(ErrorCode.VERSION, str(error))

    async def _read_snapshot(self, ref: SnapshotRef) -> Outcome[ConfigSnapshot]:
        """Return the complete tree that a head refers to."""
        found = await self.store.get(self.keys.snapshot(ref))
        if isinstance(found, Err):
            return _as_not_run(found)
        if found.ok_value is None:
            return not_run(ErrorCode.NOT_FOUND, f"the tree of version {ref.version} is gone")
        try:
            return Ok(decode_snapshot(found.ok_value.value))
        except FormatError as error:
            return not_run(ErrorCode.VERSION, f"{found.ok_value.key}: {error}")

    async def _read(self, key: str, kind: RecordKind, model: type[T]) -> Outcome[Stored[T] | None]:
        """Return the record at a key; a newer or corrupt record is a failure with code VERSION."""
        found = await self.store.get(key)
        if isinstance(found, Err):
            return _as_not_run(found)
        if found.ok_value is None:
            return Ok(None)
        return decode_item(found.ok_value, kind, model)

    async def _list(
        self, prefix: str, kind: RecordKind, model: type[T]
    ) -> Outcome[list[Stored[T]]]:
        """Return the records under a prefix."""
        listing = await self.store.list(prefix)
        if isinstance(listing, Err):
            return _as_not_run(listing)
        records = []
        for item in listing.ok_value.items:
            record = decode_item(item, kind, model)
            if isinstance(record, Err):
                return record
            records.append(record.ok_value)
        return Ok(records)

    async def _write(self, key: str, data: bytes, expected: int) -> Outcome[int]:
        """Write a record if the key's revision is `expected` (0: absent)."""
        if len(data) > MAX_VALUE_BYTES:
            return not_run(ErrorCode.TOO_LARGE, f"{key} would take {len(data)} bytes")
        return await self.store.put_if(key, data, expected)

    async def _write_immutable(self, key: str, data: bytes) -> Outcome[None]:
        """Write a record whose content is the same whoever writes it; a conflict is no failure."""
        written = await self._write(key, data, 0)
        if isinstance(written, Ok) or written.err_value.code is ErrorCode.CONFLICT:
            return Ok(None)
        # This write puts nothing in force, so a failure counts as NOT_RUN even if it took effect.
        return not_run(written.err_value.code, written.err_value.message)


def decode_item(item: KeyValue, kind: RecordKind, model: type[T]) -> Outcome[Stored[T]]:
    """Return the record in a stored value.

    A newer or corrupt record is a failure with code VERSION, and the value is not modified.
    """
    try:
        return Ok(Stored(decode_record(kind, item.value, model), item.mod_revision))
    except FormatError as error:
        return not_run(ErrorCode.VERSION, f"{item.key}: {error}")


def _as_not_run(outcome: Err) -> Err:
    """Return the failure of a read with the verdict NOT_RUN, since a read changes nothing.

    If an earlier write of the same request may have run, its caller has to report that.
    """
    failure = outcome.err_value
    return not_run(failure.code, failure.message, failure.retry_after_s)


def is_conflict(outcome: Err) -> bool:
    """Return whether a write failed because the key had another revision than expected."""
    return outcome.err_value.code is ErrorCode.CONFLICT


def is_uncertain(outcome: Err) -> bool:
    """Return whether a failed write may have taken effect."""
    return outcome.err_value.verdict is Verdict.MAY_HAVE_RUN
