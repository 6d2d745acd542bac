"""Sound targets that send nothing for a second or so and go on, at entries without other work."""

import asyncio
import unittest

from tests.one_sending import DRAFTS, READS, ROUTES
from tests.platform_cluster import HOST, PlatformCluster, configuration
from tests.soak.checks import answer_to_turn
from waxwingglade.standins.registered_server import RegisteredServer, answer_to
from waxwingglade.transport import HttpRequest, open_connection

PAUSE_S = 1.6
SLOW_EVENT_S = 1.1
"""Seconds between the events of a slow target: all of them are sent in the time of the route."""

WARM_UP_CALLS = 4
"""Calls of each route, after which the entry has an idle connection to each target."""


class PausedTargets(unittest.IsolatedAsyncioTestCase):
    """The only caller of an entry waits for a target that is sound."""

    async def asyncSetUp(self) -> None:
        self.cluster = PlatformCluster(entries=1)
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()
        (self.entry,) = self.cluster.entries
        self.cluster.store.put("op/config", configuration(4, ROUTES))
        async with asyncio.timeout(5.0):
            while (await self.cluster.call(self.entry, "POST", READS)).status != 200:
                await asyncio.sleep(0.05)
        for _ in range(WARM_UP_CALLS):
            for path in (DRAFTS, READS):
                await self.cluster.call(self.entry, "POST", path)

    async def test_a_stream_whose_target_pauses_is_not_cut(self) -> None:
        for events in (0, 2):
            with self.subTest(events=events):
                answer = await self._call(DRAFTS, f"drafts-{events}", self.cluster.engines, events)
                self.assertEqual(answer, (200, answer_to_turn(b"body")))

    async def test_a_call_whose_target_pauses_gets_its_answer(self) -> None:
        answer = await self._call(READS, "reads", self.cluster.notes)
        self.assertEqual(answer, (200, answer_to(b"body")))

    async def test_a_stream_of_a_slow_target_is_not_cut(self) -> None:
        """The target goes on answering others meanwhile."""
        for engine in self.cluster.engines:
            engine.event_s = SLOW_EVENT_S
        answer = await self.cluster.call(self.entry, "POST", DRAFTS, b"body")
        self.assertEqual((answer.status, answer.body), (200, answer_to_turn(b"body")))

    async def _call(
        self, path: str, request: str, servers: list[RegisteredServer], events: int = 0
    ) -> tuple[int, bytes]:
        """Send a request and pause the servers once some events arrived; return the answer."""
        for server in servers:
            server.event_s = 0.1
        connection = await open_connection(f"{self.entry.ip}:{self.entry.port}", 2.0)
        headers = [("Host", HOST), ("X-Waxwingglade-Request-Id", request)]
        connection.send(HttpRequest("POST", path, headers, b"body"))
        body = b""
        try:
            if events:
                head = await connection.read_head(lambda _: True)
                while body.count(b"\n\n") < events:
                    body += await connection.read_piece() or b""
            await asyncio.sleep(0.05)
            for server in servers:
                server.pause(PAUSE_S)
            if not events:
                head = await connection.read_head(lambda _: True)
            return head.status, body + await connection.read_body(10_000)
        finally:
            connection.close()


if __name__ == "__main__":
    unittest.main()
