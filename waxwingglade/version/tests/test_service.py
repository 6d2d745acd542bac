"""Tests of the operations of operators: races, lost answers, outages and approval rules."""

import asyncio
import unittest
from unittest import mock

from waxwingglade.base import ErrorCode, Ok, OperatorId, Verdict
from waxwingglade.version import ProposalId, ProposalState, digest_of
from waxwingglade.version.config_store import Head
from waxwingglade.version.proposal import Proposal
from waxwingglade.version.record import FORMAT, RecordKind, decode_record
from waxwingglade.version.tests.builders import (
    AINO,
    EERO,
    HEAD_KEY,
    HELMI,
    PEKKA,
    make_service,
    propose,
    propose_and_approve,
    seeded_service,
    set_value,
    with_timeout,
)
from waxwingglade.version.tests.fake_store import FakeStore, Fault
from waxwingglade.version.tests.test_record import with_format


class TestService(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = FakeStore()
        self.service = await seeded_service(self.store)
        self.other = make_service(self.store, "entry-2")

    def head(self) -> Head:
        return decode_record(RecordKind.HEAD, self.store.values[HEAD_KEY].value, Head)

    def delay_swaps(self, count: int) -> list[tuple[asyncio.Event, asyncio.Event]]:
        """Delay the next writes of the head; return the events `reached` and `go_on` of each."""
        delayed = [(asyncio.Event(), asyncio.Event()) for _ in range(count)]
        pending = list(delayed)

        async def delay(key):
            if key == HEAD_KEY and pending:
                reached, go_on = pending.pop(0)
                reached.set()
                await go_on.wait()

        self.store.before_write = delay
        return delayed

    async def wait_for_faults(self) -> None:
        while self.store.faults:
            await asyncio.sleep(0)

    async def test_an_approved_proposal_comes_into_force_once(self):
        await propose_and_approve(self.service, "p1", set_value(7))
        record = (await self.service.accept(ProposalId("p1"), PEKKA)).unwrap()
        again = (await self.other.accept(ProposalId("p1"), EERO)).unwrap()
        self.assertEqual((record.version, again), (2, record))
        self.assertEqual(self.head().record.version, 2)
        self.assertEqual(self.service.active.current.version, 2)
        self.assertEqual(self.other.active.current.version, 2)
        proposal = (await self.service.proposal(ProposalId("p1"))).unwrap()
        self.assertEqual((proposal.state, proposal.version), (ProposalState.ACCEPTED, 2))

    async def test_without_approval_nothing_is_accepted(self):
        await propose(self.service, "p1", set_value(7))
        failed = await self.service.accept(ProposalId("p1"), AINO)
        self.assertEqual(failed.err_value.verdict, Verdict.NOT_RUN)
        self.assertEqual(failed.err_value.code, ErrorCode.FORBIDDEN)
        self.assertEqual(self.head().record.version, 1)

    async def test_of_two_concurrent_proposals_on_one_setting_one_is_accepted(self):
        await propose_and_approve(self.service, "p1", set_value(7))
        await propose_and_approve(self.service, "p2", set_value(8))
        outcomes = await asyncio.gather(
            self.service.accept(ProposalId("p1"), PEKKA), self.other.accept(ProposalId("p2"), AINO)
        )
        accepted = [each for each in outcomes if isinstance(each, Ok)]
        failed = [each for each in outcomes if not isinstance(each, Ok)]
        self.assertEqual((len(accepted), len(failed)), (1, 1))
        self.assertEqual(failed[0].err_value.verdict, Verdict.NOT_RUN)
        self.assertEqual(failed[0].err_value.code, ErrorCode.CONFLICT)
        self.assertEqual(self.head().record, accepted[0].ok_value)

    async def test_a_proposal_is_rebased_if_none_of_its_settings_has_changed(self):
        await propose_and_approve(self.service, "p1", set_value(7))
        await propose_and_approve(self.service, "p2", set_value(8.0, "weight"))
        outcomes = await asyncio.gather(
            self.service.accept(ProposalId("p1"), PEKKA), self.other.accept(ProposalId("p2"), AINO)
        )
        self.assertEqual(sorted(each.unwrap().version for each in outcomes), [2, 3])
        history = (await self.other.history()).unwrap()
        self.assertEqual([each.version for each in history], [3, 2, 1])
        self.assertEqual({each.proposal for each in history}, {"p1", "p2", "seed"})

    async def test_two_operators_that_accept_one_proposal_get_the_same_version(self):
        await propose_and_approve(self.service, "p1", set_value(7))
        one, other = await asyncio.gather(
            self.service.accept(ProposalId("p1"), PEKKA), self.other.accept(ProposalId("p1"), AINO)
        )
        self.assertEqual(one.unwrap(), other.unwrap())
        self.assertEqual(self.head().record.version, 2)

    async def test_acceptance_succeeds_in_spite_of_a_lost_answer_to_the_swap(self):
        for number, fault in enumerate((Fault.ANSWER_LOST, Fault.WRITE_LOST, Fault.DELAYED)):
            with self.subTest(fault=fault):
                name, base = f"p{number}", number + 1
                await propose_and_approve(self.service, name, set_value(number), base=base)
                self.store.faults.extend([Fault.NONE, fault])  # the history, then the head
                record = (await self.service.accept(ProposalId(name), PEKKA)).unwrap()
                self.store.apply_delayed()
                self.assertEqual((record.version, self.head().record), (base + 1, record))

    async def test_a_lost_answer_before_an_outage_is_reported_as_uncertain(self):
        for name, fault in (("p1", Fault.ANSWER_LOST), ("p2", Fault.DELAYED)):
            with self.subTest(fault=fault):
                self.store.down = False
                base = self.head().record.version
                await propose_and_approve(self.service, name, set_value(base), base=base)
                self.store.faults.extend([Fault.NONE, fault])
                accepting = asyncio.create_task(self.service.accept(ProposalId(name), PEKKA))
                await with_timeout(self.wait_for_faults())
                self.store.down = True
                outcome = await accepting
                self.assertEqual(outcome.err_value.verdict, Verdict.MAY_HAVE_RUN)
                self.store.down = False
                self.store.apply_delayed()
                record = (await self.other.accept(ProposalId(name), AINO)).unwrap()
                self.assertEqual((record.version, record.accepted_by), (base + 1, PEKKA))
                self.assertEqual(self.head().record.version, base + 1)

    async def test_a_request_that_could_read_nothing_is_reported_as_not_run(self):
        proposal = await propose_and_approve(self.service, "p1", set_value(7))
        self.store.reads_lost = True
        for outcome in (
            await self.service.propose(ProposalId("p2"), PEKKA, 1, [set_value(8)]),
            await self.service.approve(ProposalId("p1"), AINO, digest_of(proposal.text)),
            await self.service.accept(ProposalId("p1"), PEKKA),
            await self.service.proposals(),
        ):
            self.assertEqual(outcome.err_value.verdict, Verdict.NOT_RUN)
        self.assertEqual(self.head().record.version, 1)

    async def test_operations_fail_as_not_run_in_an_outage_and_the_version_stays(self):
        await propose_and_approve(self.service, "p1", set_value(7))
        before = self.service.active.current
        self.store.down = True
        for outcome in (
            await self.service.accept(ProposalId("p1"), PEKKA),
            await self.service.approve(ProposalId("p1"), AINO, "digest"),
            await self.service.propose(ProposalId("p2"), PEKKA, 1, [set_value(9)]),
            await self.service.history(),
        ):
            self.assertEqual(outcome.err_value.verdict, Verdict.NOT_RUN)
            self.assertEqual(outcome.err_value.code, ErrorCode.STORE_UNAVAILABLE)
        self.assertIs(self.service.active.current, before)

    async def test_a_rejection_stops_a_concurrent_acceptance(self):
        await propose_and_approve(self.service, "p1", set_value(7))
        [(reached, go_on)] = self.delay_swaps(1)
        accepting = asyncio.create_task(self.service.accept(ProposalId("p1"), PEKKA))
        await with_timeout(reached.wait())
        rejected = (await self.other.reject(ProposalId("p1"), AINO, "too low")).unwrap()
        go_on.set()
        outcome = await accepting
        self.assertEqual(rejected.state, ProposalState.REJECTED)
        self.assertEqual(outcome.err_value.verdict, Verdict.NOT_RUN)
        self.assertEqual(self.head().record.version, 1)

    async def test_a_rejection_that_comes_too_late_fails_with_a_conflict(self):
        await propose_and_approve(self.service, "p1", set_value(7))
        (swap, let_swap), (fence, let_fence) = self.delay_swaps(2)
        accepting = asyncio.create_task(self.service.accept(ProposalId("p1"), PEKKA))
        await with_timeout(swap.wait())
        rejecting = asyncio.create_task(self.other.reject(ProposalId("p1"), AINO))
        await with_timeout(fence.wait())  # the rejection is recorded, the head not yet rewritten
        let_swap.set()
        record = (await accepting).unwrap()
        let_fence.set()
        outcome = await rejecting
        self.assertEqual(outcome.err_value.code, ErrorCode.CONFLICT)
        self.assertIn(f"accepted as version {record.version}", outcome.err_value.message)
        current = (await self.other.proposal(ProposalId("p1"))).unwrap()
        self.assertEqual(current.state, ProposalState.ACCEPTED)

    async def test_a_rejection_between_the_reads_of_an_acceptance_stops_it(self):
        await propose_and_approve(self.service, "p1", set_value(7))
        reads = 0

        async def reject_before_second_read(key):
            nonlocal reads
            reads += 1
            if reads == 2:
                (await self.other.reject(ProposalId("p1"), AINO)).unwrap()

        self.store.before_read = reject_before_second_read
        outcome = await self.service.accept(ProposalId("p1"), PEKKA)
        self.assertEqual(outcome.err_value.verdict, Verdict.NOT_RUN)
        self.assertEqual(self.head().record.version, 1)

    async def test_operations_without_the_required_role_are_forbidden(self):
        proposal = await propose_and_approve(self.service, "p1", set_value(7))
        stranger = OperatorId("stranger")
        for outcome in (
            await self.service.propose(ProposalId("p2"), stranger, 1, [set_value(8)]),
            await self.service.approve(proposal.id, PEKKA, digest_of(proposal.text)),
            await self.service.reject(proposal.id, PEKKA),
            await self.service.accept(proposal.id, stranger),
        ):
            self.assertEqual(outcome.err_value.verdict, Verdict.NOT_RUN)
            self.assertEqual(outcome.err_value.code, ErrorCode.FORBIDDEN)

    async def test_a_proposal_that_exceeds_the_store_s_limits_is_rejected(self):
        many = [set_value(1, level=f"tenant:customer-{number}") for number in range(8_000)]
        outcome = await self.service.propose(ProposalId("p1"), PEKKA, 1, many)
        self.assertEqual(outcome.err_value.code, ErrorCode.TOO_LARGE)
        with mock.patch("waxwingglade.version.acceptance.MAX_VALUE_BYTES", 100):
            outcome = await self.service.propose(ProposalId("p1"), PEKKA, 1, [set_value(1)])
        self.assertIn("the store holds 100", outcome.err_value.message)

    async def test_number_of_store_calls_for_one_change(self):
        self.store.calls.clear()
        await propose_and_approve(self.service, "p1", set_value(7))
        (await self.service.accept(ProposalId("p1"), PEKKA)).unwrap()
        # Three calls to propose, three for each of two approvals, and six to accept.
        self.assertEqual(self.store.calls, {"read": 9, "write": 6})

    async def test_concurrent_approvals_are_all_stored(self):
        proposal = await propose(self.service, "p1", set_value(7))
        digest = digest_of(proposal.text)
        await asyncio.gather(
            *(self.service.approve(proposal.id, each, digest) for each in (AINO, EERO, HELMI))
        )
        stored = (await self.other.proposal(proposal.id)).unwrap().approvals
        self.assertEqual({each.operator for each in stored}, {AINO, EERO, HELMI})

    async def test_a_proposal_that_can_never_be_approved_is_rejected(self):
        rules = [{"name": "eero", "levels": ["firm"], "operators": ["eero"]}]
        await propose_and_approve(self.service, "p1", set_value(rules, "rules", "approval"))
        (await self.service.accept(ProposalId("p1"), PEKKA)).unwrap()
        outcome = await self.service.propose(ProposalId("p2"), EERO, 2, [set_value(7)])
        self.assertEqual(outcome.err_value.code, ErrorCode.FORBIDDEN)
        await propose(self.service, "p2", set_value(7), base=2)

    async def test_only_the_proposer_may_withdraw_a_proposal(self):
        await propose(self.service, "p1", set_value(7))
        failed = await self.service.withdraw(ProposalId("p1"), AINO)
        self.assertEqual(failed.err_value.code, ErrorCode.FORBIDDEN)
        for _ in range(2):
            withdrawn = (await self.service.withdraw(ProposalId("p1"), PEKKA)).unwrap()
            self.assertEqual(withdrawn.state, ProposalState.WITHDRAWN)
        approval = await self.service.approve(ProposalId("p1"), EERO, digest_of(withdrawn.text))
        self.assertEqual(approval.err_value.code, ErrorCode.CONFLICT)

    async def test_proposals_and_approvals_are_idempotent_on_lost_answers(self):
        self.store.faults.append(Fault.ANSWER_LOST)
        proposal = await propose(self.service, "p1", set_value(7))
        self.assertEqual(await propose(self.other, "p1", set_value(7)), proposal)
        self.store.faults.append(Fault.ANSWER_LOST)
        for _ in range(2):
            outcome = await self.service.approve(proposal.id, EERO, digest_of(proposal.text))
            self.assertEqual([each.operator for each in outcome.unwrap().approvals], [EERO])
        (await self.service.accept(proposal.id, PEKKA)).unwrap()
        retried = await propose(self.other, "p1", set_value(7))
        self.assertEqual(retried.state, ProposalState.ACCEPTED)
        other = await self.service.propose(proposal.id, PEKKA, 1, [set_value(8)])
        self.assertEqual(other.err_value.code, ErrorCode.CONFLICT)

    async def test_a_change_of_the_rules_is_subject_to_the_previous_rules(self):
        rules = set_value([{"name": "all", "approvals": 3}], "rules", "approval")
        await propose_and_approve(self.service, "p1", rules, by=(EERO,))
        failed = await self.service.accept(ProposalId("p1"), PEKKA)
        self.assertEqual(failed.err_value.code, ErrorCode.FORBIDDEN)
        await propose_and_approve(self.service, "p2", set_value(7), by=(EERO,))
        await self.service.approve(ProposalId("p1"), HELMI, digest_of(rules_text(self.store)))
        (await self.service.accept(ProposalId("p1"), PEKKA)).unwrap()
        # This proposal had enough approvals under the old rules, but not under the new ones.
        failed = await self.service.accept(ProposalId("p2"), PEKKA)
        self.assertEqual(failed.err_value.code, ErrorCode.FORBIDDEN)
        self.assertIn("1 of 3", failed.err_value.message)

    async def test_a_proposal_that_makes_a_rule_unusable_is_rejected(self):
        demoted = set_value("viewer", "eero", "operators")
        removed = set_value(None, "helmi", "operators")
        many = set_value([{"name": "many", "approvals": 9}], "rules", "approval")
        for changes in ([many], [demoted, removed]):
            outcome = await self.service.propose(ProposalId("p1"), PEKKA, 1, changes)
            self.assertEqual(outcome.err_value.verdict, Verdict.NOT_RUN)
            self.assertIn("never be met", outcome.err_value.message)
        # Each change alone leaves two operators who can approve proposals of pekka or aino.
        await propose(self.service, "p1", demoted)
        await propose(self.service, "p2", removed)

    async def test_of_two_changes_that_together_make_a_rule_unusable_one_is_accepted(self):
        await propose_and_approve(self.service, "p1", set_value("viewer", "eero", "operators"))
        await propose_and_approve(
            self.service, "p3", set_value(None, "helmi", "operators"), by=(AINO, EERO, HELMI)
        )
        (await self.service.accept(ProposalId("p1"), PEKKA)).unwrap()
        failed = await self.service.accept(ProposalId("p3"), PEKKA)
        self.assertIn("never be met", failed.err_value.message)

    async def test_a_record_of_a_newer_format_is_rejected_and_not_modified(self):
        await propose_and_approve(self.service, "p1", set_value(7))
        for key in (HEAD_KEY, "config/proposals/p1"):
            with self.subTest(key=key):
                present = self.store.values[key]
                newer = with_format(present.value, FORMAT + 1)
                self.store.apply(key, newer, present.mod_revision)
                for outcome in (
                    await self.service.accept(ProposalId("p1"), PEKKA),
                    await self.service.reject(ProposalId("p1"), AINO),
                    await self.service.approve(ProposalId("p1"), AINO, "digest"),
                ):
                    self.assertEqual(outcome.err_value.verdict, Verdict.NOT_RUN)
                    self.assertEqual(outcome.err_value.code, ErrorCode.VERSION)
                    self.assertIn("format 2", outcome.err_value.message)
                self.assertEqual(self.store.values[key].value, newer)
                self.store.apply(key, present.value, self.store.values[key].mod_revision)


def rules_text(store: FakeStore) -> str:
    """Return the text of proposal p1."""
    return decode_record(
        RecordKind.PROPOSAL, store.values["config/proposals/p1"].value, Proposal
    ).text


if __name__ == "__main__":
    unittest.main()
