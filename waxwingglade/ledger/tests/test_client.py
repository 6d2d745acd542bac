"""Tests of the ledger client on fake links."""

import asyncio
import time
import unittest
from typing import Any
from unittest import mock

from waxwingglade.base import ProgramId, ZoneId
from waxwingglade.follow.model import Replica
from waxwingglade.ledger.client import MAX_BUSY_ANSWERS, REPLICA_TIMEOUT_S, LedgerClient
from waxwingglade.ledger.messages import (
    BeginTurn,
    Busy,
    ConfirmTurn,
    EndNoted,
    EndTurn,
    NoteEnd,
    TurnBegun,
    TurnEnded,
    TurnId,
    Unavailable,
)
from waxwingglade.ledger.tests.builders import end
from waxwingglade.transport.links import LinkFailed

MESSAGE = EndTurn(TurnId("t"), ProgramId("p"), 40)


class FakeLinks:
    """Links whose peers are partitioned, are busy, or answer that a turn has ended."""

    def __init__(self) -> None:
        self.partitioned = True
        self.busy = False
        self.asked: list[Any] = []

    def to(self, address: str) -> "FakeLinks":
        """Return the link to a peer."""
        return self

    async def request(self, body: Any, timeout_s: float) -> Any:
        """Answer a request, or fail."""
        await asyncio.sleep(0)
        if self.partitioned:
            raise LinkFailed("partitioned", sent=True)
        self.asked.append(body)
        return Busy() if self.busy else TurnEnded(True, True)


class MemberlessLinks:
    """Links to replicas; the replica that is asked first has no set of members."""

    def __init__(self) -> None:
        self.asked: list[str] = []

    def to(self, address: str) -> mock.Mock:
        """Return the link to a peer."""

        async def request(_body: Any, _timeout_s: float) -> TurnEnded:
            self.asked.append(address)
            return TurnEnded(False, address != self.asked[0])

        return mock.Mock(request=request)


class RecordingLinks:
    """Links to replicas that record the ends of turns, and do not answer anything else."""

    def __init__(self) -> None:
        self.recorded: dict[str, list[EndTurn]] = {}
        self.unresponsive: set[str] = set()

    def to(self, address: str) -> mock.Mock:
        """Return the link to a peer."""

        async def request(body: Any, _timeout_s: float) -> Any:
            if isinstance(body, NoteEnd) and address not in self.unresponsive:
                self.recorded.setdefault(address, []).append(body.end)
                return EndNoted()
            await asyncio.sleep(20.0)
            return None

        return mock.Mock(request=request)


class NotificationTest(unittest.IsolatedAsyncioTestCase):
    """Every replica is notified of an end if the reservation is not resolved at once."""

    async def asyncSetUp(self) -> None:
        patch = mock.patch("waxwingglade.ledger.client.NOTIFY_DELAY_S", 0.05)
        patch.start()
        self.addCleanup(patch.stop)
        replicas = [Replica(f"disk-{n}", f"vm-{n}", f"a-{n}", ZoneId("zone")) for n in range(3)]
        self.links = RecordingLinks()
        self.client = LedgerClient(self.links, lambda: replicas, ZoneId("zone"))
        self.addAsyncCleanup(self.client.finish, 0.0)
        self.all = {f"a-{n}": [MESSAGE] for n in range(3)}

    async def test_all_replicas_are_notified_at_once_of_an_undecided_turn(self) -> None:
        self.client.resolve_refused(MESSAGE)
        for _ in range(3):
            await asyncio.sleep(0)
        self.assertEqual(self.all, self.links.recorded)

    async def test_a_refusal_waits_until_a_majority_has_recorded_the_end(self) -> None:
        self.links.unresponsive = {"a-0"}
        self.assertTrue(await self.client.wait_until_recorded(self.client.resolve_refused(MESSAGE)))
        self.assertEqual({"a-1", "a-2"}, set(self.links.recorded))

    async def test_a_refusal_does_not_wait_long_for_unresponsive_replicas(self) -> None:
        self.links.unresponsive = {"a-0", "a-1"}
        asked_at = time.monotonic()
        self.assertFalse(
            await self.client.wait_until_recorded(self.client.resolve_refused(MESSAGE))
        )
        self.assertLess(time.monotonic() - asked_at, REPLICA_TIMEOUT_S)

    async def test_a_turn_that_was_not_run_does_not_wait_long_to_be_resolved(self) -> None:
        asked_at = time.monotonic()
        await self.client.resolve_first(MESSAGE)
        self.assertLess(time.monotonic() - asked_at, REPLICA_TIMEOUT_S)
        self.assertEqual(self.all, self.links.recorded, "all replicas are notified meanwhile")

    async def test_all_replicas_are_notified_if_resolving_takes_long(self) -> None:
        self.client.resolve_later(MESSAGE)
        await asyncio.sleep(0.02)
        self.assertEqual({}, self.links.recorded)
        await asyncio.sleep(0.06)
        self.assertEqual(self.all, self.links.recorded)

    async def test_all_replicas_are_notified_of_unresolved_ends_at_shutdown(self) -> None:
        self.client.resolve_later(MESSAGE)
        await asyncio.sleep(0)
        await self.client.finish(0.0)
        self.assertEqual(self.all, self.links.recorded)
        self.assertFalse(self.client.resolving)


class ResolvingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        for name, value in (
            ("RESOLVE_TIMEOUT_S", 0.02),
            ("RESOLVE_PAUSES_S", (0.01, 0.01, 0.05, 30.0)),
        ):
            patch = mock.patch(f"waxwingglade.ledger.client.{name}", value)
            patch.start()
            self.addCleanup(patch.stop)
        self.links = FakeLinks()
        replica = Replica("disk", "vm", "address", ZoneId("zone"))
        self.client = LedgerClient(self.links, lambda: [replica], ZoneId("zone"))

    async def test_shutdown_waits_for_reservations_to_be_resolved(self) -> None:
        self.client.resolve_later(MESSAGE)
        await asyncio.sleep(0.03)
        self.links.partitioned = False
        await self.client.finish(20.0)
        self.assertEqual(self.links.asked, [MESSAGE])
        self.assertFalse(self.client.resolving)

    async def test_a_replica_that_failed_to_resolve_is_asked_last_the_next_time(self) -> None:
        replicas = [Replica(f"disk-{n}", f"vm-{n}", f"a-{n}", ZoneId("zone")) for n in range(2)]
        links = MemberlessLinks()
        client = LedgerClient(links, lambda: replicas, ZoneId("zone"))
        client.resolve_later(MESSAGE)
        await client.finish(20.0)
        self.assertEqual(2, len(links.asked))
        self.assertEqual(2, len(set(links.asked)))

    async def test_a_replica_that_stores_turns_is_not_avoided_for_a_delayed_account(
        self,
    ) -> None:
        replicas = [Replica(f"disk-{n}", f"vm-{n}", f"a-{n}", ZoneId("zone")) for n in range(2)]
        links = mock.Mock()
        links.to.return_value.request = mock.AsyncMock(return_value=TurnEnded(True, False))
        client = LedgerClient(links, lambda: replicas, ZoneId("zone"))
        self.assertTrue(await client.end(end(1), 20.0))
        self.assertEqual({}, client.avoided)
        await client.finish(0.0)

    async def test_a_replica_that_does_not_store_a_turn_is_avoided(self) -> None:
        replicas = [Replica(f"disk-{n}", f"vm-{n}", f"a-{n}", ZoneId("zone")) for n in range(2)]
        links = mock.Mock()
        links.to.return_value.request = mock.AsyncMock(return_value=TurnEnded(False, True))
        client = LedgerClient(links, lambda: replicas, ZoneId("zone"))
        self.assertFalse(await client.end(end(1), 0.0))
        self.assertEqual({"a-0", "a-1"}, set(client.avoided))
        await client.finish(0.0)

    async def test_if_all_failed_recently_the_last_one_to_fail_is_asked_last(self) -> None:
        replicas = [Replica(f"disk-{n}", f"vm-{n}", f"a-{n}", ZoneId("zone")) for n in range(3)]
        links = MemberlessLinks()
        client = LedgerClient(links, lambda: replicas, ZoneId("zone"))
        first = client._in_order(MESSAGE)[0]
        client.avoided = {each.address: client.clock() + 0.9 for each in replicas if each != first}
        client.resolve_later(MESSAGE)
        await client.finish(20.0)
        self.assertEqual(first.address, links.asked[0])
        self.assertNotEqual(first.address, links.asked[1])
        self.assertEqual(2, len(links.asked))

    async def test_shutdown_stops_resolving_at_its_timeout(self) -> None:
        self.client.resolve_later(MESSAGE)
        await self.client.finish(0.02)
        self.assertFalse(self.client.resolving)
        self.links.partitioned = False
        await asyncio.sleep(0.1)
        self.assertEqual(self.links.asked, [])

    async def test_no_more_replicas_are_asked_once_two_are_busy(self) -> None:
        replicas = [Replica(f"disk-{n}", f"vm-{n}", f"a-{n}", ZoneId("zone")) for n in range(5)]
        client = LedgerClient(self.links, lambda: replicas, ZoneId("zone"))
        self.links.partitioned, self.links.busy = False, True
        begin = BeginTurn(TurnId("t"), ProgramId("p"), 40, 100)
        self.assertEqual(await client.begin(begin, 20.0), Busy())
        self.assertEqual(len(self.links.asked), MAX_BUSY_ANSWERS)

    async def test_a_turn_is_stored_though_all_replicas_are_busy_at_first(self) -> None:
        replicas = [Replica(f"disk-{n}", f"vm-{n}", f"a-{n}", ZoneId("zone")) for n in range(3)]
        client = LedgerClient(self.links, lambda: replicas, ZoneId("zone"))
        self.links.partitioned, self.links.busy = False, True
        ending = asyncio.create_task(client.end(end(1), 20.0))
        await asyncio.sleep(0.2)
        self.assertFalse(ending.done())
        self.links.busy = False
        self.assertTrue(await ending)
        asked = [each for each in self.links.asked if isinstance(each, EndTurn) and each.kept]
        self.assertLessEqual(len(asked), 3 * MAX_BUSY_ANSWERS + 1, "replicas are given time")

    async def test_replicas_are_asked_to_store_a_turn_until_its_caller_has_no_time_left(
        self,
    ) -> None:
        replica = Replica("disk", "vm", "address", ZoneId("zone"))
        loop = asyncio.get_running_loop()
        stores_at = loop.time() + 2.35
        links = mock.Mock()

        async def request(_body: Any, _timeout_s: float) -> TurnEnded:
            return TurnEnded(loop.time() >= stores_at, True)

        links.to.return_value.request = request
        client = LedgerClient(links, lambda: [replica], ZoneId("zone"))
        self.assertTrue(await client.end(end(1), 2.8))

    async def test_busy_is_not_returned_if_a_replica_may_have_begun_the_turn(self) -> None:
        replicas = [Replica(f"disk-{n}", f"vm-{n}", f"a-{n}", ZoneId("zone")) for n in range(3)]
        client = LedgerClient(self.links, lambda: replicas, ZoneId("zone"))
        begin = BeginTurn(TurnId("t"), ProgramId("p"), 40, 100)
        asking = asyncio.create_task(client.begin(begin, 0.3))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.links.partitioned, self.links.busy = False, True
        self.assertIsInstance(await asking, Unavailable)
        self.assertTrue(self.links.asked)

    async def test_beginning_a_turn_is_retried_as_long_as_its_caller_has_time(self) -> None:
        """Guards against a refusal at a shorter timeout of the entry."""
        replicas = [Replica(f"disk-{n}", f"vm-{n}", f"a-{n}", ZoneId("zone")) for n in range(3)]
        loop = asyncio.get_running_loop()
        begins_at = loop.time() + 1.4
        links = mock.Mock()

        async def request(_body: Any, _timeout_s: float) -> TurnBegun | Unavailable:
            begun = loop.time() >= begins_at
            return TurnBegun() if begun else Unavailable("no majority in time")

        links.to.return_value.request = mock.AsyncMock(side_effect=request)
        client = LedgerClient(links, lambda: replicas, ZoneId("zone"))
        begin = BeginTurn(TurnId("t"), ProgramId("p"), 40, 100)
        self.assertEqual(TurnBegun(), await client.begin(begin, 3.0))
        self.assertLess(links.to.return_value.request.await_count, 30, "replicas are given time")

    async def test_the_replica_that_began_a_turn_is_asked_first_to_confirm_it(self) -> None:
        replicas = [Replica(f"d{n}", f"vm-{n}", f"a-{n}", ZoneId(f"z{n % 3}")) for n in range(9)]
        client = LedgerClient(self.links, lambda: replicas, ZoneId("z1"))
        for replica in replicas:
            message = ConfirmTurn(TurnId("t"), ProgramId("p"), replica.disk)
            self.assertEqual(replica, client._in_order(message)[0])

    async def test_entries_of_a_zone_ask_the_same_replica_for_a_program(self) -> None:
        replicas = [Replica(f"d{n}", f"vm-{n}", f"a-{n}", ZoneId(f"z{n % 3}")) for n in range(9)]
        first = set()
        for order in (replicas, replicas[::-1]):
            client = LedgerClient(self.links, lambda order=order: order, ZoneId("z1"))
            first.add(client._in_order(MESSAGE)[0])
        self.assertEqual({replica.zone for replica in first}, {"z1"})
        self.assertEqual(len(first), 1)


if __name__ == "__main__":
    unittest.main()
