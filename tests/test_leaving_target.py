"""Targets that leave, and targets whose entries expire, while the store is not available to all."""

import asyncio
import contextlib
import time
import unittest

from tests.platform_cluster import CALL, HEARTBEAT_S, Node
from tests.prove.relay import STORE, LinkFault
from tests.soak.cluster import EXPIRY_HEARTBEATS, SoakCluster, SoakServer
from tests.soak.leaving_targets import DRAIN_DETECTION_S
from waxwingglade.base import WaxwinggladeError
from waxwingglade.follow.retention import REREGISTRATION_S
from waxwingglade.follow.watcher import WATCH_INTERVAL_S
from waxwingglade.standins.metadata_store import StoreFault

WATCHED_S = 2 * DRAIN_DETECTION_S + 1.0
CALL_PAUSE_S = 0.02
WATCH_BEGUN_S = 0.05
OUTAGE_S = (EXPIRY_HEARTBEATS + 1) * HEARTBEAT_S


class LeavingTarget(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = SoakCluster(entries=3)
        self.addAsyncCleanup(self.cluster.shut)
        await self.cluster.open()

    async def test_no_request_reaches_a_target_that_left_after_a_refusal_of_the_store(self) -> None:
        for node in self.cluster.ledgers:
            with self.subTest(node.name):
                await self._refuse(node)
                added = self.cluster.server_type(self.cluster.store, "notes")
                await self.cluster.add_server(added)
                self.cluster.notes.append(added)
                leaving = self.cluster.notes.pop(0)
                self.cluster.left_servers.append(leaving)
                leaving.leave(reports=False)
                await call_entries(self.cluster, WATCHED_S)
                self.assertEqual(late_runs(leaving, leaving.left_at + DRAIN_DETECTION_S), [])

    async def test_entries_learn_of_a_leaving_target_while_the_store_refuses_the_ledger(
        self,
    ) -> None:
        addresses = {self.cluster.store_address(node.name) for node in self.cluster.ledgers}
        self.cluster.engines[0].register("ready")
        await asyncio.sleep(WATCH_BEGUN_S)
        refusal = self.cluster.store.refuse(addresses, 503)
        leaving = self.cluster.notes.pop(0)
        self.cluster.left_servers.append(leaving)
        leaving.leave(reports=False)
        statuses = await call_entries(self.cluster, WATCHED_S)
        self.cluster.store.refusals.remove(refusal)
        self.assertEqual(late_runs(leaving, leaving.left_at + DRAIN_DETECTION_S), [])
        self.assertEqual(set(statuses), {200})

    async def _refuse(self, node: Node) -> None:
        """Reset the connections of a ledger process to the store until it notices.

        Its next watch has just begun by then, so its view is not old enough to follow another one.
        """
        self.cluster.engines[0].register("ready")
        await asyncio.sleep(WATCH_INTERVAL_S + WATCH_BEGUN_S)
        known = len(node.logs())
        number = self.cluster.number_of(node)
        self.cluster.relays.disrupt(number, STORE, LinkFault.RESET)
        await self.cluster.until(lambda: has_logged(node, "store lost", known))
        self.cluster.relays.heal(number)
        await self.cluster.until(lambda: has_logged(node, "store regained", known))


class ExpiredEntries(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = SoakCluster(entries=3, heartbeat_s=HEARTBEAT_S)
        self.addAsyncCleanup(self.cluster.shut)
        await self.cluster.open()

    async def test_targets_stay_in_use_until_they_had_time_to_register_again(self) -> None:
        """One that does not register again is gone, as if it had left at the end of that time."""
        missing = self.cluster.notes[0]
        calls = asyncio.create_task(call_entries(self.cluster, OUTAGE_S + WATCHED_S))
        self.cluster.store.fault = StoreFault.BUSY
        await asyncio.sleep(OUTAGE_S)
        missing.stop_heartbeats()
        registered = [key for key in self.cluster.store.items if key.startswith("servers/")]
        self.assertEqual(registered, [])
        self.cluster.store.fault = StoreFault.NONE
        gone_at = time.monotonic() + REREGISTRATION_S
        self.assertEqual(set(await calls), {200})
        self.assertEqual(late_runs(missing, gone_at + DRAIN_DETECTION_S), [])


def has_logged(node: Node, event: str, known: int) -> bool:
    """Return whether a process logged an event after its first lines."""
    return any(line["event"] == event for line in node.logs()[known:])


def late_runs(server: SoakServer, until: float) -> list[float]:
    """Return how many seconds too late a server ran requests."""
    return [round(run.began_at - until, 2) for run in server.runs if run.began_at > until]


async def call_entries(cluster: SoakCluster, seconds: float) -> list[int]:
    """Call all entries for some seconds, and return the statuses of the answers."""
    end_at = time.monotonic() + seconds
    statuses = []

    async def call(entry: Node) -> None:
        while time.monotonic() < end_at:
            with contextlib.suppress(WaxwinggladeError, TimeoutError):
                statuses.append((await cluster.call(entry, "POST", CALL)).status)
            await asyncio.sleep(CALL_PAUSE_S)

    await asyncio.gather(*(call(entry) for entry in cluster.entries))
    return statuses
