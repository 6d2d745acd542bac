"""Members of the ledger that tell one another the loads of their entries."""

import asyncio
import unittest

from waxwingglade.base import ZoneId
from waxwingglade.base.tasks import run_detached
from waxwingglade.base.tests.daemon_loop import OnDaemonLoop
from waxwingglade.decisions.load_hubs import hubs_of
from waxwingglade.decisions.load_sums import LEARNING_S, MEMBER_EXPIRY_S
from waxwingglade.decisions.shared_load import EntryLoad
from waxwingglade.follow.model import IncarnationName
from waxwingglade.follow.model import Replica as Member
from waxwingglade.ledger.load_board import HEARD_S, UNHEARD_INTERVAL_S, LoadBoard
from waxwingglade.ledger.messages import MergeLoads, ReportLoad, SharedLoads

A = IncarnationName("a@1")
ZONES = ("zone-0", "zone-1", "zone-2", "zone-0")
MEMBERS = {f"d{n}": Member(f"d{n}", "vm", "at", ZoneId(zone)) for n, zone in enumerate(ZONES)}
HUBS = [hub.disk for hub in hubs_of(MEMBERS.values())]


class LoadBoardTest(unittest.IsolatedAsyncioTestCase):
    """Members that a test can silence; each hub has one entry with two requests."""

    def setUp(self) -> None:
        self.now = 128.0
        self.silent: set[str] = set()
        self.told: list[tuple[str, str]] = []
        self.boards = {disk: self.board(disk) for disk in MEMBERS}

    def board(self, disk: str) -> LoadBoard:
        return LoadBoard(MEMBERS[disk], MEMBERS.values, self.tell, lambda: self.now)

    def tell(self, member: Member, message: MergeLoads) -> None:
        self.told.append((message.member, member.disk))
        if not {member.disk, message.member} & self.silent:
            run_detached(self.boards[member.disk].merge(message))

    async def pass_time(self, seconds: float, *disks: str) -> None:
        """Let time pass, while the entries of some members report again and again."""
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            for disk in disks:
                await self.boards[disk].report(ReportLoad(f"entry of {disk}", {A: EntryLoad(2)}))
            for board in self.boards.values():
                board.update()
            await asyncio.sleep(0)
            await asyncio.sleep(0)

    async def in_flight(self, *disks: str) -> list[int]:
        """Return what entries without requests learn from some members."""
        loads = []
        for disk in disks:
            answer = await self.boards[disk].report(ReportLoad("idle", asks=True))
            assert answer is not None and answer.loads is not None
            loads.append(answer.loads[A].in_flight)
        return loads

    async def test_entries_of_all_zones_learn_of_one_another(self) -> None:
        await self.pass_time(LEARNING_S + 0.2, *HUBS)
        self.assertEqual([6, 6, 6], await self.in_flight(*HUBS))
        await self.boards[HUBS[0]].report(ReportLoad(f"entry of {HUBS[0]}"))
        await asyncio.sleep(0.1)
        self.assertEqual([4, 4, 4], await self.in_flight(*HUBS))

    async def test_a_hub_tells_nothing_until_it_knows_its_entries(self) -> None:
        answer = await self.boards[HUBS[0]].report(ReportLoad("e1", asks=True))
        self.assertEqual(SharedLoads(), answer)

    async def test_a_member_that_ended_counts_no_longer_and_its_successor_does(self) -> None:
        lost, *others = HUBS
        (second,) = set(MEMBERS) - set(HUBS)
        await self.pass_time(LEARNING_S + 0.2, *HUBS)
        self.silent.add(lost)
        await self.pass_time(MEMBER_EXPIRY_S + 0.3, *others)
        self.assertEqual([4, 4], await self.in_flight(*others))
        await self.pass_time(LEARNING_S + 0.2, second, *others)
        self.assertEqual([6, 6, 6], await self.in_flight(second, *others))

    async def test_a_member_that_restarted_learns_within_a_report_interval(self) -> None:
        restarted, *others = HUBS
        await self.pass_time(1.0, *others)
        self.boards[restarted] = self.board(restarted)
        await self.pass_time(LEARNING_S + 0.2, *HUBS)
        self.assertEqual([6], await self.in_flight(restarted))

    async def test_a_member_that_does_not_report_is_told_rarely(self) -> None:
        self.silent.add(HUBS[0])
        await self.pass_time(2 * UNHEARD_INTERVAL_S, *HUBS[1:])
        self.assertLessEqual(self.told.count((HUBS[1], HUBS[0])), 3)
        self.assertGreater(self.told.count((HUBS[1], HUBS[2])), 20)

    async def test_members_without_entries_send_nothing(self) -> None:
        await self.pass_time(0.1, *HUBS)
        await self.pass_time(HEARD_S)
        self.told.clear()
        await self.pass_time(HEARD_S)
        self.assertEqual([], self.told)


class LoadBoardOnDaemonLoopTest(OnDaemonLoop, LoadBoardTest):
    """The same tests on the event loop of the daemons."""


if __name__ == "__main__":
    unittest.main()
