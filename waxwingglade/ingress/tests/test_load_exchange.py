"""Entries that share their loads through members of the ledger."""

import asyncio
import unittest
from typing import Any

from waxwingglade.base import WaxwinggladeError, ZoneId
from waxwingglade.base.tests.daemon_loop import OnDaemonLoop
from waxwingglade.base.tests.failing import failing_once
from waxwingglade.decisions.load_hubs import hub_order
from waxwingglade.decisions.load_sums import LEARNING_S
from waxwingglade.decisions.shared_load import EntryLoad, TargetLoad
from waxwingglade.follow.model import IncarnationName, Replica, ReplicaSet, ServiceName, View
from waxwingglade.ingress.balance import Balancer
from waxwingglade.ingress.dialect import LoadStamp
from waxwingglade.ingress.load_exchange import FIRST_PAUSE_S, LOST_S, MAX_PAUSE_S, LoadExchange
from waxwingglade.ingress.target_state import SHARED_LOAD_FRESH_S
from waxwingglade.ingress.tests.builders import NOTES, call, target, targets
from waxwingglade.ingress.tests.entry_builders import (
    TURNS,
    Behaviour,
    EntryUnderTest,
    FakeTarget,
    until,
)
from waxwingglade.ledger.load_board import LoadBoard
from waxwingglade.ledger.messages import ReportLoad, SharedLoads
from waxwingglade.ledger.tests.log_capture import logged_lines
from waxwingglade.transport.links import LinkServer

ZONE = ZoneId("zone-a")
SERVICE = ServiceName("notes")
A = IncarnationName("a")
MEMBERS = tuple(Replica(f"d{n}", "vm", f"at-{n}", ZONE) for n in range(4))
ORDER = [member.address for member in hub_order(ZONE, MEMBERS)]
WAIT_S = 5.0
"""Most seconds for which tests wait; only a fault exceeds it."""


class LoadExchangeTest(unittest.IsolatedAsyncioTestCase):
    """One entry with two targets, of which others have five requests at the first."""

    def setUp(self) -> None:
        self.now = 128.0
        self.asked: list[str] = []
        self.sent: list[ReportLoad] = []
        self.silent: set[str] = set()
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.balancer = Balancer(ZONE, lambda: self.now)
        self.balancer.update(targets(target("a"), target("b")))
        self.balancer.record_load(target("b"), LoadStamp(4, 0, 8))
        self.exchange = LoadExchange(
            self.balancer, "vm", ZONE, lambda: MEMBERS, self.ask, self.tell, lambda: self.now
        )
        self.addAsyncCleanup(self.exchange.stop)

    async def ask(self, address: str, message: ReportLoad, timeout_s: float) -> Any:
        self.asked.append(address)
        self.sent.append(message)
        await self.may_answer.wait()
        if address in self.silent:
            raise WaxwinggladeError("no answer")
        return SharedLoads({A: TargetLoad(5)})

    def tell(self, address: str, message: ReportLoad) -> None:
        self.assertEqual(self.asked[-1], address)
        self.sent.append(message)

    async def arrive(self, times: int = 1, every_s: float = 0.0) -> None:
        """Let turns arrive, each after the request for loads of the one before has ended."""
        for _ in range(times):
            self.now += every_s
            self.exchange.turn_arrived(SERVICE)
            await asyncio.sleep(0.01)

    def choose(self) -> str:
        choice = self.balancer.choose(NOTES, call(), [])
        assert choice is not None
        return choice.target.target

    def share(self) -> None:
        """Let a target report its stretch, which starts the exchange."""
        self.balancer.record_load(target("a"), LoadStamp(1, 0, 8, stretch=1.0))

    async def test_without_a_stretch_nothing_is_sent_or_changed(self) -> None:
        self.balancer.record_sent(target("a"), call())
        self.balancer.record_end(target("a"), call())
        await self.arrive()
        self.balancer.record_shared({A: TargetLoad(5)}, self.now)
        self.assertEqual(([], "a"), (self.asked, self.choose()))

    async def test_a_turn_goes_where_others_have_least_while_that_is_known(self) -> None:
        self.share()
        self.assertEqual("a", self.choose())
        await self.arrive()
        self.assertEqual("b", self.choose())
        for _ in range(6):
            self.balancer.record_sent(target("b"), call())
        self.assertEqual("a", self.choose())
        for _ in range(6):
            self.balancer.record_end(target("b"), call())
        self.now += SHARED_LOAD_FRESH_S + 0.01
        self.assertEqual("a", self.choose())

    async def test_requests_are_reported_after_an_unforeseen_failure(self) -> None:
        self.share()
        with failing_once(self.balancer, "record_shared"):
            self.balancer.record_sent(target("a"), call())
            self.assertTrue(await until(lambda: len(self.asked) >= 2, WAIT_S))
        with failing_once(self.exchange, "tell"):
            sent = len(self.sent)
            self.assertTrue(await until(lambda: len(self.sent) > sent, WAIT_S))

    async def test_requests_are_reported_while_they_last(self) -> None:
        self.share()
        for _ in range(2):
            self.balancer.record_sent(target("a"), call())
        self.assertTrue(await until(lambda: len(self.sent) >= 2, WAIT_S))
        # A stretch is reported once.
        expected = [{A: EntryLoad(2, stretch=1.0)}, {A: EntryLoad(2)}]
        self.assertEqual(expected, [each.loads for each in self.sent])
        for _ in range(2):
            self.balancer.record_end(target("a"), call())
        self.assertTrue(await until(lambda: self.sent[-1].loads == {}, WAIT_S))
        self.assertEqual(ORDER[:1], self.asked)

    async def test_one_report_at_a_time_and_changes_meanwhile_are_not_lost(self) -> None:
        self.share()
        self.may_answer.clear()
        await self.arrive()
        self.balancer.record_sent(target("a"), call())
        await self.arrive()
        self.assertEqual(1, len(self.sent))
        self.may_answer.set()
        await asyncio.sleep(0.01)
        self.assertEqual(({A: EntryLoad(1)}, True), (self.sent[1].loads, self.sent[1].asks))

    async def test_the_next_member_is_asked_at_once(self) -> None:
        self.share()
        self.silent = {ORDER[0]}
        await self.arrive()
        self.assertEqual("b", self.choose())
        self.silent.clear()
        await self.arrive(every_s=FIRST_PAUSE_S)
        self.assertEqual([*ORDER[:2], ORDER[0]], self.asked)

    async def test_members_that_never_answer_are_asked_rarely_and_a_loss_logged_once(self) -> None:
        self.share()
        await self.arrive()
        self.silent = set(ORDER)
        with logged_lines("load exchange lost") as lost:
            await self.arrive(50, every_s=LOST_S)
        self.assertEqual(1, len(lost))
        self.assertLess(len(self.asked), 3 * (50 * LOST_S / MAX_PAUSE_S + 4))
        self.balancer.record_load(target("b"), LoadStamp(4, 0, 8))
        self.assertEqual("a", self.choose())
        self.silent.clear()
        with logged_lines("load exchange regained") as regained:
            await self.arrive(3, every_s=MAX_PAUSE_S)
        self.assertEqual((1, "b"), (len(regained), self.choose()))


class TwoEntriesTest(unittest.IsolatedAsyncioTestCase):
    """Two entries, two targets and one member, over real connections."""

    async def asyncSetUp(self) -> None:
        self.fakes = [FakeTarget(Behaviour.EVENT_AND_END) for _ in range(2)]
        self.entries = [EntryUnderTest(*self.fakes, timeout_s=WAIT_S) for _ in range(2)]
        self.board = LoadBoard(MEMBERS[0], tuple, lambda *_: None)
        first = self.entries[0].ingress
        self.server = LinkServer(first.context, first.codec, self.report)
        member = Replica("d0", "vm", self.server.start("tcp://127.0.0.1:*"), ZONE)
        view = View(replicas=ReplicaSet(1, (member,), True))
        for number, entry in enumerate(self.entries, 1):
            await entry.start()
            entry.ingress.balancer.uneven_service(SERVICE)
            entry.ingress.cached_view.merge(view, float("-inf"))
            entry.ingress.load_exchange.turn_arrived(SERVICE)
            self.assertTrue(await until(lambda n=number: self.board.sums.entries == n, WAIT_S))
        await asyncio.sleep(LEARNING_S)

    async def asyncTearDown(self) -> None:
        self.board.stop()
        await self.server.stop()
        for entry in self.entries:
            await entry.ingress.load_exchange.stop()
            entry.ingress.links.close()
        for entry in reversed(self.entries):
            await entry.stop()

    @property
    def arrived(self) -> int:
        return sum(len(fake.arrived) for fake in self.fakes)

    async def report(self, message: Any) -> Any:
        """Answer reports, and nothing else."""
        return await self.board.report(message) if isinstance(message, ReportLoad) else None

    async def test_two_entries_use_different_targets(self) -> None:
        # Alone, both would choose the same target for the same request.
        for number, entry in enumerate(self.entries, 1):
            entry.ledger.may_begin.clear()
            asyncio.get_running_loop().call_later(0.1, entry.ledger.may_begin.set)
            connection = await entry.send(TURNS, "r1")
            self.addCleanup(connection.close)
            self.assertTrue(await until(lambda n=number: self.arrived == n, WAIT_S))
            await asyncio.sleep(0.05)
        self.assertEqual([1, 1], [len(fake.arrived) for fake in self.fakes])


class LoadExchangeOnDaemonLoopTest(OnDaemonLoop, LoadExchangeTest):
    """The same tests on the event loop of the daemons."""


class TwoEntriesOnDaemonLoopTest(OnDaemonLoop, TwoEntriesTest):
    """The same test on the event loop of the daemons."""


if __name__ == "__main__":
    unittest.main()
