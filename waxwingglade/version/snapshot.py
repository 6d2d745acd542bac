"""Versions of the tree in memory, and the records from which they are rebuilt."""

import functools
from collections.abc import Iterable

import msgspec

from waxwingglade.base import ConfigVersion, EntryId, FormatError, OperatorId
from waxwingglade.settings import ProgramPolicy
from waxwingglade.version.level import LevelPath, PolicyPath, SettingName
from waxwingglade.version.proposal import Approval, ProposalId
from waxwingglade.version.record import (
    NewerFormatError,
    RecordKind,
    decode_record,
    encode_record,
)
from waxwingglade.version.schema import is_known
from waxwingglade.version.tree import Change, Tree, apply_changes, resolve, tree_hash

CACHED_POLICIES = 8192
"""Maximum number of resolved policies that a snapshot caches."""


class ConfigDigest(msgspec.Struct, frozen=True):
    """Identifies a version by its number and content, for heartbeats.

    `confirmed` is as in `ActiveConfig`: since the sender's start, the store or a confirmed peer has
    answered that it knows no higher version.
    """

    version: ConfigVersion
    hash: str
    confirmed: bool = False


class VersionRecord(msgspec.Struct, frozen=True):
    """How one version was made from the previous one, by whom and when.

    Parameters
    ----------
    version : ConfigVersion
        Number of the version.
    base_hash, hash : str
        `tree_hash` of the previous version and of this version.
    changes : list of Change
        Overrides set and removed.
    proposal, proposer, approvals : ProposalId, OperatorId, list of Approval
        The accepted proposal, with its proposer and approvals.
    accepted_by, entry : OperatorId, EntryId
        Operator who accepted it, and the entry that received the request.
    accepted_at_s : float
        Seconds since 1970 by that entry's clock.
    """

    version: ConfigVersion
    base_hash: str
    hash: str
    changes: list[Change]
    proposal: ProposalId
    proposer: OperatorId
    approvals: list[Approval]
    accepted_by: OperatorId
    entry: EntryId
    accepted_at_s: float


class VersionRecords(msgspec.Struct, frozen=True):
    """Consecutive versions, as sent to a peer that is behind."""

    records: list[VersionRecord]


class SnapshotRecord(msgspec.Struct, frozen=True):
    """A complete tree, as stored and sent."""

    version: ConfigVersion
    hash: str
    tree: Tree


class ConfigSnapshot:
    """One version of the tree in memory.

    A call uses the snapshot with which it started until it ends.

    Attributes
    ----------
    version : ConfigVersion
        Number of the version; 0 for the tree in an entry's own settings.
    tree : Tree
        The overrides.
    hash : str
        `tree_hash` of the tree.
    """

    def __init__(self, version: ConfigVersion, tree: Tree, known_hash: str | None = None) -> None:
        self.version = version
        self.tree = tree
        self.hash = known_hash or tree_hash(tree)
        self.cached_resolve = functools.lru_cache(CACHED_POLICIES)(functools.partial(resolve, tree))

    def resolve(self, path: PolicyPath) -> ProgramPolicy:
        """Return the policy of a program; results are cached."""
        return self.cached_resolve(path)


def replay(snapshot: ConfigSnapshot, records: list[VersionRecord]) -> ConfigSnapshot:
    """Return the version that results from applying consecutive records to a snapshot.

    Raises
    ------
    FormatError
        If a record does not follow from the previous version.
    """
    tree, version, content = snapshot.tree, snapshot.version, snapshot.hash
    for record in records:
        if record.version != version + 1 or record.base_hash != content:
            raise FormatError(f"version {record.version} does not follow from version {version}")
        _check_known(record.version, ((each.level, each.setting) for each in record.changes))
        tree = apply_changes(tree, record.changes)
        version, content = record.version, record.hash
    # It is enough to hash the result, since each record contains the hash of its base.
    if records and tree_hash(tree) != content:
        raise FormatError(f"version {version} differs from what was accepted")
    return ConfigSnapshot(version, tree, content)


def encode_snapshot(snapshot: ConfigSnapshot) -> bytes:
    """Return a complete version as a compressed record."""
    record = SnapshotRecord(snapshot.version, snapshot.hash, snapshot.tree)
    return encode_record(RecordKind.SNAPSHOT, record, compress=True)


def decode_snapshot(data: bytes) -> ConfigSnapshot:
    """Return the version in a record, or raise `FormatError`."""
    record = decode_record(RecordKind.SNAPSHOT, data, SnapshotRecord)
    if tree_hash(record.tree) != record.hash:
        raise FormatError(f"the tree of version {record.version} differs from its hash")
    levels = record.tree.levels
    _check_known(record.version, ((level, name) for level in levels for name in levels[level]))
    return ConfigSnapshot(record.version, record.tree, record.hash)


def _check_known(version: ConfigVersion, settings: Iterable[tuple[LevelPath, SettingName]]) -> None:
    """Raise `NewerFormatError` if a version has a setting that this release does not support."""
    for level, setting in settings:
        if not is_known(level, setting):
            raise NewerFormatError(
                f"version {version} has the setting `{setting}` at {level}, "
                "which this release does not know; left untouched"
            )
