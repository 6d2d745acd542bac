"""Deletion of old configuration records from the store."""

from waxwingglade.base import ConfigVersion, Err, Ok, Outcome
from waxwingglade.version.acceptance import SNAPSHOT_EVERY
from waxwingglade.version.config_store import BUCKET_VERSIONS, ConfigStore, Head
from waxwingglade.version.proposal import Proposal, ProposalState
from waxwingglade.version.proposal_context import read_known_head

RETAINED_VERSIONS = 2000
"""Number of versions retained; a proposal that is based on an older one must be proposed again."""

PROPOSAL_RETENTION_S = 3600.0
"""Seconds for which a closed proposal is retained, so that a retry is recognised."""


async def delete_old_records(config_store: ConfigStore, now_s: float) -> Outcome[int]:
    """Delete old versions, trees and closed proposals; return the number of deleted records.

    Any entry may do this at any time, and several may do it concurrently.  `now_s` is in seconds
    since 1970.
    """
    head = await read_known_head(config_store)
    if isinstance(head, Err):
        return head
    deleted = 0
    for step in (_delete_old_versions, _delete_old_trees):
        outcome = await step(config_store, head.ok_value.value)
        if isinstance(outcome, Err):
            return outcome
        deleted += outcome.ok_value
    outcome = await _delete_old_proposals(config_store, head.ok_value.value, now_s)
    return outcome if isinstance(outcome, Err) else Ok(deleted + outcome.ok_value)


async def _delete_old_versions(config_store: ConfigStore, head: Head) -> Outcome[int]:
    """Delete the buckets all of whose versions are older than the retained ones."""
    number = oldest_retained(head) // BUCKET_VERSIONS - 1
    deleted = 0
    while number >= 0:
        listing = await config_store.store.list(config_store.keys.bucket(number))
        if isinstance(listing, Err):
            return listing
        if not listing.ok_value.items:
            break
        for item in listing.ok_value.items:
            await config_store.store.delete_if(item.key, item.mod_revision)
        deleted += len(listing.ok_value.items)
        number -= 1
    return Ok(deleted)


async def _delete_old_trees(config_store: ConfigStore, head: Head) -> Outcome[int]:
    """Delete trees that are older than the one before the head's.

    That one is retained because a slow reader may still need it.
    """
    listing = await config_store.store.list(config_store.keys.snapshots)
    if isinstance(listing, Err):
        return listing
    oldest = head.snapshot.version - SNAPSHOT_EVERY
    prefix = config_store.keys.snapshots
    old = [
        item
        for item in listing.ok_value.items
        if int(item.key.removeprefix(prefix).split("-")[0]) < oldest
    ]
    for item in old:
        await config_store.store.delete_if(item.key, item.mod_revision)
    return Ok(len(old))


async def _delete_old_proposals(
    config_store: ConfigStore, head: Head, now_s: float
) -> Outcome[int]:
    """Delete proposals that were closed long ago or can no longer be accepted."""
    listed = await config_store.list_proposals()
    if isinstance(listed, Err):
        return listed
    old = [each for each in listed.ok_value if _is_old(each.value, head, now_s)]
    for each in old:
        await config_store.store.delete_if(
            config_store.keys.proposal(each.value.id), each.mod_revision
        )
    return Ok(len(old))


def _is_old(proposal: Proposal, head: Head, now_s: float) -> bool:
    """Return whether a proposal may be deleted."""
    if proposal.state is ProposalState.OPEN:
        return proposal.base_version < oldest_retained(head)
    return (proposal.closed_at_s or proposal.created_at_s) < now_s - PROPOSAL_RETENTION_S


def oldest_retained(head: Head) -> ConfigVersion:
    """Return the oldest version that the history has to retain."""
    return ConfigVersion(max(0, head.record.version - RETAINED_VERSIONS))
