"""Proposals: changes that operators have proposed, with their approvals and states."""

import hashlib
from enum import Enum
from typing import NewType

import msgspec

from waxwingglade.base import ConfigVersion, ErrorCode, Ok, OperatorId, Outcome, not_run
from waxwingglade.version.tree import Change, Tree, override_of

ProposalId = NewType("ProposalId", str)

INHERITED = "(inherited)"


class ProposalState(Enum):
    """State of a proposal; all states except OPEN are final."""

    OPEN = "open"
    ACCEPTED = "accepted"
    REJECTED = "rejected"
    WITHDRAWN = "withdrawn"


class Approval(msgspec.Struct, frozen=True):
    """One operator's approval of the text of a change.

    `text_digest` is `digest_of` of the text that the operator has read.
    """

    operator: OperatorId
    text_digest: str
    at_s: float


class Proposal(msgspec.Struct, frozen=True):
    """A proposed change.

    Parameters
    ----------
    id : ProposalId
        Identifier chosen by the proposer, so that a retry is recognised.
    base_version : ConfigVersion
        Version on which the proposer based the change.
    proposer : OperatorId
        Operator who proposed the change, and who may not approve it.
    changes : list of Change
        Overrides to set or remove; they are never changed afterwards.
    text : str
        The change as text: a line for each override with its old and new value.
    created_at_s, closed_at_s : float
        Seconds since 1970.
    closed_by, reason : OperatorId, str
        Operator who accepted, rejected or withdrew the proposal, and the reason.
    version : ConfigVersion or None
        Version that the proposal became.
    """

    id: ProposalId
    base_version: ConfigVersion
    proposer: OperatorId
    changes: list[Change]
    text: str
    created_at_s: float
    approvals: list[Approval] = []
    state: ProposalState = ProposalState.OPEN
    closed_by: OperatorId | None = None
    closed_at_s: float | None = None
    reason: str = ""
    version: ConfigVersion | None = None


def change_text(tree: Tree, changes: list[Change]) -> str:
    """Return changes as text with the old values of `tree`; the order of changes is irrelevant."""
    lines = []
    for change in sorted(changes, key=lambda each: (each.level, each.setting)):
        old = _as_text(override_of(tree, change.level, change.setting))
        new = _as_text(change.value)
        lines.append(f"{change.level} {change.setting}: {old} -> {new}")
    return "\n".join(lines)


def digest_of(text: str) -> str:
    """Return the digest with which an approval identifies the text of a change."""
    return hashlib.sha256(text.encode()).hexdigest()


def touched_settings(changes: list[Change]) -> set[tuple[str, str]]:
    """Return the levels and settings that are changed."""
    return {(change.level, change.setting) for change in changes}


def with_approval(proposal: Proposal, approval: Approval) -> Outcome[Proposal]:
    """Return the proposal with another approval, or unchanged if the operator has approved it."""
    if any(given.operator == approval.operator for given in proposal.approvals):
        return Ok(proposal)
    if proposal.state is not ProposalState.OPEN:
        return not_run(ErrorCode.CONFLICT, f"proposal {proposal.id} is {proposal.state.value}")
    if approval.operator == proposal.proposer:
        return not_run(ErrorCode.FORBIDDEN, "a proposer may not approve their own proposal")
    if approval.text_digest != digest_of(proposal.text):
        return not_run(ErrorCode.CONFLICT, "the text approved is not that of the proposal")
    approvals = [*proposal.approvals, approval]
    return Ok(msgspec.structs.replace(proposal, approvals=approvals))


def with_closure(
    proposal: Proposal, state: ProposalState, operator: OperatorId, reason: str, at_s: float
) -> Outcome[Proposal]:
    """Return the proposal as rejected or withdrawn, or unchanged if it already is."""
    if proposal.state is state:
        return Ok(proposal)
    if proposal.state is not ProposalState.OPEN:
        return not_run(ErrorCode.CONFLICT, f"proposal {proposal.id} is {proposal.state.value}")
    return Ok(
        msgspec.structs.replace(
            proposal, state=state, closed_by=operator, closed_at_s=at_s, reason=reason
        )
    )


def with_acceptance(
    proposal: Proposal, version: ConfigVersion, operator: OperatorId, at_s: float
) -> Proposal:
    """Return the proposal as accepted, whatever its recorded state is."""
    return msgspec.structs.replace(
        proposal,
        state=ProposalState.ACCEPTED,
        version=version,
        closed_by=operator,
        closed_at_s=at_s,
    )


def _as_text(value: object) -> str:
    """Return a value as text in one line."""
    if value is None:
        return INHERITED
    return msgspec.json.encode(value, order="sorted").decode()
