"""Following the store: a process that watches the head keeps its configuration up to date.

Only a few entries of a zone do this; they pass what they learn on to the zone's other entries.
"""

import asyncio

from loguru import logger

from waxwingglade.base import (
    Clock,
    ConfigVersion,
    EntryRef,
    Err,
    FormatError,
    Ok,
    OperatorId,
    Outcome,
    wall,
)
from waxwingglade.version.active import ActiveConfig, Source
from waxwingglade.version.approval import unusable_rules
from waxwingglade.version.config_store import ConfigStore, Head, SnapshotRef
from waxwingglade.version.proposal import ProposalId
from waxwingglade.version.record import RecordKind, decode_record
from waxwingglade.version.snapshot import ConfigSnapshot, VersionRecord
from waxwingglade.version.store_api import KeyValue, WatchKind

REREAD_S = 3.0
"""Seconds between reads of the head beside the watch, since a watch can fall silent."""

RETRY_S = 0.5
"""Seconds before a failed watch is set up again."""

FIRST_VERSION = ConfigVersion(1)
SEED_PROPOSAL = ProposalId("seed")
SEED_OPERATOR = OperatorId("")


async def catch_up(records: ConfigStore, active: ActiveConfig) -> Outcome[bool]:
    """Read the version in force from the store; return whether one is there."""
    head = await records.read_head()
    if isinstance(head, Err):
        return head
    if head.ok_value is None:
        return Ok(False)
    taken = await _take_head(records, active, head.ok_value.value)
    return taken if isinstance(taken, Err) else Ok(True)


async def seed_store(
    records: ConfigStore, active: ActiveConfig, entry_ref: EntryRef, clock: Clock = wall
) -> Outcome[bool]:
    """Make this entry's initial tree version 1 of a store that holds none.

    Only a tree that operators can go on to change is put there.  Call it after `catch_up` found no
    version and the peers knew of none.

    Returns
    -------
    Outcome of bool
        Whether this entry's tree was taken.
    """
    initial = active.current
    if initial.version > 0:
        logger.error("the store holds no configuration, but version {} is known", initial.version)
        return Ok(False)
    reasons = unusable_rules(initial.tree)
    if reasons:
        logger.warning("the initial tree is not stored, it could not be changed: {}", reasons)
        return Ok(False)
    first = ConfigSnapshot(FIRST_VERSION, initial.tree, initial.hash)
    stored = await records.store_snapshot(first)
    if isinstance(stored, Err):
        return stored
    written = await records.write_head(_first_head(first, entry_ref, clock()), 0)
    if isinstance(written, Err):
        return written
    active.offer(first, Source.STORE)
    return Ok(True)


async def follow_store(records: ConfigStore, active: ActiveConfig) -> None:
    """Keep a process up to date from the store until cancelled."""
    rereading = asyncio.create_task(_reread(records, active))
    try:
        while True:
            await _watch_once(records, active)
            await asyncio.sleep(RETRY_S)
    finally:
        rereading.cancel()


async def _watch_once(records: ConfigStore, active: ActiveConfig) -> None:
    """Read the head and watch it until the watch ends or fails."""
    key = records.keys.head
    listing = await records.store.list(key)
    if isinstance(listing, Err):
        return
    for item in listing.ok_value.items:
        await _take_item(records, active, item)
    try:
        async for event in records.store.watch(key, listing.ok_value.revision + 1):
            if event.kind is WatchKind.DELETE:
                logger.error("the configuration was deleted from the store; it stays in force")
                continue
            for item in event.items:
                await _take_item(records, active, item)
    except Exception as error:
        logger.warning("the watch of the configuration failed: {}", error)


async def _reread(records: ConfigStore, active: ActiveConfig) -> None:
    """Read the head from time to time."""
    while True:
        await asyncio.sleep(REREAD_S)
        outcome = await catch_up(records, active)
        if isinstance(outcome, Err):
            logger.debug("the configuration was not read: {}", outcome.err_value.message)


async def _take_item(records: ConfigStore, active: ActiveConfig, item: KeyValue) -> None:
    """Offer what a watch or listing gave."""
    if item.key != records.keys.head:
        return
    try:
        head = decode_record(RecordKind.HEAD, item.value, Head)
    except FormatError as error:
        logger.error("{}: {}", item.key, error)
        return
    await _take_head(records, active, head)


async def _take_head(records: ConfigStore, active: ActiveConfig, head: Head) -> Outcome[None]:
    """Offer the version of a head, reading from the store what is missing to rebuild it."""
    record = head.record
    if record.version < active.current.version:
        logger.error(
            "the store has configuration version {}, {} is in force here and stays",
            record.version,
            active.current.version,
        )
    if active.offer_records([record], Source.STORE) or record.version <= active.current.version:
        active.confirmed = True
        return Ok(None)
    loaded = await records.load(head, active.current)
    if isinstance(loaded, Err):
        reason = loaded.err_value.message
        logger.warning("configuration version {} was not read: {}", record.version, reason)
        return loaded
    active.offer(loaded.ok_value, Source.STORE)
    active.confirmed = True
    return Ok(None)


def _first_head(first: ConfigSnapshot, entry_ref: EntryRef, at_s: float) -> Head:
    """Return the head that puts an initial tree in force."""
    record = VersionRecord(
        version=first.version,
        base_hash="",
        hash=first.hash,
        changes=[],
        proposal=SEED_PROPOSAL,
        proposer=SEED_OPERATOR,
        approvals=[],
        accepted_by=SEED_OPERATOR,
        entry=entry_ref.entry,
        accepted_at_s=at_s,
    )
    return Head(record, SnapshotRef(first.version, first.hash))
