"""Targets that leave while a ledger process has trouble with the store."""

import asyncio
import contextlib
import time
import unittest

from tests.platform_cluster import CALL, Node
from tests.prove.relay import STORE, LinkFault
from tests.soak.cluster import SoakCluster
from waxwingglade.base import WaxwinggladeError
from waxwingglade.follow.watcher import WATCH_INTERVAL_S

DRAIN_S = 2.0
"""Seconds after the store's acknowledgement within which a leaving target gets its last request."""

WATCHED_S = 2 * DRAIN_S + 1.0
CALL_PAUSE_S = 0.02
WATCH_BEGUN_S = 0.05


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
                self.cluster.drained_servers.append(leaving)
                leaving.deregister()
                left_at = time.monotonic()
                await asyncio.gather(*(self._call(entry) for entry in self.cluster.entries))
                late = [
                    round(run.began_at - left_at, 2)
                    for run in leaving.runs
                    if run.began_at > left_at + DRAIN_S
                ]
                self.assertEqual(late, [])

    async def _refuse(self, node: Node) -> None:
        """Reset the connections of a ledger process to the store until it notices.

        Its next watch has just begun by then, so its view is not old enough to follow another one.
        """
        self.cluster.engines[0].register("ready")
        await asyncio.sleep(WATCH_INTERVAL_S + WATCH_BEGUN_S)
        known = len(node.logs())
        number = self.cluster.number_of(node)
        self.cluster.relays.disrupt(number, STORE, LinkFault.RESET)
        await self.cluster.until(lambda: _has_logged(node, "store lost", known))
        self.cluster.relays.heal(number)
        await self.cluster.until(lambda: _has_logged(node, "store regained", known))

    async def _call(self, entry: Node) -> None:
        """Call an entry again and again."""
        end_at = time.monotonic() + WATCHED_S
        while time.monotonic() < end_at:
            with contextlib.suppress(WaxwinggladeError, TimeoutError):
                await self.cluster.call(entry, "POST", CALL)
            await asyncio.sleep(CALL_PAUSE_S)


def _has_logged(node: Node, event: str, known: int) -> bool:
    """Return whether a process logged an event after its first lines."""
    return any(line["event"] == event for line in node.logs()[known:])
