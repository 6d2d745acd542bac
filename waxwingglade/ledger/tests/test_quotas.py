"""Tests that request quotas of client accounts hold through restarts and partitions of members."""

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
    AccountLimit,
    BeginProgram,
    BeginTurn,
    Grant,
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
    """One member: its disk, cached view and grants, on a simulated clock."""

    def __init__(self, test: "QuotasTest", vm: str, bootstrap: bool = True) -> None:
        self.test = test
        self.vm = vm
        self.folder = Path(test.folder.name) / vm
        self.folder.mkdir()
        self.cached_view = CachedView(lambda: test.now)
        self.start(bootstrap)

    def start(self, bootstrap: bool = False) -> None:
        """Start a process with the disk's content."""
        self.replica = Replica(self.folder, clock=lambda: self.test.now)
        self.replica.open()
        self.quotas = Quotas(
            RULES, 3, self.cached_view, self.replica, bootstrap, lambda: self.test.now, self.vm
        )
        self.quotas.open()

    async def restart(self) -> None:
        """Kill the process and start a new one."""
        await self.replica.stop()
        self.start()

    @property
    def member(self) -> Member:
        """Description of this member in the set of members."""
        return Member(self.replica.disk, self.vm, self.vm, ZoneId("zone"))


class QuotasTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.now = 1000.0
        self.counters = [Counter(self, f"vm-{number}") for number in range(3)]
        members = tuple(counter.member for counter in self.counters)
        self.view = View(configured(), replicas=ReplicaSet(1, members, True))
        self.update_views(*self.counters)
        self.addAsyncCleanup(self.stop)

    async def stop(self) -> None:
        for counter in self.counters:
            await counter.replica.stop()

    def update_views(self, *counters: Counter) -> None:
        """Give members the current view."""
        for counter in counters:
            counter.cached_view.merge(self.view, self.now, self.now)
            counter.quotas.record_state()

    async def take_all(self, counter: Counter) -> int:
        """Take grants of a member until it refuses; return their number."""
        taken = 0
        while isinstance(await counter.quotas.take(TAKE), QuotaTaken):
            taken += 1
        return taken

    async def test_members_grant_the_limit_together_and_no_more(self) -> None:
        self.now += 20.0
        self.update_views(*self.counters)
        taken = [await self.take_all(counter) for counter in self.counters]
        self.assertEqual(MOST, sum(taken))
        refused = await self.counters[0].quotas.take(TAKE)
        assert isinstance(refused, QuotaSpent)
        self.assertAlmostEqual(RULES.window_s, refused.retry_s)
        self.now += RULES.window_s
        self.update_views(*self.counters)
        self.assertEqual(MOST, sum([await self.take_all(counter) for counter in self.counters]))

    async def test_a_grant_names_the_limit_and_the_share_by_which_it_was_made(self) -> None:
        first = self.counters[0]
        for used in (1, 2):
            taken = await first.quotas.take(TAKE)
            assert isinstance(taken, QuotaTaken)
            share = first.quotas.quota_share.share_of(MOST, SHOP, self.now)
            self.assertEqual(Grant("vm-0", 1, 1, share, used), taken.grant)

    async def test_grants_survive_a_restart(self) -> None:
        for counter in self.counters:
            await self.take_all(counter)
            self.now += 1.0
            await counter.restart()
            self.update_views(*self.counters)
            self.assertEqual(0, await self.take_all(counter))
        self.now += RULES.window_s
        self.update_views(*self.counters)
        for counter in self.counters:
            self.assertGreater(await self.take_all(counter), 0, "and it need not wait longer")

    async def test_after_a_reset_of_the_clock_stored_grants_count_as_recent(self) -> None:
        first = self.counters[0]
        share = await self.take_all(first)
        self.now += RULES.window_s
        self.update_views(first)
        for _ in range(3):
            self.assertIsInstance(await first.quotas.take(TAKE), QuotaTaken)
        self.now = 1.0
        first.cached_view.complete_until = float("-inf")
        await first.restart()
        self.update_views(first)
        self.assertEqual(share - 3, await self.take_all(first), "and older grants are old")

    async def test_after_a_clock_starts_anew_ahead_stored_grants_count_as_recent(self) -> None:
        first = self.counters[0]
        await self.take_all(first)
        self.now += 1e6
        await first.restart()
        self.update_views(first)
        self.assertEqual(0, await self.take_all(first))

    async def test_a_later_reading_of_the_clock_shows_that_stored_grants_are_old(self) -> None:
        first = self.counters[0]
        share = await self.take_all(first)
        self.now += 2 * RULES.window_s
        first.replica.record_clock()
        await first.replica.flush()
        self.now = 1.0
        first.cached_view.complete_until = float("-inf")
        await first.restart()
        self.update_views(first)
        self.assertEqual(share, await self.take_all(first))

    async def test_segments_with_grants_of_before_a_restart_are_kept(self) -> None:
        first = self.counters[0]
        share = await self.take_all(first)
        await first.restart()
        replica = first.replica
        replica.journal._open_segment(replica.journal.active + 1)
        await replica._drop_segments()
        await first.restart()
        self.update_views(first)
        self.assertGreater(share, 0)
        self.assertEqual(0, await self.take_all(first))

    async def test_a_member_with_an_outdated_view_grants_nothing(self) -> None:
        self.now += MAX_VIEW_AGE_S
        self.assertIsInstance(await self.counters[0].quotas.take(TAKE), QuotaTaken)
        self.now += 0.1
        self.assertIsInstance(await self.counters[0].quotas.take(TAKE), Unavailable)

    async def test_a_wiped_disk_grants_nothing_until_its_earlier_grants_have_expired(self) -> None:
        wiped = Counter(self, "vm-0-wiped", bootstrap=False)
        self.counters.append(wiped)
        await self.take_all(self.counters[0])
        members = (*self.view.replicas.members[1:], wiped.member)
        self.view = View(configured(), replicas=ReplicaSet(3, members, True))
        self.update_views(*self.counters)
        self.assertEqual(0, await self.take_all(wiped))
        self.now += MAX_VIEW_AGE_S + RULES.window_s
        self.update_views(*self.counters)
        self.assertGreater(await self.take_all(wiped), 0)

    async def test_a_member_that_left_and_joined_between_two_requests_grants_nothing(self) -> None:
        first, *others = self.counters
        self.assertGreater(await self.take_all(first), 0)
        self.now += RULES.window_s
        remaining = tuple(counter.member for counter in others)
        for epoch, members in ((2, remaining), (3, (first.member, *remaining))):
            self.view = View(configured(), replicas=ReplicaSet(epoch, members, True))
            first.cached_view.merge(self.view, self.now, self.now)
        self.assertEqual(0, await self.take_all(first))

    async def test_a_restarted_member_allows_for_a_larger_set_while_it_was_down(self) -> None:
        first = self.counters[0]
        await first.replica.adopt_members(self.view.replicas)
        await first.replica.stop()
        first.cached_view = CachedView(lambda: self.now)
        first.start()
        self.view = View(configured(), replicas=ReplicaSet(3, self.view.replicas.members, True))
        first.cached_view.merge(self.view, self.now, self.now)
        self.assertEqual(MOST // 4, await self.take_all(first))

    async def test_a_restart_during_the_first_start_does_not_shorten_the_wait(self) -> None:
        joined = Counter(self, "vm-3", bootstrap=True)
        self.counters.append(joined)
        members = (*self.view.replicas.members, joined.member)
        for epoch, present in ((2, members[:3]), (3, members)):
            self.view = View(configured(), replicas=ReplicaSet(epoch, present, True))
            self.update_views(*self.counters)
        await joined.replica.adopt_members(self.view.replicas)
        await joined.replica.stop()
        joined.start(bootstrap=True)
        self.assertEqual(0, await self.take_all(joined))

    async def test_a_lower_limit_holds_at_once_and_a_removed_limit_grants_all(self) -> None:
        self.now += 2 * MAX_VIEW_AGE_S
        self.update_views(*self.counters)
        first = self.counters[0]
        await self.take_all(first)
        self.view = View(configured(2, 1.0), replicas=self.view.replicas)
        self.now += RULES.window_s
        self.update_views(*self.counters)
        taken = sum([await self.take_all(counter) for counter in self.counters])
        self.assertEqual(RULES.most(1.0, BURST), taken)
        self.view = View(configured(3, 0.0), replicas=self.view.replicas)
        self.update_views(first)
        for _ in range(2 * MOST):
            self.assertIsInstance(await first.quotas.take(TAKE), QuotaTaken)

    async def test_a_newer_limit_that_an_entry_reports_holds_at_a_member(self) -> None:
        first = self.counters[0]
        lower = TakeQuota(SHOP, AccountLimit(2, 7, 1.0, BURST))
        outdated = TakeQuota(SHOP, AccountLimit(1, 0, 0.0, 0.0))
        share = RULES.most(1.0, BURST) // 3
        for _ in range(share):
            self.assertIsInstance(await first.quotas.take(lower), QuotaTaken)
        for message in (lower, outdated, TAKE):
            self.assertIsInstance(await first.quotas.take(message), QuotaSpent)

    async def test_an_account_that_no_view_has_yet_is_granted_by_the_limit_of_an_entry(
        self,
    ) -> None:
        message = TakeQuota(ClientAccountId("new"), AccountLimit(2, 7, 1.0, BURST))
        self.assertIsInstance(await self.counters[0].quotas.take(message), QuotaTaken)

    async def test_a_view_replaces_older_limits_that_entries_reported(self) -> None:
        first = self.counters[0]
        await first.quotas.take(TakeQuota(SHOP, AccountLimit(2, 7, 1.0, BURST)))
        self.view = View(configured(3), replicas=self.view.replicas)
        self.update_views(first)
        share = first.quotas.quota_share.share_of(MOST, SHOP, self.now)
        self.assertEqual(share - 1, await self.take_all(first))

    async def test_an_unknown_account_is_neither_granted_nor_refused(self) -> None:
        taken = await self.counters[0].quotas.take(TakeQuota(ClientAccountId("new")))
        self.assertIsInstance(taken, Unavailable)

    async def test_a_program_begins_only_if_the_limit_suffices_until_its_end(self) -> None:
        first = self.counters[0]
        begun = 0
        while isinstance(await first.quotas.begin_program(BeginProgram(SHOP)), QuotaTaken):
            begun += 1
        self.assertEqual(-(-MOST // 16), begun)
        refused = await first.quotas.begin_program(BeginProgram(SHOP))
        assert isinstance(refused, QuotaSpent)
        self.now += refused.retry_s
        self.update_views(first)
        self.assertIsInstance(
            await first.quotas.begin_program(BeginProgram(SHOP, refused=MOST)), QuotaTaken
        )
        after = 0
        while isinstance(await first.quotas.begin_program(BeginProgram(SHOP)), QuotaTaken):
            after += 1
        self.assertLess(after + 1, begun, "fewer, while running programs are refused")

    async def test_a_returned_grant_may_be_taken_again(self) -> None:
        first = self.counters[0]
        granted = first.quotas.count(SHOP)
        assert isinstance(granted, Granted)
        await self.take_all(first)
        first.quotas.give_back(SHOP, granted)
        self.assertEqual(1, await self.take_all(first))

    async def test_no_window_exceeds_the_limit_through_restarts_and_partitions(self) -> None:
        chance = random.Random(4)
        granted: list[float] = []
        updated = set(self.counters)
        for _ in range(400):
            self.now += 0.1
            if chance.random() < 0.05:
                await chance.choice(self.counters).restart()
            if chance.random() < 0.05:
                updated = {counter for counter in self.counters if chance.random() < 0.7}
            self.update_views(*updated)
            for counter in self.counters:
                granted += [self.now] * await self.take_all(counter)
            since = self.now - RULES.window_s + 1e-6
            self.assertLessEqual(sum(at > since for at in granted), MOST)
        self.assertGreater(len(granted), 4 * MOST)


class FakeLinks:
    """Links to members, some of which grant, some refuse and some are partitioned."""

    def __init__(self, *, granting: set[str], partitioned: set[str]) -> None:
        self.granting = granting
        self.partitioned = partitioned
        self.asked: list[tuple[str, Any]] = []

    def to(self, address: str) -> mock.Mock:
        """Return the link to a member."""

        async def request(body: Any, _timeout_s: float) -> Any:
            self.asked.append((address, body))
            if address in self.partitioned:
                raise LinkFailed("partitioned", sent=True)
            if isinstance(body, BeginTurn) and body.is_counted:
                return TurnBegun()
            if isinstance(body, BeginProgram):
                return QuotaSpent(0.5) if address not in self.granting else QuotaTaken()
            if address not in self.granting:
                return QuotaSpent(0.7)
            return TurnBegun() if isinstance(body, BeginTurn) else QuotaTaken()

        return mock.Mock(request=request)


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """An entry asks one member after the other, and caches the refusal of an account."""

    def setUp(self) -> None:
        self.now = 100.0
        self.members = [Member(f"d{n}", f"vm-{n}", f"a-{n}", ZoneId("zone")) for n in range(3)]

    def client(self, granting: set[str], partitioned: set[str] = frozenset()) -> LedgerClient:
        self.links = FakeLinks(granting=granting, partitioned=partitioned)
        return LedgerClient(
            self.links, lambda: self.members, ZoneId("zone"), clock=lambda: self.now
        )

    async def test_any_member_with_free_quota_grants(self) -> None:
        client = self.client({"a-1"}, partitioned={"a-2"})
        for _ in range(20):
            self.assertEqual(QuotaTaken(), await client.quotas.take(TAKE, 1.0))

    async def test_a_refusal_of_all_members_is_cached(self) -> None:
        client = self.client(set())
        self.assertEqual(QuotaSpent(0.7), await client.quotas.take(TAKE, 1.0))
        asked = len(self.links.asked)
        refused = await client.quotas.take(TAKE, 1.0)
        assert isinstance(refused, QuotaSpent)
        self.assertGreater(refused.retry_s, 0.0)
        self.assertEqual(asked, len(self.links.asked))
        self.now += 1.0
        self.links.granting = {"a-0"}
        self.assertEqual(QuotaTaken(), await client.quotas.take(TAKE, 1.0))

    async def test_if_no_member_answers_the_account_is_not_over_its_limit(self) -> None:
        client = self.client(set(), partitioned={"a-0", "a-1", "a-2"})
        self.assertIsInstance(await client.quotas.take(TAKE, 1.0), Unavailable)

    async def test_one_member_is_asked_for_all_programs_of_an_account(self) -> None:
        client = self.client({"a-0", "a-1", "a-2"})
        for _ in range(5):
            self.assertIsNone(await client.quotas.begin_program(SHOP))
        (asked_member,) = {address for address, _ in self.links.asked}
        self.links.granting.discard(asked_member)
        client.quotas.record_refused(SHOP)
        self.assertEqual(QuotaSpent(0.5), await client.quotas.begin_program(SHOP))
        self.assertEqual(BeginProgram(SHOP, 1), self.links.asked[-1][1])
        self.links.partitioned = {asked_member}
        self.assertIsNone(
            await client.quotas.begin_program(SHOP), "the requests are counted anyway"
        )

    async def test_a_turn_refused_by_one_member_begins_once_another_has_granted_it(self) -> None:
        client = self.client({"a-1"})
        turn = BeginTurn(TurnId("t"), most_tokens=1, client=SHOP)
        for _ in range(3):
            self.assertEqual(TurnBegun(), await client.begin(turn, 1.0))
        client = self.client(set())
        self.assertEqual(QuotaSpent(0.7), await client.begin(turn, 1.0))
        client = self.client(set(), partitioned={"a-0", "a-1"})
        answer = await client.begin(turn, 1.0)
        asked = [address for address, body in self.links.asked if isinstance(body, BeginTurn)]
        wanted = QuotaSpent if asked == ["a-2"] else Unavailable
        self.assertIsInstance(
            answer, wanted, "a replica that did not answer may have reserved the turn"
        )
        self.assertNotIn(True, [getattr(body, "is_counted", False) for _, body in self.links.asked])


if __name__ == "__main__":
    unittest.main()
