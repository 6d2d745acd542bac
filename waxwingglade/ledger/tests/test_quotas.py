"""Limits of client accounts at the members of the ledger: never above, whoever is killed or cut."""

import random
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from waxwingglade.base import ConfigVersion, ZoneId
from waxwingglade.decisions.quota import QuotaRules
from waxwingglade.follow.feed import CachedView
from waxwingglade.follow.model import (
    ClientAccount,
    ClientAccountId,
    Configuration,
    ReplicaSet,
    View,
)
from waxwingglade.follow.model import Replica as Member
from waxwingglade.ledger.client import LedgerClient
from waxwingglade.ledger.messages import (
    BeginProgram,
    BeginTurn,
    QuotaSpent,
    QuotaTaken,
    TakeQuota,
    TurnBegun,
    TurnId,
    Unavailable,
)
from waxwingglade.ledger.quotas import MAX_VIEW_AGE_S, Granted, Quotas
from waxwingglade.ledger.replica import Replica
from waxwingglade.transport.links import LinkFailed

SHOP = ClientAccountId("shop")
RULES = QuotaRules(window_s=5.0, excess=0.1, slack=20.0)
RATE, BURST = 8.0, 8.0
MOST = RULES.most(RATE, BURST)
TAKE = TakeQuota(SHOP)


def configured(version: int = 1, rate_per_s: float = RATE) -> Configuration:
    """Return a configuration with one client account."""
    account = ClientAccount(SHOP, rate_per_s=rate_per_s, burst=BURST)
    return Configuration(ConfigVersion(version), (), (), accounts=(account,))


class Counter:
    """One member: its disk, what it believes, and its counts, on a clock of the test's."""

    def __init__(self, test: "QuotasTest", vm: str, bootstrap: bool = True) -> None:
        self.test = test
        self.vm = vm
        self.folder = Path(test.folder.name) / vm
        self.folder.mkdir()
        self.beliefs = CachedView(lambda: test.now)
        self.start(bootstrap)

    def start(self, bootstrap: bool = False) -> None:
        """Start a process on the disk."""
        self.replica = Replica(self.folder, clock=lambda: self.test.now)
        self.replica.open()
        self.quotas = Quotas(RULES, 3, self.beliefs, self.replica, bootstrap, lambda: self.test.now)
        self.quotas.open()

    async def restart(self) -> None:
        """Kill the process and start it anew."""
        await self.replica.stop()
        self.start()

    @property
    def member(self) -> Member:
        """Its entry in the set of members."""
        return Member(self.replica.disk, self.vm, self.vm, ZoneId("zone"))


class QuotasTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.now = 1000.0
        self.counters = [Counter(self, f"vm-{number}") for number in range(3)]
        members = tuple(counter.member for counter in self.counters)
        self.view = View(configured(), replicas=ReplicaSet(1, members, True))
        self.learn(*self.counters)
        self.addAsyncCleanup(self.stop)

    async def stop(self) -> None:
        for counter in self.counters:
            await counter.replica.stop()

    def learn(self, *counters: Counter) -> None:
        """Let members hear of the view as it is now."""
        for counter in counters:
            counter.beliefs.merge(self.view, self.now, self.now)
            counter.quotas.update_from_view()

    async def take_all(self, counter: Counter) -> int:
        """Take what a member grants; return how much that is."""
        taken = 0
        while isinstance(await counter.quotas.take(TAKE), QuotaTaken):
            taken += 1
        return taken

    async def test_members_grant_the_limit_together_and_no_more(self) -> None:
        self.now += 20.0
        self.learn(*self.counters)
        taken = [await self.take_all(counter) for counter in self.counters]
        self.assertEqual(MOST, sum(taken))
        refused = await self.counters[0].quotas.take(TAKE)
        assert isinstance(refused, QuotaSpent)
        self.assertAlmostEqual(RULES.window_s, refused.retry_s)
        self.now += RULES.window_s
        self.learn(*self.counters)
        self.assertEqual(MOST, sum([await self.take_all(counter) for counter in self.counters]))

    async def test_a_restart_forgets_no_grant(self) -> None:
        for counter in self.counters:
            await self.take_all(counter)
            self.now += 1.0
            await counter.restart()
            self.learn(*self.counters)
            self.assertEqual(0, await self.take_all(counter))
        self.now += RULES.window_s
        self.learn(*self.counters)
        for counter in self.counters:
            self.assertGreater(await self.take_all(counter), 0, "and it need not wait longer")

    async def test_a_machine_whose_clock_began_anew_takes_grants_for_recent(self) -> None:
        first = self.counters[0]
        part = await self.take_all(first)
        self.now += RULES.window_s
        self.learn(first)
        for _ in range(3):
            self.assertIsInstance(await first.quotas.take(TAKE), QuotaTaken)
        self.now = 1.0
        first.beliefs.complete_until = float("-inf")
        await first.restart()
        self.learn(first)
        self.assertEqual(part - 3, await self.take_all(first), "and older ones for old")

    async def test_a_member_that_hears_nothing_stops_to_grant(self) -> None:
        self.now += MAX_VIEW_AGE_S
        self.assertIsInstance(await self.counters[0].quotas.take(TAKE), QuotaTaken)
        self.now += 0.1
        self.assertIsInstance(await self.counters[0].quotas.take(TAKE), Unavailable)

    async def test_an_emptied_disk_grants_nothing_before_what_it_granted_is_over(self) -> None:
        wiped = Counter(self, "vm-0-wiped", bootstrap=False)
        self.counters.append(wiped)
        await self.take_all(self.counters[0])
        members = (*self.view.replicas.members[1:], wiped.member)
        self.view = View(configured(), replicas=ReplicaSet(3, members, True))
        self.learn(*self.counters)
        self.assertEqual(0, await self.take_all(wiped))
        self.now += MAX_VIEW_AGE_S + RULES.window_s
        self.learn(*self.counters)
        self.assertGreater(await self.take_all(wiped), 0)

    async def test_a_lower_limit_binds_at_once_and_a_removed_one_is_none(self) -> None:
        self.now += 2 * MAX_VIEW_AGE_S
        self.learn(*self.counters)
        first = self.counters[0]
        await self.take_all(first)
        self.view = View(configured(2, 1.0), replicas=self.view.replicas)
        self.now += RULES.window_s
        self.learn(*self.counters)
        taken = sum([await self.take_all(counter) for counter in self.counters])
        self.assertEqual(RULES.most(1.0, BURST), taken)
        self.view = View(configured(3, 0.0), replicas=self.view.replicas)
        self.learn(first)
        for _ in range(2 * MOST):
            self.assertIsInstance(await first.quotas.take(TAKE), QuotaTaken)

    async def test_an_account_that_is_not_known_here_is_neither_granted_nor_refused(self) -> None:
        taken = await self.counters[0].quotas.take(TakeQuota(ClientAccountId("new")))
        self.assertIsInstance(taken, Unavailable)

    async def test_a_program_begins_only_where_the_limit_carries_it_to_its_end(self) -> None:
        first = self.counters[0]
        begun = 0
        while isinstance(await first.quotas.begin_program(BeginProgram(SHOP)), QuotaTaken):
            begun += 1
        self.assertEqual(-(-MOST // 16), begun)
        refused = await first.quotas.begin_program(BeginProgram(SHOP))
        assert isinstance(refused, QuotaSpent)
        self.now += refused.retry_s
        self.learn(first)
        self.assertIsInstance(
            await first.quotas.begin_program(BeginProgram(SHOP, refused=MOST)), QuotaTaken
        )
        after = 0
        while isinstance(await first.quotas.begin_program(BeginProgram(SHOP)), QuotaTaken):
            after += 1
        self.assertLess(after + 1, begun, "fewer, while those under way are refused")

    async def test_what_was_given_back_may_be_taken_again(self) -> None:
        first = self.counters[0]
        granted = first.quotas.count(SHOP)
        assert isinstance(granted, Granted)
        await self.take_all(first)
        first.quotas.give_back(SHOP, granted)
        self.assertEqual(1, await self.take_all(first))

    async def test_through_kills_and_cuts_no_window_is_above_the_limit(self) -> None:
        chance = random.Random(4)
        granted: list[float] = []
        heard = set(self.counters)
        for _ in range(400):
            self.now += 0.1
            if chance.random() < 0.05:
                await chance.choice(self.counters).restart()
            if chance.random() < 0.05:
                heard = {counter for counter in self.counters if chance.random() < 0.7}
            self.learn(*heard)
            for counter in self.counters:
                granted += [self.now] * await self.take_all(counter)
            since = self.now - RULES.window_s + 1e-6
            self.assertLessEqual(sum(at > since for at in granted), MOST)
        self.assertGreater(len(granted), 4 * MOST)


class FakeLinks:
    """Links to members of which some grant, some have no room and some are cut off."""

    def __init__(self, *, granting: set[str], cut: set[str]) -> None:
        self.granting = granting
        self.cut = cut
        self.asked: list[tuple[str, Any]] = []

    def to(self, address: str) -> mock.Mock:
        """Return the link to a member."""

        async def request(body: Any, _timeout_s: float) -> Any:
            self.asked.append((address, body))
            if address in self.cut:
                raise LinkFailed("cut off", sent=True)
            if isinstance(body, BeginTurn) and body.is_counted:
                return TurnBegun()
            if isinstance(body, BeginProgram):
                return QuotaSpent(0.5) if address not in self.granting else QuotaTaken()
            if address not in self.granting:
                return QuotaSpent(0.7)
            return TurnBegun() if isinstance(body, BeginTurn) else QuotaTaken()

        return mock.Mock(request=request)


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """An entry asks one member after the other, and remembers an account without room."""

    def setUp(self) -> None:
        self.now = 100.0
        self.members = [Member(f"d{n}", f"vm-{n}", f"a-{n}", ZoneId("zone")) for n in range(3)]

    def client(self, granting: set[str], cut: set[str] = frozenset()) -> LedgerClient:
        self.links = FakeLinks(granting=granting, cut=cut)
        return LedgerClient(
            self.links, lambda: self.members, ZoneId("zone"), clock=lambda: self.now
        )

    async def test_any_member_with_room_grants(self) -> None:
        client = self.client({"a-1"}, cut={"a-2"})
        for _ in range(20):
            self.assertEqual(QuotaTaken(), await client.quotas.take(SHOP, 1.0))

    async def test_without_room_anywhere_it_is_refused_and_not_asked_again_at_once(self) -> None:
        client = self.client(set())
        self.assertEqual(QuotaSpent(0.7), await client.quotas.take(SHOP, 1.0))
        asked = len(self.links.asked)
        refused = await client.quotas.take(SHOP, 1.0)
        assert isinstance(refused, QuotaSpent)
        self.assertGreater(refused.retry_s, 0.0)
        self.assertEqual(asked, len(self.links.asked))
        self.now += 1.0
        self.links.granting = {"a-0"}
        self.assertEqual(QuotaTaken(), await client.quotas.take(SHOP, 1.0))

    async def test_where_nobody_answers_it_is_not_called_over_its_limit(self) -> None:
        client = self.client(set(), cut={"a-0", "a-1", "a-2"})
        self.assertIsInstance(await client.quotas.take(SHOP, 1.0), Unavailable)

    async def test_all_programs_of_an_account_are_judged_by_one_member(self) -> None:
        client = self.client({"a-0", "a-1", "a-2"})
        for _ in range(5):
            self.assertIsNone(await client.quotas.begin_program(SHOP))
        (judge,) = {address for address, _ in self.links.asked}
        self.links.granting.discard(judge)
        client.quotas.record_refused(SHOP)
        self.assertEqual(QuotaSpent(0.5), await client.quotas.begin_program(SHOP))
        self.assertEqual(BeginProgram(SHOP, 1), self.links.asked[-1][1])
        self.links.cut = {judge}
        self.assertIsNone(
            await client.quotas.begin_program(SHOP), "the requests are counted anyway"
        )

    async def test_a_turn_goes_on_where_it_was_refused_once_another_has_granted_it(self) -> None:
        client = self.client({"a-1"})
        turn = BeginTurn(TurnId("t"), most_tokens=1, client=SHOP)
        for _ in range(3):
            self.assertEqual(TurnBegun(), await client.begin(turn, 1.0))
        client = self.client(set())
        self.assertEqual(QuotaSpent(0.7), await client.begin(turn, 1.0))
        client = self.client(set(), cut={"a-0", "a-1"})
        answer = await client.begin(turn, 1.0)
        told = [address for address, body in self.links.asked if isinstance(body, BeginTurn)]
        wanted = QuotaSpent if told == ["a-2"] else Unavailable
        self.assertIsInstance(answer, wanted, "one that gave no answer may have reserved the turn")
        self.assertNotIn(True, [getattr(body, "is_counted", False) for _, body in self.links.asked])


if __name__ == "__main__":
    unittest.main()
