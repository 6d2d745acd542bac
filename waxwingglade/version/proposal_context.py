"""A consistent read of a proposal, the version in force, and the versions since its base."""

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
        The head, read before the proposal.  A rejection or withdrawal writes the proposal first and
        then the head, so an acceptance either reads the closed proposal or fails to swap the head.
    proposal : Stored of Proposal
        The proposal as recorded; the record may not show an acceptance yet.
    since : list of VersionRecord
        The versions after the proposal's base.
    accepted : VersionRecord or None
        The version that the proposal became.  Only this shows reliably whether it was accepted.
    """

    head: Stored[Head]
    proposal: Stored[Proposal]
    since: list[VersionRecord]
    accepted: VersionRecord | None


async def read_known_head(config_store: ConfigStore) -> Outcome[Stored[Head]]:
    """Return the head; it is a failure if the store has none yet."""
    head = await config_store.read_head()
    if isinstance(head, Err):
        return head
    if head.ok_value is None:
        return not_run(ErrorCode.NOT_FOUND, "the store holds no configuration yet")
    return Ok(head.ok_value)


async def read_proposal_context(
    config_store: ConfigStore, proposal: ProposalId
) -> Outcome[ProposalContext]:
    """Read the head, then a proposal, then the versions since the proposal's base."""
    head = await read_known_head(config_store)
    if isinstance(head, Err):
        return head
    found = await config_store.read_proposal(proposal)
    if isinstance(found, Err):
        return found
    if found.ok_value is None:
        return not_run(ErrorCode.NOT_FOUND, f"there is no proposal {proposal}")
    since = await versions_since(
        config_store, head.ok_value.value, found.ok_value.value.base_version
    )
    if isinstance(since, Err):
        return _from_record(found.ok_value, since)
    accepted = next((each for each in since.ok_value if each.proposal == proposal), None)
    return Ok(ProposalContext(head.ok_value, found.ok_value, since.ok_value, accepted))


async def versions_since(
    config_store: ConfigStore, head: Head, base: ConfigVersion
) -> Outcome[list[VersionRecord]]:
    """Return the versions after `base`, including the one in force."""
    if base >= head.record.version:
        return Ok([])
    between = await config_store.read_versions(base + 1, head.record.version - 1)
    if isinstance(between, Err):
        return between
    return Ok([*between.ok_value, head.record])


def _from_record(proposal: Stored[Proposal], failure: Err) -> Outcome[ProposalContext]:
    """Return the failure for a proposal whose base is older than the retained history.

    Only the proposal's own record can then show whether it was accepted.
    """
    decided = proposal.value
    if failure.err_value.code is not ErrorCode.NOT_FOUND:
        return failure
    if decided.state is ProposalState.ACCEPTED and decided.version is not None:
        return not_run(
            ErrorCode.CONFLICT,
            f"proposal {decided.id} was accepted as version {decided.version}",
        )
    # The proposal may have been accepted without its record showing it; this is now unknown.
    return may_have_run(ErrorCode.NOT_FOUND, f"{failure.err_value.message}: propose anew")
