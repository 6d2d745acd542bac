"""Creation of proposals: a change is checked against the version in force and recorded once."""

import msgspec

from waxwingglade.base import (
    ConfigVersion,
    Err,
    ErrorCode,
    Ok,
    OperatorId,
    Outcome,
    SettingsError,
    may_have_run,
    not_run,
)
from waxwingglade.base.ids import CALL_ID_PATTERN
from waxwingglade.settings import Role
from waxwingglade.version.acceptance import ATTEMPTS, check_result, conflicting_version
from waxwingglade.version.active import ActiveConfig
from waxwingglade.version.approval import has_role, never_met_reasons
from waxwingglade.version.config_store import ConfigStore, is_conflict, is_uncertain
from waxwingglade.version.proposal import Proposal, ProposalId, change_text
from waxwingglade.version.proposal_context import read_known_head, versions_since
from waxwingglade.version.snapshot import ConfigSnapshot, VersionRecord
from waxwingglade.version.tree import Change, apply_changes, check_changes, stored_form

MAX_PROPOSAL_BYTES = 256_000


class ProposalRequest(msgspec.Struct, frozen=True):
    """A change that an operator proposes, based on the version `base_version`."""

    id: ProposalId
    proposer: OperatorId
    base_version: ConfigVersion
    changes: list[Change]
    at_s: float


async def propose_changes(
    config_store: ConfigStore, active: ActiveConfig, request: ProposalRequest
) -> Outcome[Proposal]:
    """Record a proposal once; a repeat of the same request returns the proposal."""
    if not CALL_ID_PATTERN.match(request.id):
        return not_run(ErrorCode.BAD_REQUEST, f"`{request.id}` is not an id for a proposal")
    found = await config_store.read_proposal(request.id)
    if isinstance(found, Err):
        return found
    if found.ok_value is not None:
        return _same_or_conflict(found.ok_value.value, request)
    checked = await _checked_proposal(config_store, active, request)
    if isinstance(checked, Err):
        return checked
    return await _create(config_store, checked.ok_value, request)


async def _checked_proposal(
    config_store: ConfigStore, active: ActiveConfig, request: ProposalRequest
) -> Outcome[Proposal]:
    """Return the proposal for a request, if the proposal can ever be accepted."""
    head = await read_known_head(config_store)
    if isinstance(head, Err):
        return head
    loaded = await config_store.load(head.ok_value.value, active.current)
    if isinstance(loaded, Err):
        return loaded
    since = await versions_since(config_store, head.ok_value.value, request.base_version)
    if isinstance(since, Err):
        return since
    checked = _check_changes(loaded.ok_value, request, since.ok_value)
    if isinstance(checked, Err):
        return checked
    changes = checked.ok_value
    text = change_text(loaded.ok_value.tree, changes)
    return Ok(
        Proposal(request.id, request.base_version, request.proposer, changes, text, request.at_s)
    )


def _check_changes(
    current: ConfigSnapshot, request: ProposalRequest, since: list[VersionRecord]
) -> Outcome[list[Change]]:
    """Return a request's changes in stored form, if its proposer may make them."""
    if request.base_version > current.version:
        return not_run(ErrorCode.BAD_REQUEST, f"there is no version {request.base_version} yet")
    if not has_role(current.tree, request.proposer, Role.PROPOSER):
        return not_run(ErrorCode.FORBIDDEN, f"operator {request.proposer} may not propose")
    try:
        changes = check_changes(current.tree, request.changes)
    except SettingsError as error:
        return not_run(ErrorCode.BAD_REQUEST, str(error))
    conflicting = conflicting_version(changes, since)
    if conflicting is not None:
        return not_run(ErrorCode.CONFLICT, f"version {conflicting.version} changed the same")
    reasons = never_met_reasons(current.tree, changes, request.proposer)
    if reasons:
        return not_run(ErrorCode.FORBIDDEN, "; ".join(reasons))
    return _check_size_and_result(current, changes)


def _check_size_and_result(current: ConfigSnapshot, changes: list[Change]) -> Outcome[list[Change]]:
    """Return the changes if they can be stored and the resulting tree can be changed further."""
    if len(msgspec.msgpack.encode(changes)) > MAX_PROPOSAL_BYTES:
        return not_run(ErrorCode.TOO_LARGE, f"a proposal may take {MAX_PROPOSAL_BYTES} bytes")
    after = apply_changes(current.tree, changes)
    problem = check_result(after, ConfigVersion(current.version + 1))
    if problem is not None:
        return not_run(ErrorCode.BAD_REQUEST, problem)
    return Ok(changes)


async def _create(
    config_store: ConfigStore, proposal: Proposal, request: ProposalRequest
) -> Outcome[Proposal]:
    """Write a new proposal; if the same proposal has been written by now, return that one."""
    uncertain = False
    for _ in range(ATTEMPTS):
        written = await config_store.write_proposal(proposal, 0)
        if isinstance(written, Ok):
            return Ok(proposal)
        uncertain = uncertain or is_uncertain(written)
        if not uncertain and not is_conflict(written):
            return written
        found = await config_store.read_proposal(request.id)
        if isinstance(found, Ok) and found.ok_value is not None:
            return _same_or_conflict(found.ok_value.value, request)
    return may_have_run(ErrorCode.STORE_UNAVAILABLE, "the store's answer was lost: ask again")


def _same_or_conflict(present: Proposal, request: ProposalRequest) -> Outcome[Proposal]:
    """Return the existing proposal if `request` is a repeat of the request that created it."""
    try:
        changes = stored_form(request.changes)
    except SettingsError as error:
        return not_run(ErrorCode.BAD_REQUEST, str(error))
    same = (
        present.proposer == request.proposer
        and present.base_version == request.base_version
        and present.changes == changes
    )
    if same:
        return Ok(present)
    return not_run(ErrorCode.CONFLICT, f"proposal {present.id} exists with another content")
