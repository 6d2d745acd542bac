"""Changes to the record of a proposal: approval, rejection and withdrawal."""

from collections.abc import Awaitable, Callable

from loguru import logger

from waxwingglade.base import Err, ErrorCode, Ok, OperatorId, Outcome, may_have_run, not_run
from waxwingglade.settings import Role
from waxwingglade.version.acceptance import ATTEMPTS
from waxwingglade.version.active import ActiveConfig
from waxwingglade.version.approval import has_role
from waxwingglade.version.config_store import ConfigStore, is_conflict, is_uncertain
from waxwingglade.version.proposal import Proposal, ProposalId, with_acceptance
from waxwingglade.version.proposal_context import ProposalContext, read_proposal_context
from waxwingglade.version.snapshot import VersionRecord

PermissionCheck = Callable[[ProposalContext], Awaitable[Outcome[None]]]
"""Checks whether an operator may make a change to a proposal."""

ProposalEdit = Callable[[Proposal], Outcome[Proposal]]
"""Returns the changed proposal, or the same proposal if it has been changed already."""


def require_role(
    config_store: ConfigStore, active: ActiveConfig, operator: OperatorId, least: Role
) -> PermissionCheck:
    """Return a check that an operator has at least a role in the version in force."""

    async def check(context: ProposalContext) -> Outcome[None]:
        loaded = await config_store.load(context.head.value, active.current)
        if isinstance(loaded, Err):
            return loaded
        if has_role(loaded.ok_value.tree, operator, least):
            return Ok(None)
        return not_run(ErrorCode.FORBIDDEN, f"operator {operator} has not the role {least.value}")

    return check


def require_proposer(operator: OperatorId) -> PermissionCheck:
    """Return a check that an operator is the proposer."""

    async def check(context: ProposalContext) -> Outcome[None]:
        if context.proposal.value.proposer == operator:
            return Ok(None)
        return not_run(ErrorCode.FORBIDDEN, "only the proposer may withdraw a proposal")

    return check


async def edit_proposal(
    config_store: ConfigStore, proposal: ProposalId, check: PermissionCheck, edit: ProposalEdit
) -> Outcome[Proposal]:
    """Change a proposal's record by compare-and-swap, unless it has been changed already."""
    # Revision of the proposal that a write of unknown outcome expected.
    uncertain_revision: int | None = None
    for _ in range(ATTEMPTS):
        read = await read_proposal_context(config_store, proposal)
        if isinstance(read, Err):
            if uncertain_revision is None:
                return read
            continue
        if uncertain_revision != read.ok_value.proposal.mod_revision:
            uncertain_revision = None
        edited = await _apply_edit(read.ok_value, check, edit)
        if isinstance(edited, Err):
            return edited if uncertain_revision is None else _lost_answer()
        if edited.ok_value == read.ok_value.proposal.value:
            return edited
        revision = read.ok_value.proposal.mod_revision
        written = await config_store.write_proposal(edited.ok_value, revision)
        if isinstance(written, Ok):
            return edited
        if is_uncertain(written):
            uncertain_revision = revision
        elif not is_conflict(written):
            return written if uncertain_revision is None else _lost_answer()
    return _lost_answer()


async def close_proposal(
    config_store: ConfigStore, proposal: ProposalId, check: PermissionCheck, edit: ProposalEdit
) -> Outcome[Proposal]:
    """Close a proposal, and ensure that no concurrent acceptance can still succeed."""
    edited = await edit_proposal(config_store, proposal, check, edit)
    if isinstance(edited, Err):
        return edited
    return await _fence(config_store, proposal)


async def mark_accepted(config_store: ConfigStore, record: VersionRecord) -> None:
    """Mark the proposal's record as accepted; a failure is harmless, as the history shows it."""
    found = await config_store.read_proposal(record.proposal)
    if isinstance(found, Err) or found.ok_value is None:
        return
    marked = _with_version(found.ok_value.value, record)
    if marked == found.ok_value.value:
        return
    written = await config_store.write_proposal(marked, found.ok_value.mod_revision)
    if isinstance(written, Err):
        reason = written.err_value.message
        logger.debug("proposal {} is not marked as accepted: {}", record.proposal, reason)


def current_proposal(context: ProposalContext) -> Proposal:
    """Return a proposal with its acceptance, even if its record does not show it yet."""
    if context.accepted is None:
        return context.proposal.value
    return _with_version(context.proposal.value, context.accepted)


async def _apply_edit(
    context: ProposalContext, check: PermissionCheck, edit: ProposalEdit
) -> Outcome[Proposal]:
    """Check the permission and return the changed proposal."""
    allowed = await check(context)
    if isinstance(allowed, Err):
        return allowed
    return edit(current_proposal(context))


async def _fence(config_store: ConfigStore, proposal: ProposalId) -> Outcome[Proposal]:
    """Rewrite the head unchanged, so that swaps that expect its current revision fail.

    An acceptance that reads the head afterwards also reads the closed proposal.
    """
    for _ in range(ATTEMPTS):
        read = await read_proposal_context(config_store, proposal)
        if isinstance(read, Err):
            continue
        context = read.ok_value
        if context.accepted is not None:
            await mark_accepted(config_store, context.accepted)
            version = context.accepted.version
            message = f"proposal {proposal} was accepted as version {version}"
            return not_run(ErrorCode.CONFLICT, message)
        fenced = await config_store.write_head(context.head.value, context.head.mod_revision)
        if isinstance(fenced, Ok):
            return Ok(context.proposal.value)
    return may_have_run(
        ErrorCode.STORE_UNAVAILABLE, "recorded, but an acceptance under way may win: ask again"
    )


def _with_version(proposal: Proposal, record: VersionRecord) -> Proposal:
    """Return a proposal as accepted by the record of its version."""
    return with_acceptance(proposal, record.version, record.accepted_by, record.accepted_at_s)


def _lost_answer() -> Outcome:
    """Return the failure of a write that may have taken effect."""
    return may_have_run(ErrorCode.STORE_UNAVAILABLE, "the store's answer was lost: ask again")
