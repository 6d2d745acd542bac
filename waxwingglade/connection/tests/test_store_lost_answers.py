"""Tests of writes whose answer is lost or which the network delivers late."""

import asyncio
import unittest
from unittest import mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingglade.base import ErrorCode, Verdict
from waxwingglade.connection import KeyValue, StoreClient, store_backoff
from waxwingglade.connection.tests.store_builders import (
    UNLIMITED_RATE,
    StoreTestCase,
    ok,
    refusal,
    store_settings,
    write_directly,
)
from waxwingglade.standins import Outage, StoreFaults, StoreLimits, StoreStandin


class LostAnswerTest(StoreTestCase):
    """Calls with lost answers or late copies, and writes of other clients before the repeat."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # The client now has a lease for its markers, so the faults affect the write itself.
        self.revision = await ok(self.client.put_if("a", b"0", 0))

    async def test_a_write_that_took_effect_is_a_success(self) -> None:
        await self.set_faults(lost_answers=2)
        revision = await ok(self.client.put_if("a", b"1", self.revision))
        item = await ok(self.client.get("a"))
        self.assertEqual((item.value, item.mod_revision, item.version), (b"1", revision, 2))

    async def test_a_write_overwritten_before_the_repeat_is_a_success(self) -> None:
        await self.set_faults(lost_answers=1)
        writing = asyncio.create_task(self.client.put_if("a", b"1", self.revision))
        await self.standin.changed.wait()
        took_effect_at = self.standin.state.revision
        write_directly(self.standin, "a", b"2")
        self.assertEqual(await ok(writing), took_effect_at)
        self.assertEqual((await ok(self.client.get("a"))).value, b"2")

    async def test_a_refused_write_whose_answer_is_lost_stays_refused(self) -> None:
        await self.set_faults(lost_answers=2)
        refused = await refusal(self.client.put_if("a", b"1", 0))
        self.assertEqual(refused, (Verdict.NOT_RUN, ErrorCode.CONFLICT))

    async def test_a_late_copy_of_a_refused_write_changes_nothing(self) -> None:
        await self.set_faults(held_writes=1)
        refused = await self.client.put_if("a", b"1", 0)
        self.assertIs(refused.unwrap_err().code, ErrorCode.CONFLICT)
        await ok(self.client.delete_if("a", self.revision))
        await self.set_faults(release_held=True)
        self.assertIsNone(await ok(self.client.get("a")))

    async def test_a_late_copy_of_a_write_that_took_effect_changes_nothing(self) -> None:
        for expired in (False, True):
            with self.subTest(markers_expired=expired):
                await self.set_faults(held_writes=1)
                revision = await ok(self.client.put_if("b", b"1", 0))
                await ok(self.client.delete_if("b", revision))
                await self.set_faults(lapse_all_leases=expired)
                await self.set_faults(release_held=True)
                self.assertIsNone(await ok(self.client.get("b")))

    async def test_a_delete_that_took_effect_is_a_success(self) -> None:
        await self.set_faults(lost_answers=2)
        await ok(self.client.delete_if("a", self.revision))

    async def test_a_write_is_uncertain_while_the_store_is_unreachable(self) -> None:
        self.client.retry_limit_s = 0.05
        await self.set_faults(lost_answers=1000)
        refused = await refusal(self.client.put_if("a", b"1", self.revision))
        self.assertEqual(refused, (Verdict.MAY_HAVE_RUN, ErrorCode.STORE_UNAVAILABLE))

    async def test_a_write_is_uncertain_if_connections_are_refused_after_a_lost_answer(
        self,
    ) -> None:
        self.client.retry_limit_s = 0.05
        await self.set_faults(lost_answers=2)
        writing = asyncio.create_task(self.client.put_if("a", b"1", self.revision))
        await self.standin.changed.wait()
        await self.set_faults(outage=Outage.REFUSE)
        self.assertIs((await writing).unwrap_err().verdict, Verdict.MAY_HAVE_RUN)

    async def test_a_write_whose_markers_have_expired_is_uncertain(self) -> None:
        await self.set_faults(lapse_all_leases=True)
        failure = (await self.client.put_if("a", b"1", self.revision)).unwrap_err()
        self.assertIs(failure.verdict, Verdict.MAY_HAVE_RUN)
        await ok(self.client.put_if("a", b"1", self.revision))

    async def test_a_lease_is_granted_after_lost_answers(self) -> None:
        await self.set_faults(lost_answers=2)
        lease = await ok(self.client.grant_lease(10))
        self.assertIn(lease.id, self.standin.state.leases)


class Step(msgspec.Struct, frozen=True):
    """A write or deletion by one client, or by two concurrently, and the faults during it."""

    key: str
    is_delete: bool
    is_stale: bool
    is_race: bool
    faults: StoreFaults


FAULTS = st.builds(
    StoreFaults,
    lost_answers=st.integers(0, 3),
    held_writes=st.integers(0, 2),
    release_held=st.sampled_from([False, False, False, True]),
)
STEPS = st.lists(st.builds(Step, key=st.sampled_from("ab"), faults=FAULTS), max_size=16)


class AnswersTest(unittest.TestCase):
    """The final state of the store agrees with the answers, despite lost and late messages."""

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(steps=STEPS)
    def test_final_state_equals_the_answers(self, steps: list[Step]) -> None:
        with mock.patch.object(store_backoff, "FIRST_PAUSE_S", 0.0005):
            asyncio.run(self.run_steps(steps))

    async def run_steps(self, steps: list[Step]) -> None:
        standin = StoreStandin(StoreLimits(UNLIMITED_RATE, UNLIMITED_RATE))
        await standin.start()
        clients = [StoreClient(store_settings(standin.url)) for _ in range(2)]
        known: dict[str, KeyValue] = {}
        try:
            for client in clients:
                (await client.ensure_marker_lease()).unwrap()
            for number, step in enumerate(steps):
                await standin.set_faults(step.faults)
                await self.run_step(clients[: 1 + step.is_race], known, step, number)
            await standin.set_faults(StoreFaults(release_held=True))
            found = (await clients[0].list("")).unwrap()
            state = {item.key: (item.value, item.mod_revision) for item in found.items}
            expected_state = {item.key: (item.value, item.mod_revision) for item in known.values()}
            self.assertEqual(state, expected_state)
        finally:
            for client in clients:
                await client.close()
            await standin.stop()

    async def run_step(
        self, clients: list[StoreClient], known: dict[str, KeyValue], step: Step, number: int
    ) -> None:
        """Write or delete the same key with every client, and update `known` from the answers."""
        key = step.key
        last = known[key].mod_revision if key in known else 0
        expected = last + 1000 if step.is_stale else last
        is_delete = step.is_delete and last > 0
        values = [f"{number}-{writer}".encode() for writer in range(len(clients))]
        calls = [
            client.delete_if(key, expected) if is_delete else client.put_if(key, value, expected)
            for client, value in zip(clients, values, strict=True)
        ]
        outcomes = await asyncio.gather(*calls)
        winners = [n for n, outcome in enumerate(outcomes) if outcome.is_ok()]
        self.assertEqual(len(winners), 0 if step.is_stale else 1)
        for outcome in outcomes:
            if outcome.is_err():
                self.assertIs(outcome.unwrap_err().verdict, Verdict.NOT_RUN)
        if winners and is_delete:
            del known[key]
        elif winners:
            known[key] = KeyValue(key, values[winners[0]], outcomes[winners[0]].unwrap())
