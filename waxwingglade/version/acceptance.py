"""Acceptance of a proposal: one compare-and-swap on the head increments the version.

The swap expects the revision of the head that was read before the proposal, its approvals and the
rules.  So it fails if the rules change, another proposal is accepted or this proposal is rejected
in the meantime.
"""

import asyncio
import random

import msgspec

from waxwingglade.base import (
    ConfigVersion,
    EntryId,
    Err,
    ErrorCode,
    Failure,
    Ok,
    OperatorId,
    Outcome,
    SettingsError,
    Verdict,
    may_have_run,
    not_run,
)
from waxwingglade.settings import Role
from waxwingglade.version.active import ActiveConfig, Source
from waxwingglade.version.approval import has_role, unmet_reasons, unusable_rules
from waxwingglade.version.config_store import (
    MAX_VALUE_BYTES,
    ConfigStore,
    Head,
    SnapshotRef,
    is_conflict,
    is_uncertain,
)
from waxwingglade.version.proposal import Proposal, ProposalId, ProposalState, touched_settings
from waxwingglade.version.proposal_context import ProposalContext, read_proposal_context
from waxwingglade.version.snapshot import ConfigSnapshot, VersionRecord, encode_snapshot
from waxwingglade.version.tree import (
    Change,
    Tree,
    apply_changes,
    check_changes,
    encoded_size,
)

ATTEMPTS = 6
MAX_RETRY_PAUSE_S = 0.1
RETRY_AFTER_S = 2.0
SNAPSHOT_EVERY = 100
"""Number of versions between complete trees in the store."""

HEAD_MOVED = Failure(
    Verdict.NOT_RUN, ErrorCode.OVERLOADED, "other versions came first", RETRY_AFTER_S
)


class AcceptRequest(msgspec.Struct, frozen=True):
    """A request to accept a proposal.

    Parameters
    ----------
    proposal : ProposalId
        The proposal to accept.
    operator : OperatorId
        Operator who accepts it.
    entry : EntryId
        Entry that received the request.
    now_s : float
        Time of the request, in seconds since 1970.
    """

    proposal: ProposalId
    operator: OperatorId
    entry: EntryId
    now_s: float


class Plan(msgspec.Struct, frozen=True):
    """A compare-and-swap to attempt: the head to write, and the version that it puts in force."""

    head: Head
    snapshot: ConfigSnapshot


async def accept_proposal(
    config_store: ConfigStore, active: ActiveConfig, request: AcceptRequest
) -> Outcome[VersionRecord]:
    """Put a proposal in force once; a repeated request returns the version that it became.

    Returns
    -------
    Outcome of VersionRecord
        A failure is NOT_RUN only if no swap of this request can take effect any more.
    """
    # Head revision that a swap of unknown outcome expected.
    uncertain_revision: int | None = None
    for attempt in range(ATTEMPTS):
        await _pause(attempt)
        read = await read_proposal_context(config_store, request.proposal)
        if isinstance(read, Err):
            if uncertain_revision is None:
                return read
            continue
        context = read.ok_value
        if context.accepted is not None:
            await _catch_up(config_store, active, context.head.value)
            return Ok(context.accepted)
        if uncertain_revision != context.head.mod_revision:
            uncertain_revision = None
        swapped = await _plan_and_swap(config_store, active, context, request)
        if isinstance(swapped, Ok):
            return swapped
        if is_uncertain(swapped):
            uncertain_revision = context.head.mod_revision
        elif swapped.err_value != HEAD_MOVED:
            return swapped if uncertain_revision is None else _uncertain(swapped.err_value)
    if uncertain_revision is not None:
        return may_have_run(ErrorCode.STORE_UNAVAILABLE, "the store's answer was lost: ask again")
    return Err(HEAD_MOVED)


async def _plan_and_swap(
    config_store: ConfigStore,
    active: ActiveConfig,
    context: ProposalContext,
    request: AcceptRequest,
) -> Outcome[VersionRecord]:
    """Attempt once to put a proposal in force."""
    plan = await _plan(config_store, active, context, request)
    if isinstance(plan, Err):
        return plan
    head = plan.ok_value.head
    swapped = await config_store.write_head(head, context.head.mod_revision)
    if isinstance(swapped, Err):
        return Err(HEAD_MOVED) if is_conflict(swapped) else swapped
    # As a record, the version can be sent to peers that are behind without the complete tree.
    if not active.offer_records([head.record], Source.STORE):
        active.offer(plan.ok_value.snapshot, Source.STORE)
    return Ok(head.record)


def check_result(tree: Tree, version: ConfigVersion) -> str | None:
    """Return why a tree may not be put in force, or None if it may."""
    reasons = unusable_rules(tree)
    if reasons:
        return "; ".join(reasons)
    if encoded_size(tree) <= MAX_VALUE_BYTES // 2:
        return None
    size = len(encode_snapshot(ConfigSnapshot(version, tree)))
    if size > MAX_VALUE_BYTES:
        return f"the tree would take {size} bytes, the store holds {MAX_VALUE_BYTES}"
    return None


def conflicting_version(changes: list[Change], since: list[VersionRecord]) -> VersionRecord | None:
    """Return the first version that changed a setting that `changes` also change."""
    touched = touched_settings(changes)
    return next((each for each in since if touched & touched_settings(each.changes)), None)


async def _plan(
    config_store: ConfigStore,
    active: ActiveConfig,
    context: ProposalContext,
    request: AcceptRequest,
) -> Outcome[Plan]:
    """Check a proposal against the rules in force, and write the records that precede the swap."""
    head = context.head.value
    loaded = await config_store.load(head, active.current)
    if isinstance(loaded, Err):
        return loaded
    current = loaded.ok_value
    proposal = context.proposal.value
    refusal = _refusal(current.tree, context, request)
    if refusal is not None:
        return refusal
    snapshot = ConfigSnapshot(
        ConfigVersion(current.version + 1), apply_changes(current.tree, proposal.changes)
    )
    problem = check_result(snapshot.tree, snapshot.version)
    if problem is not None:
        return not_run(ErrorCode.CONFLICT, f"with the versions accepted since: {problem}")
    ref = await _write_ahead(config_store, head, current)
    if isinstance(ref, Err):
        return ref
    record = _record_of(proposal, current, snapshot, request)
    return Ok(Plan(Head(record, ref.ok_value), snapshot))


def _refusal(tree: Tree, context: ProposalContext, request: AcceptRequest) -> Err[Failure] | None:
    """Return why a proposal may not be accepted now, or None if it may."""
    proposal = context.proposal.value
    if not has_role(tree, request.operator, Role.PROPOSER):
        return not_run(ErrorCode.FORBIDDEN, f"operator {request.operator} may not accept")
    if proposal.state is not ProposalState.OPEN:
        return not_run(ErrorCode.CONFLICT, f"proposal {proposal.id} is {proposal.state.value}")
    conflicting = conflicting_version(proposal.changes, context.since)
    if conflicting is not None:
        return not_run(
            ErrorCode.CONFLICT, f"version {conflicting.version} changed the same: propose it anew"
        )
    try:
        check_changes(tree, proposal.changes)
    except SettingsError as error:
        return not_run(ErrorCode.CONFLICT, str(error))
    reasons = unmet_reasons(tree, proposal, request.now_s)
    if reasons:
        return not_run(ErrorCode.FORBIDDEN, "; ".join(reasons))
    return None


async def _write_ahead(
    config_store: ConfigStore, head: Head, current: ConfigSnapshot
) -> Outcome[SnapshotRef]:
    """Write the version in force to the history, and its tree if one is due.

    Returns a reference to the newest stored tree.
    """
    stored = await config_store.store_version(head.record)
    if isinstance(stored, Err):
        return stored
    if current.version - head.snapshot.version < SNAPSHOT_EVERY:
        return Ok(head.snapshot)
    return await config_store.store_snapshot(current)


async def _catch_up(config_store: ConfigStore, active: ActiveConfig, head: Head) -> None:
    """Put the version of a head in force in this process, if it can be read."""
    loaded = await config_store.load(head, active.current)
    if isinstance(loaded, Ok):
        active.offer(loaded.ok_value, Source.STORE)


def _record_of(
    proposal: Proposal, current: ConfigSnapshot, snapshot: ConfigSnapshot, request: AcceptRequest
) -> VersionRecord:
    """Return the record of the version that a proposal becomes."""
    return VersionRecord(
        version=snapshot.version,
        base_hash=current.hash,
        hash=snapshot.hash,
        changes=proposal.changes,
        proposal=proposal.id,
        proposer=proposal.proposer,
        approvals=proposal.approvals,
        accepted_by=request.operator,
        entry=request.entry,
        accepted_at_s=request.now_s,
    )


def _uncertain(failure: Failure) -> Err[Failure]:
    """Return the failure of a request of which an earlier swap may still take effect."""
    return may_have_run(failure.code, failure.message, RETRY_AFTER_S)


async def _pause(attempt: int) -> None:
    """Wait before a retry, for a random time so that concurrent requests do not retry in step."""
    if attempt > 0:
        await asyncio.sleep(MAX_RETRY_PAUSE_S * random.random())
