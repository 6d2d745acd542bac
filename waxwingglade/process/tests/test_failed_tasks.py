"""Tasks of an entry that fail once, in a way that nobody foresaw, go on."""

import asyncio
import unittest
from typing import Any
from unittest import mock

import zmq.asyncio

from waxwingglade.base import ConfigVersion
from waxwingglade.base.tests.failing import failing_once
from waxwingglade.connection import peer
from waxwingglade.connection.peer_messages import ConfigSnapshot, FetchConfig
from waxwingglade.decisions import Dispatcher
from waxwingglade.decisions.tests.builders import FakeClock, engine, table, work
from waxwingglade.process.members import Heartbeats
from waxwingglade.version import follow_store, following
from waxwingglade.version.tests.builders import FakeStore, make_service

IN_STEP_S = 2.0


class FailedTasks(unittest.IsolatedAsyncioTestCase):
    async def assert_called_again(self, called: mock.Mock, times: int = 2) -> None:
        """Check that a failed function is called again in time."""
        async with asyncio.timeout(IN_STEP_S):
            while called.call_count < times:
                await asyncio.sleep(0.01)

    async def test_calls_that_wait_for_a_target_are_checked_again(self) -> None:
        clock = FakeClock()
        dispatcher = Dispatcher(table(clock, engine("engine-1", slots=1)), clock)
        (await dispatcher.acquire(work())).unwrap()
        self.enterContext(mock.patch("waxwingglade.decisions.dispatch.RECHECK_S", 0.01))
        waiting = asyncio.create_task(dispatcher.acquire(work()))
        await asyncio.sleep(0)
        with failing_once(dispatcher, "_readmit") as called:
            await self.assert_called_again(called)
        waiting.cancel()

    async def test_the_head_of_the_configuration_is_read_again(self) -> None:
        service = make_service(FakeStore(), "entry-1")
        self.enterContext(mock.patch.object(following, "POLL_S", 0.01))
        task = asyncio.create_task(follow_store(service.config_store, service.active))
        with failing_once(following, "catch_up") as called:
            await self.assert_called_again(called)
        task.cancel()

    async def test_peers_are_chosen_again(self) -> None:
        members = mock.Mock()
        members.settings.heartbeat_s = 0.01
        links = mock.Mock(close_idle=mock.AsyncMock())
        heartbeats = Heartbeats(members, links, [], mock.Mock(), mock.Mock())
        self.addAsyncCleanup(heartbeats.stop)
        addresses = mock.Mock(side_effect=[RecursionError, set(), set()])
        with mock.patch.object(heartbeats, "_addresses", addresses):
            await self.assert_called_again(addresses)

    async def test_a_peer_that_sent_an_unreadable_request_is_answered(self) -> None:
        context = zmq.asyncio.Context()
        self.addCleanup(context.term)

        async def handle(_request: Any, reply: Any) -> None:
            await reply(ConfigSnapshot())

        server = peer.PeerServer(context, lambda _: True, handle)
        address = server.start("127.0.0.1", 0)
        self.addAsyncCleanup(server.stop)
        link = peer.PeerLink(context, address, "")
        self.addAsyncCleanup(link.close)
        with failing_once(peer, "decode_envelope"):
            await link.request(FetchConfig(ConfigVersion(0)), timeout_s=0.5)
        answer = await link.request(FetchConfig(ConfigVersion(0)), timeout_s=IN_STEP_S)
        self.assertTrue(answer.is_ok())
