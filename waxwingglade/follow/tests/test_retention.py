"""Which targets stay in use although the store no longer lists them."""

import random
import unittest

from waxwingglade.follow.model import Revision, TargetList
from waxwingglade.follow.retention import REREGISTRATION_S, Retention
from waxwingglade.follow.tests.builders import (
    EXPIRY_S,
    HEARTBEAT_S,
    KEYS,
    FollowingProcess,
    MemoryStore,
    quick_pauses,
)

STARTED_AT = 100.0
BEFORE = TargetList(Revision(1), (KEYS.decode_target("targets/a", b"ready"),))
AFTER = TargetList(Revision(2))


class RetentionTest(unittest.TestCase):
    """A process that has known a target since it was started."""

    def setUp(self) -> None:
        self.now = STARTED_AT
        self.retention = Retention(HEARTBEAT_S, lambda: self.now)
        self.retention.record_confirmation(float("-inf"), self.now, self.now)
        self.confirmed_at = self.now

    def confirm(self, recovered_at: float, confirmed_at: float | None = None) -> bool:
        """Record a report that the store answered."""
        at = self.now if confirmed_at is None else confirmed_at
        known_until, self.confirmed_at = self.confirmed_at, max(self.confirmed_at, at)
        return self.retention.record_confirmation(known_until, at, recovered_at)

    def retains(self) -> bool:
        """Remove the target, and return whether it is retained."""
        self.retention.update(BEFORE, AFTER)
        return bool(self.retention.targets)

    def test_a_target_is_retained_after_an_outage_until_its_time_is_over(self) -> None:
        self.now += EXPIRY_S
        self.confirm(recovered_at=self.now)
        self.assertTrue(self.retains())
        self.now += REREGISTRATION_S - 0.01
        self.assertFalse(self.retention.expire())
        self.now += 0.02
        self.assertTrue(self.retention.expire())
        self.assertFalse(self.retention.targets)

    def test_no_entry_expires_before_three_heartbeats_were_missed(self) -> None:
        with self.subTest("a shorter outage"):
            self.now += HEARTBEAT_S / 2
            self.confirm(recovered_at=self.now)
            self.assertFalse(self.retains())
        with self.subTest("the target is missing too early"):
            began_at = self.now
            self.now += 1.5 * HEARTBEAT_S
            self.confirm(recovered_at=self.now)
            self.assertFalse(self.retains())
        with self.subTest("some time after the same outage"):
            self.now = began_at + 2 * HEARTBEAT_S
            self.assertTrue(self.retains())

    def test_a_report_of_an_outage_is_ignored_if_others_were_answered_meanwhile(self) -> None:
        for _ in range(10):
            self.now += EXPIRY_S / 10
            self.confirm(recovered_at=STARTED_AT)
        self.confirm(recovered_at=self.now)
        self.assertFalse(self.retains())

    def test_a_stalled_process_retains_nothing(self) -> None:
        self.now += EXPIRY_S
        self.confirm(recovered_at=STARTED_AT)
        self.assertFalse(self.retains())

    def test_a_process_that_was_answered_all_the_time_refutes_an_outage(self) -> None:
        self.now += EXPIRY_S
        self.confirm(recovered_at=self.now)
        self.assertTrue(self.retains())
        with self.subTest("not while it has not been answered since"):
            self.confirm(recovered_at=STARTED_AT, confirmed_at=self.now - 0.1)
            self.assertTrue(self.retention.targets)
        self.now += 0.5
        self.assertTrue(self.confirm(recovered_at=STARTED_AT))
        self.assertFalse(self.retention.targets)
        self.assertFalse(self.retention.active)

    def test_the_first_process_that_was_answered_determines_the_end_of_an_outage(self) -> None:
        self.now += EXPIRY_S
        recovered_at = self.now
        self.now += 1.0
        self.confirm(recovered_at=self.now)
        self.assertTrue(self.retains())
        self.confirm(recovered_at=recovered_at)
        self.now = recovered_at + REREGISTRATION_S - 0.01
        self.assertFalse(self.retention.expire())
        self.now += 0.02
        self.assertTrue(self.retention.expire())

    def test_a_target_that_was_leaving_is_not_retained(self) -> None:
        self.now += EXPIRY_S
        self.confirm(recovered_at=self.now)
        leaving = TargetList(Revision(1), (KEYS.decode_target("targets/a", b"leaving"),))
        self.retention.update(leaving, AFTER)
        self.assertFalse(self.retention.targets)


class EqualLists(unittest.IsolatedAsyncioTestCase):
    async def test_the_lists_of_all_processes_are_the_same_at_one_revision(self) -> None:
        self.enterContext(quick_pauses())
        for seed in range(15):
            await self._check(random.Random(seed), seed)

    async def _check(self, rng: random.Random, seed: int) -> None:
        """Change the store, and let processes read it at different times and with failed calls."""
        self.now = STARTED_AT
        store = MemoryStore()
        store.put(KEYS.configuration, b'{"version": 4}')
        watchers = [FollowingProcess(store, lambda: self.now).watcher for _ in range(3)]
        revisions: list[Revision | None] = [None] * len(watchers)
        lists: dict[Revision, set[str]] = {}
        for _ in range(40):
            self.now += rng.uniform(0.0, 2.0)
            name = f"targets/{rng.choice('abcd')}"
            store.put(name, rng.choice([None, b"ready", b"leaving", b"ready 7"]))
            number = rng.randrange(len(watchers))
            if rng.random() < 0.3:
                watchers[number]._record_outage("away", self.now)
                continue
            if rng.random() < 0.1:
                revisions[number] = None
            revisions[number] = await watchers[number]._step(revisions[number])
            published = watchers[number].view.targets
            content = {repr(target) for target in published.targets}
            with self.subTest(seed=seed, revision=published.revision):
                self.assertEqual(lists.setdefault(published.revision, content), content)


if __name__ == "__main__":
    unittest.main()
