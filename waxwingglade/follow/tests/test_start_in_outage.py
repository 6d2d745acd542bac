"""Targets of a process that starts to follow the store in an outage."""

import unittest

from waxwingglade.follow.tests.builders import (
    EXPIRY_S,
    FollowingProcess,
    MemoryStore,
    quick_pauses,
    until,
)


class StartInAnOutage(unittest.IsolatedAsyncioTestCase):
    """A process starts to follow the store in an outage, in which the targets' entries expire.

    Guards against requests rejected for lack of a target after an outage of the store.  It happens
    when entries have no source left and start to follow the store themselves.  The entries of all
    targets expire in the outage, though the targets run.  Then the first listing after the outage
    must not be accepted as complete, neither by the process itself nor by its followers, until the
    targets have had the time to register again.
    """

    async def asyncSetUp(self) -> None:
        self.enterContext(quick_pauses())
        self.now = 1000.0
        self.store = MemoryStore()
        self.store.put("op/config", b'{"version": 4}')
        self.store.put("targets/a", b"ready")
        self.store.put("targets/b", b"ready")
        before = FollowingProcess(self.store, lambda: self.now)
        before.watcher.start()
        await until(lambda: before.names() == {"a", "b"})
        await before.watcher.stop()
        self.process = FollowingProcess(self.store, lambda: self.now)
        self.process.cached_view.merge(before.watcher.view, self.now)
        self.store.unavailable = True
        self.now += EXPIRY_S
        self.store.put("targets/a", None)
        self.store.put("targets/b", None)

    async def test_targets_of_the_earlier_view_may_register_again(self) -> None:
        watcher = self.process.watcher
        watcher.start()
        self.addAsyncCleanup(watcher.stop)
        self.store.unavailable = False
        await until(lambda: watcher.view.version == 4)
        self.assertEqual(self.process.names(), {"a", "b"})
        self.store.put("targets/b", b"ready")
        await until(lambda: set(self.process.cached_view.retention.targets) == {"a"})
        self.assertEqual(self.process.names(), {"a", "b"})
        self.now += 3.0
        await until(lambda: self.process.names() == {"b"})

    async def test_a_first_listing_does_not_drop_the_targets_of_followers(self) -> None:
        source = FollowingProcess(self.store, lambda: self.now)
        source.watcher.start()
        self.addAsyncCleanup(source.watcher.stop)
        await until(lambda: source.watcher.in_outage)
        self.store.put("targets/c", b"ready")
        self.store.unavailable = False
        await until(lambda: source.names() == {"c"})
        self.assertEqual(self.names_received_from(source), {"a", "b", "c"})
        self.store.put("targets/b", b"ready")
        await until(lambda: source.names() == {"b", "c"})
        self.assertEqual(self.names_received_from(source), {"a", "b", "c"})
        self.now += 3.0
        await until(lambda: self.names_received_from(source) == {"b", "c"})

    def names_received_from(self, source: FollowingProcess) -> set[str]:
        """Follow another process, and return the targets in use after that."""
        self.process.receive_from(source.watcher, source.cached_view.retention.ended_at)
        return self.process.names()
