"""Following the store: a process watches the head and puts each new version in force.

Only a few entries of a zone do this.  The zone's other entries get new versions from them.
"""

import asyncio
from functools import partial

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
from waxwingglade.base.tasks import run_forever
from waxwingglade.version.active import ActiveConfig, Source
from waxwingglade.version.approval import unusable_rules
from waxwingglade.version.config_store import ConfigStore, Head, SnapshotRef
from waxwingglade.version.proposal import ProposalId
from waxwingglade.version.record import RecordKind, decode_record
from waxwingglade.version.snapshot import ConfigSnapshot, VersionRecord
from waxwingglade.version.store_api import KeyValue, WatchKind

POLL_S = 3.0
"""Seconds between reads of the head besides the watch, since a watch can stop without an error."""

WATCH_RETRY_S = 0.5
"""Seconds before a watch that ended or failed is established again."""

FIRST_VERSION = ConfigVersion(1)
SEED_PROPOSAL = ProposalId("seed")
SEED_OPERATOR = OperatorId("")


async def catch_up(config_store: ConfigStore, active: ActiveConfig) -> Outcome[bool]:
    """Read the version in force from the store and offer it; return whether the store has one."""
    head = await config_store.read_head()
    if isinstance(head, Err):
        return head
    if head.ok_value is None:
        return Ok(False)
    offered = await _offer_head(config_store, active, head.ok_value.value)
    return offered if isinstance(offered, Err) else Ok(True)


async def seed_store(
    config_store: ConfigStore, active: ActiveConfig, entry_ref: EntryRef, clock: Clock = wall
) -> Outcome[bool]:
    """Write this entry's initial tree as version 1 to a store that has no version.

    A tree that operators could not change afterwards is not written.  Call this function only after
    `catch_up` has found no version and the peers know of none.

    Returns
    -------
    Outcome of bool
        Whether this entry's tree became version 1.
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
    stored = await config_store.store_snapshot(first)
    if isinstance(stored, Err):
        return stored
    written = await config_store.write_head(_first_head(first, entry_ref, clock()), 0)
    if isinstance(written, Err):
        return written
    active.offer(first, Source.STORE)
    return Ok(True)


async def follow_store(config_store: ConfigStore, active: ActiveConfig) -> None:
    """Put each new version of the store in force, until cancelled."""
    polling = run_forever(partial(_poll_head, config_store, active))
    try:
        while True:
            await _watch_once(config_store, active)
            await asyncio.sleep(WATCH_RETRY_S)
    finally:
        polling.cancel()


async def _watch_once(config_store: ConfigStore, active: ActiveConfig) -> None:
    """Read the head and watch it until the watch ends or fails."""
    key = config_store.keys.head
    listing = await config_store.store.list(key)
    if isinstance(listing, Err):
        return
    for item in listing.ok_value.items:
        await _offer_item(config_store, active, item)
    try:
        async for event in config_store.store.watch(key, listing.ok_value.revision + 1):
            if event.kind is WatchKind.DELETE:
                logger.error("the configuration was deleted from the store; it stays in force")
                continue
            for item in event.items:
                await _offer_item(config_store, active, item)
    except Exception as error:
        logger.warning("the watch of the configuration failed: {}", error)


async def _poll_head(config_store: ConfigStore, active: ActiveConfig) -> None:
    """Read the head periodically."""
    while True:
        await asyncio.sleep(POLL_S)
        outcome = await catch_up(config_store, active)
        if isinstance(outcome, Err):
            logger.debug("the configuration was not read: {}", outcome.err_value.message)


async def _offer_item(config_store: ConfigStore, active: ActiveConfig, item: KeyValue) -> None:
    """Offer the version in an item of a watch or listing."""
    if item.key != config_store.keys.head:
        return
    try:
        head = decode_record(RecordKind.HEAD, item.value, Head)
    except FormatError as error:
        logger.error("{}: {}", item.key, error)
        return
    await _offer_head(config_store, active, head)


async def _offer_head(config_store: ConfigStore, active: ActiveConfig, head: Head) -> Outcome[None]:
    """Offer the version of a head; read the records from the store that it is rebuilt from."""
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
    loaded = await config_store.load(head, active.current)
    if isinstance(loaded, Err):
        reason = loaded.err_value.message
        logger.warning("configuration version {} was not read: {}", record.version, reason)
        return loaded
    active.offer(loaded.ok_value, Source.STORE)
    active.confirmed = True
    return Ok(None)


def _first_head(first: ConfigSnapshot, entry_ref: EntryRef, at_s: float) -> Head:
    """Return the head that puts the initial tree in force."""
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
