"""What the store says about a proposal at one moment, acceptance included."""

import msgspec

from waxwingglade.base import ConfigVersion, Err, ErrorCode, Ok, Outcome, may_have_run, not_run
from waxwingglade.version.config_store import ConfigStore, Head, Stored
from waxwingglade.version.proposal import Proposal, ProposalId, ProposalState
from waxwingglade.version.snapshot import VersionRecord


class ProposalContext(msgspec.Struct, frozen=True):
    """A proposal and the version in force.

    Parameters
    ----------
    head : Stored of Head
        Read before the proposal, so that a decision that is in the proposal's record before the
        head is swapped is always seen.
    proposal : Stored of Proposal
        As recorded; the record may lag behind an acceptance.
    since : list of VersionRecord
        The versions after the proposal's base.
    accepted : VersionRecord or None
        The version that the proposal became.  Only this tells whether it was accepted.
    """

    head: Stored[Head]
    proposal: Stored[Proposal]
    since: list[VersionRecord]
    accepted: VersionRecord | None


async def read_known_head(records: ConfigStore) -> Outcome[Stored[Head]]:
    """Return the version in force; that there is none yet is a failure."""
    head = await records.read_head()
    if isinstance(head, Err):
        return head
    if head.ok_value is None:
        return not_run(ErrorCode.NOT_FOUND, "the store holds no configuration yet")
    return Ok(head.ok_value)


async def read_proposal_context(
    records: ConfigStore, proposal: ProposalId
) -> Outcome[ProposalContext]:
    """Read the version in force, then a proposal, then the versions since its base."""
    head = await read_known_head(records)
    if isinstance(head, Err):
        return head
    found = await records.read_proposal(proposal)
    if isinstance(found, Err):
        return found
    if found.ok_value is None:
        return not_run(ErrorCode.NOT_FOUND, f"there is no proposal {proposal}")
    since = await versions_since(records, head.ok_value.value, found.ok_value.value.base_version)
    if isinstance(since, Err):
        return _from_record(found.ok_value, since)
    accepted = next((each for each in since.ok_value if each.proposal == proposal), None)
    return Ok(ProposalContext(head.ok_value, found.ok_value, since.ok_value, accepted))


async def versions_since(
    records: ConfigStore, head: Head, base: ConfigVersion
) -> Outcome[list[VersionRecord]]:
    """Return the versions after `base`, the one in force included."""
    if base >= head.record.version:
        return Ok([])
    between = await records.read_versions(base + 1, head.record.version - 1)
    if isinstance(between, Err):
        return between
    return Ok([*between.ok_value, head.record])


def _from_record(proposal: Stored[Proposal], failure: Err) -> Outcome[ProposalContext]:
    """Return what a proposal's own record says where the history no longer reaches its base."""
    decided = proposal.value
    if failure.err_value.code is not ErrorCode.NOT_FOUND:
        return failure
    if decided.state is ProposalState.ACCEPTED and decided.version is not None:
        return not_run(
            ErrorCode.CONFLICT,
            f"proposal {decided.id} was accepted as version {decided.version}",
        )
    # An acceptance whose mark on the record was lost can no longer be looked up.
    return may_have_run(ErrorCode.NOT_FOUND, f"{failure.err_value.message}: propose anew")
