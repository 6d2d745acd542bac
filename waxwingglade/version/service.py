"""The operations on the configuration that any entry offers to operators.

Every operation may be repeated after a failure.  The proposer chooses the proposal's identifier,
and a repeat reports the result of the first request instead of running again.
"""

from waxwingglade.base import Clock, ConfigVersion, EntryRef, Err, Ok, OperatorId, Outcome, wall
from waxwingglade.settings import Role
from waxwingglade.version.acceptance import AcceptRequest, accept_proposal
from waxwingglade.version.active import ActiveConfig
from waxwingglade.version.config_store import BUCKET_VERSIONS, ConfigKeys, ConfigStore
from waxwingglade.version.proposal import (
    Approval,
    Proposal,
    ProposalId,
    ProposalState,
    with_approval,
    with_closure,
)
from waxwingglade.version.proposal_context import read_known_head, read_proposal_context
from waxwingglade.version.proposing import ProposalRequest, propose_changes
from waxwingglade.version.review import (
    close_proposal,
    current_proposal,
    edit_proposal,
    mark_accepted,
    require_proposer,
    require_role,
)
from waxwingglade.version.snapshot import VersionRecord
from waxwingglade.version.store_api import Store
from waxwingglade.version.tree import Change

HISTORY_LIMIT = 100
"""Default number of versions to show."""


class ConfigService:
    """The operations that one entry offers to operators.

    Parameters
    ----------
    store : Store
        Client of the platform's key-value service.
    entry_ref : EntryRef
        This entry; its name is recorded in accepted versions.
    active : ActiveConfig
        The version in force here; a version that is accepted here comes into force at once.
    keys : ConfigKeys, optional
        Names of the keys in the store.
    clock : Clock
        Wall clock in seconds since 1970, for records and for the hours of rules.
    """

    def __init__(
        self,
        store: Store,
        entry_ref: EntryRef,
        active: ActiveConfig,
        keys: ConfigKeys | None = None,
        clock: Clock = wall,
    ) -> None:
        self.config_store = ConfigStore(store, keys)
        self.entry_ref = entry_ref
        self.active = active
        self.clock = clock

    async def propose(
        self,
        proposal: ProposalId,
        operator: OperatorId,
        base_version: ConfigVersion,
        changes: list[Change],
    ) -> Outcome[Proposal]:
        """Propose changes; a repeat with the same id and content returns the proposal."""
        request = ProposalRequest(proposal, operator, base_version, changes, self.clock())
        return await propose_changes(self.config_store, self.active, request)

    async def approve(
        self, proposal: ProposalId, operator: OperatorId, text_digest: str
    ) -> Outcome[Proposal]:
        """Approve the text with the given digest (`digest_of` of the proposal's text)."""
        approval = Approval(operator, text_digest, self.clock())
        check = require_role(self.config_store, self.active, operator, Role.APPROVER)
        return await edit_proposal(
            self.config_store, proposal, check, lambda each: with_approval(each, approval)
        )

    async def reject(
        self, proposal: ProposalId, operator: OperatorId, reason: str = ""
    ) -> Outcome[Proposal]:
        """Close a proposal as an approver."""
        at_s = self.clock()
        check = require_role(self.config_store, self.active, operator, Role.APPROVER)
        return await close_proposal(
            self.config_store,
            proposal,
            check,
            lambda each: with_closure(each, ProposalState.REJECTED, operator, reason, at_s),
        )

    async def withdraw(self, proposal: ProposalId, operator: OperatorId) -> Outcome[Proposal]:
        """Close a proposal as its proposer."""
        at_s = self.clock()
        return await close_proposal(
            self.config_store,
            proposal,
            require_proposer(operator),
            lambda each: with_closure(each, ProposalState.WITHDRAWN, operator, "", at_s),
        )

    async def accept(self, proposal: ProposalId, operator: OperatorId) -> Outcome[VersionRecord]:
        """Put an approved proposal in force; a repeat returns the version that it became."""
        request = AcceptRequest(proposal, operator, self.entry_ref.entry, self.clock())
        outcome = await accept_proposal(self.config_store, self.active, request)
        if isinstance(outcome, Ok):
            await mark_accepted(self.config_store, outcome.ok_value)
        return outcome

    async def proposal(self, proposal: ProposalId) -> Outcome[Proposal]:
        """Return a proposal in its current state."""
        read = await read_proposal_context(self.config_store, proposal)
        return read if isinstance(read, Err) else Ok(current_proposal(read.ok_value))

    async def proposals(self, state: ProposalState | None = None) -> Outcome[list[Proposal]]:
        """Return the retained proposals as recorded, oldest first, optionally only of one state."""
        listed = await self.config_store.list_proposals()
        if isinstance(listed, Err):
            return listed
        found = [each.value for each in listed.ok_value if state in (None, each.value.state)]
        return Ok(sorted(found, key=lambda each: each.created_at_s))

    async def history(self, limit: int = HISTORY_LIMIT) -> Outcome[list[VersionRecord]]:
        """Return the last accepted versions that are retained, newest first."""
        head = await read_known_head(self.config_store)
        if isinstance(head, Err):
            return head
        versions = [head.ok_value.value.record]
        number = (versions[0].version - 1) // BUCKET_VERSIONS
        while len(versions) < limit and number >= 0:
            bucket = await self.config_store.read_bucket(number)
            if isinstance(bucket, Err):
                return bucket
            newest = versions[-1].version
            older = [each.value for each in bucket.ok_value if each.value.version < newest]
            if not older:
                break
            versions += reversed(older)
            number -= 1
        return Ok(versions[:limit])
