"""A peer that sends messages as fast as they are read does not hold up the requests of others."""

import asyncio
import threading
import unittest

import zmq
import zmq.asyncio
from loguru import logger
from tornado.testing import bind_unused_port

from waxwingglade.base import ConfigVersion
from waxwingglade.base.tests.daemon_loop import OnDaemonLoop
from waxwingglade.connection.peer import PeerLink, PeerServer, Reply
from waxwingglade.connection.peer_messages import (
    PROTOCOL_VERSION,
    ConfigSnapshot,
    Envelope,
    FetchConfig,
    PeerBody,
    encode_envelope,
)
from waxwingglade.connection.tests.peer_builders import flooding

REQUEST = FetchConfig(ConfigVersion(0))
REQUEST_FRAME = encode_envelope(Envelope(PROTOCOL_VERSION, 1, "", REQUEST))
LATE_ANSWER_FRAME = encode_envelope(Envelope(PROTOCOL_VERSION, 10**9, "", ConfigSnapshot()))
FLOOD_BYTES = 50_000
GARBAGE_MESSAGES = 500
REQUESTS = 20
TIMEOUT_S = 5.0
WAIT_LIMIT_S = 40.0
"""Seconds after which a flood is ended, since an event loop that stands still ends nothing."""


async def answer(_body: PeerBody, reply: Reply) -> None:
    """Answer any request."""
    await reply(ConfigSnapshot(), True)


class FloodCase:
    """Two peers, a server and a link to it, beside a third one that sends without end."""

    async def asyncSetUp(self) -> None:
        self.context = zmq.asyncio.Context()
        self.server = PeerServer(self.context, lambda _: True, answer)
        self.endpoint = self.server.start("127.0.0.1", 0)
        self.link = PeerLink(self.context, self.endpoint, "")
        self.addAsyncCleanup(self._close)

    async def _close(self) -> None:
        await self.link.close()
        await self.server.stop()
        self.context.destroy(0)

    async def _expect_answers_beside(self, pattern: int, endpoint: str, frame: bytes) -> None:
        with flooding(pattern, endpoint, frame) as process:
            watchdog = threading.Timer(WAIT_LIMIT_S, process.kill)
            watchdog.start()
            try:
                await self._wait_for_flood()
                for _ in range(REQUESTS):
                    answered = await self.link.request(REQUEST, TIMEOUT_S)
                    self.assertTrue(answered.is_ok(), answered)
                self.assertTrue(process.is_alive(), "the event loop stood still")
            finally:
                watchdog.cancel()

    async def _wait_for_flood(self) -> None:
        async with asyncio.timeout(WAIT_LIMIT_S):
            while self._flood_bytes() < FLOOD_BYTES:
                await asyncio.sleep(0.01)

    def _flood_bytes(self) -> int:
        return self.server.bytes_received


class FloodOfServerTest(FloodCase, unittest.IsolatedAsyncioTestCase):
    async def test_requests_without_end_do_not_starve_other_peers(self) -> None:
        await self._expect_answers_beside(zmq.DEALER, self.endpoint, REQUEST_FRAME)

    async def test_garbage_without_end_does_not_starve_other_peers(self) -> None:
        await self._expect_answers_beside(zmq.DEALER, self.endpoint, b"garbage")


class FloodOfLinkTest(FloodCase, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        bound, port = bind_unused_port()
        bound.close()
        self.flooding_endpoint = f"tcp://127.0.0.1:{port}"
        self.flooded = PeerLink(self.context, self.flooding_endpoint, "")

    async def _close(self) -> None:
        await self.flooded.close()
        await super()._close()

    def _flood_bytes(self) -> int:
        return self.flooded.bytes_received

    async def test_answers_without_end_do_not_starve_other_peers(self) -> None:
        asked = asyncio.create_task(self.flooded.request(REQUEST, WAIT_LIMIT_S))
        await self._expect_answers_beside(zmq.ROUTER, self.flooding_endpoint, LATE_ANSWER_FRAME)
        asked.cancel()


class LogTest(FloodCase, unittest.IsolatedAsyncioTestCase):
    async def test_garbage_does_not_fill_the_log(self) -> None:
        lines: list[str] = []
        sink = logger.add(lines.append, level="WARNING")
        self.addCleanup(logger.remove, sink)
        with self.context.socket(zmq.DEALER) as sender:
            sender.connect(self.endpoint)
            for _ in range(GARBAGE_MESSAGES):
                await sender.send(b"garbage")
            async with asyncio.timeout(WAIT_LIMIT_S):
                while self._flood_bytes() < GARBAGE_MESSAGES * len(b"garbage"):
                    await asyncio.sleep(0.01)
        self.assertIn("ignored", lines[0])
        self.assertLess(len(lines), GARBAGE_MESSAGES / 10)


class FloodOfServerOnDaemonLoopTest(OnDaemonLoop, FloodOfServerTest):
    pass


class FloodOfLinkOnDaemonLoopTest(OnDaemonLoop, FloodOfLinkTest):
    pass


if __name__ == "__main__":
    unittest.main()
