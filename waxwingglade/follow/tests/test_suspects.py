"""The list of suspect requests, from the process that is followed and from a second one."""

import asyncio
import unittest

from waxwingglade.base import ConfigVersion, Fingerprint, WaxwinggladeError, ZoneId
from waxwingglade.follow.feed import CachedView
from waxwingglade.follow.messages import Follow, FollowSuspects, SuspectList
from waxwingglade.follow.model import Replica, Revision
from waxwingglade.follow.suspects import Exchanged, SuspectFollower, Suspects

A, B = Fingerprint("a"), Fingerprint("b")
WAIT_S = 5.0


def follow(checksum: int | None) -> Follow:
    """Return a request of a follower that has everything else."""
    return Follow(ConfigVersion(0), Revision(0), 0, WAIT_S, suspects=checksum)


class Lists(unittest.TestCase):
    def test_the_highest_count_of_any_source_holds(self) -> None:
        suspects = Suspects()
        suspects.replace({A: 2, B: 3})
        suspects.replace({A: 3}, "second")
        self.assertEqual(suspects.failed, {A: 3, B: 3})
        suspects.replace({})
        self.assertEqual(suspects.failed, {A: 3})

    def test_equal_lists_have_one_checksum(self) -> None:
        first, second = Suspects(), Suspects()
        first.replace({A: 2, B: 3})
        second.replace({B: 3, A: 2})
        self.assertEqual(first.checksum(), second.checksum())
        self.assertEqual(Suspects().checksum(), 0)
        second.replace({B: 3})
        self.assertNotEqual(first.checksum(), second.checksum())


class Feeds(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.view = CachedView()

    async def test_a_follower_is_answered_at_once_when_the_list_changes(self) -> None:
        async with asyncio.timeout(WAIT_S / 2):
            waiting = asyncio.create_task(self.view.answer(follow(0)))
            second = asyncio.create_task(self.view.answer_suspects(FollowSuspects(0, WAIT_S)))
            await asyncio.sleep(0.01)
            self.view.update_suspects({A: 2})
            self.assertEqual((await waiting).suspects, {A: 2})
            self.assertEqual((await second).failed, {A: 2})
            answer = await self.view.answer(follow(1))
        self.assertEqual(answer.suspects, {A: 2})

    async def test_a_follower_that_needs_no_list_gets_none_and_is_not_woken_for_it(self) -> None:
        self.view.update_suspects({A: 2})
        message = Follow(ConfigVersion(0), Revision(0), 0, 0.05)
        self.assertIsNone((await self.view.answer(message)).suspects)

    async def test_an_unchanged_list_is_not_sent(self) -> None:
        self.view.update_suspects({A: 2})
        checksum = self.view.suspects.checksum()
        self.assertIsNone((await self.view.answer_suspects(FollowSuspects(checksum, 0.01))).failed)


class SecondSource(unittest.IsolatedAsyncioTestCase):
    async def test_the_list_of_a_source_that_gives_no_answer_is_dropped(self) -> None:
        suspects = Suspects()
        answers: list[SuspectList | None] = [SuspectList({A: 3}), SuspectList(), None]
        asked: list[str] = []
        done = asyncio.Event()

        async def ask(address: str, _message: FollowSuspects, _timeout_s: float) -> SuspectList:
            asked.append(address)
            seen.append(dict(suspects.failed))
            if not answers:
                done.set()
                await asyncio.sleep(WAIT_S)
            answer = answers.pop(0)
            if answer is None:
                raise WaxwinggladeError("no answer")
            return answer

        seen: list[dict[Fingerprint, int]] = []
        members = [Replica(name, name, name, ZoneId("z")) for name in ("near", "far")]
        follower = SuspectFollower(suspects, lambda: members, ask, Exchanged, lambda: 0.0)
        follower.start()
        self.addAsyncCleanup(follower.stop)
        async with asyncio.timeout(WAIT_S):
            await done.wait()
        self.assertEqual(asked, ["near", "near", "near", "far"])
        self.assertEqual(seen, [{}, {A: 3}, {A: 3}, {}])


class Refreshing(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.now = 100.0
        self.stalled_until = 0.0
        self.first_exchange = Exchanged(self.now - 0.5, self.now)
        self.answers = True
        self.asked = 0
        self.suspects = Suspects()
        members = [Replica(name, name, name, ZoneId("z")) for name in ("b", "c", "d")]
        self.follower = SuspectFollower(
            self.suspects,
            lambda: members,
            self.ask,
            lambda: self.first_exchange,
            lambda: self.stalled_until,
            lambda: self.now,
        )
        self.addAsyncCleanup(self.follower.stop)

    async def ask(self, _address: str, _message: FollowSuspects, _timeout_s: float) -> SuspectList:
        """Answer with one held request."""
        self.asked += 1
        if not self.answers:
            raise WaxwinggladeError("no answer")
        return SuspectList({A: 3})

    async def test_a_current_list_is_not_read(self) -> None:
        await self.follower.ensure_current()
        self.assertEqual((self.asked, self.suspects.failed), (0, {}))

    async def test_a_list_from_before_a_stall_is_read_once_for_all_waiting_requests(self) -> None:
        self.now += 0.3
        self.stalled_until = self.now
        await asyncio.gather(*(self.follower.ensure_current() for _ in range(5)))
        self.assertEqual((self.asked, self.suspects.failed), (2, {A: 3}))
        await self.follower.ensure_current()
        self.assertEqual(self.asked, 2)

    async def test_an_answer_to_a_request_from_before_a_stall_may_be_old(self) -> None:
        self.now += 0.3
        self.stalled_until = self.now
        self.first_exchange = Exchanged(self.now - 0.4, self.now)
        await self.follower.ensure_current()
        self.assertEqual(self.suspects.failed, {A: 3})

    async def test_a_list_that_was_not_confirmed_recently_is_read(self) -> None:
        self.now += 0.7
        await self.follower.ensure_current()
        self.assertEqual(self.suspects.failed, {A: 3})

    async def test_requests_do_not_wait_again_soon_after_no_source_has_answered(self) -> None:
        self.now += 0.7
        self.answers = False
        await self.follower.ensure_current()
        await self.follower.ensure_current()
        self.assertEqual(self.asked, 2)
        self.now += 0.6
        await self.follower.ensure_current()
        self.assertEqual(self.asked, 4)


if __name__ == "__main__":
    unittest.main()
