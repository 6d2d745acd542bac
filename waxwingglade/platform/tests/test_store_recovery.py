"""A configuration that is accepted right after an outage of the store.

Guards against entries that use an old configuration too long after the outage, for example answer
404 for a route of the new one.  A request that is sent while the store is unresponsive is never
answered, and a process notices the recovery of the store only after the request has timed out.  So
the timeout and the pause before the next request both count against the two seconds within which a
version must be in force.  With a timeout of 6.5 s, ledger processes received versions only 3.2 s
after the recovery of the store.  Meanwhile, a separate watch of the targets was answered within a
second and confirmed the whole view, so that it seemed current.
"""

import asyncio
import unittest
from unittest import mock

from waxwingglade.follow.tests.builders import KEYS
from waxwingglade.follow.watcher import Watcher
from waxwingglade.platform.store import PlatformStore
from waxwingglade.platform.tests.unresponsive_store import UnresponsivePool, UnresponsiveStore
from waxwingglade.process.tests.virtual_time import run_in_virtual_time

IN_FORCE_S = 1.7
"""Seconds in which a ledger process must have a version, of the two in which it must be in force.
The rest is for sending it to the entries, each of which has a waiting request."""

UNRESPONSIVE_S = 9.2
PHASES = 50
PHASE_S = 0.05
LONGEST_JITTER = 0.999


class StoreRecoveryTest(unittest.TestCase):
    def test_a_version_is_in_force_in_time_whatever_was_unresponsive(self) -> None:
        with self.subTest("the store"):
            run_in_virtual_time(self._check_outages(start_in_outage=False))
        with self.subTest("the store, and the process started in the outage"):
            run_in_virtual_time(self._check_outages(start_in_outage=True))
        with self.subTest("all open connections, while new ones work"):
            run_in_virtual_time(self._check_connections())

    async def _check_outages(self, start_in_outage: bool) -> None:
        """Let the store stop answering for a while, at many moments of a cycle of requests."""
        for phase in range(PHASES):
            store, watcher, _ = self._process()
            if not start_in_outage:
                await self._follow_first_version(watcher, store)
                await asyncio.sleep(phase * PHASE_S)
            store.stop_answering()
            watcher.start()
            await asyncio.sleep(UNRESPONSIVE_S + phase * PHASE_S)
            store.resume()
            await self._check_in_force(store, watcher, phase)

    async def _check_connections(self) -> None:
        for phase in range(PHASES):
            store, watcher, client = self._process()
            await self._follow_first_version(watcher, store)
            await asyncio.gather(*(client.list("") for _ in range(3)))
            await asyncio.sleep(phase * PHASE_S)
            store.freeze_connections()
            await self._check_in_force(store, watcher, phase)

    def _process(self) -> tuple[UnresponsiveStore, Watcher, PlatformStore]:
        store = UnresponsiveStore()
        client = PlatformStore("store:1")
        client.pool = UnresponsivePool(store)
        return store, Watcher(client, KEYS, clock=store.loop.time), client

    async def _follow_first_version(self, watcher: Watcher, store: UnresponsiveStore) -> None:
        """Start to follow, and wait for the first version."""
        watcher.start()
        while watcher.view.version != store.version:
            await asyncio.sleep(PHASE_S)

    async def _check_in_force(self, store: UnresponsiveStore, watcher: Watcher, phase: int) -> None:
        """Accept a version now; it arrives in time, and no older view is confirmed after that."""
        accepted_at = store.loop.time()
        store.configure(9)
        while watcher.view.version != store.version:
            self.assertLess(store.loop.time() - accepted_at, IN_FORCE_S, f"phase {phase}")
            self.assertLessEqual(watcher.confirmed_at, accepted_at)
            await asyncio.sleep(PHASE_S / 5)
        await watcher.stop()


def setUpModule() -> None:
    """Give every pause its greatest length."""
    patch = mock.patch("waxwingglade.follow.watcher.random.random", return_value=LONGEST_JITTER)
    patch.start()
    unittest.addModuleCleanup(patch.stop)
