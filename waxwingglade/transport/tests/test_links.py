"""Requests between two processes over real sockets: matching, batching, and unreachable peers."""

import asyncio
import time
import unittest
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any
from unittest import mock

import msgspec
import zmq

from tests.ports import ReservedPorts
from waxwingglade.base.tests.daemon_loop import OnDaemonLoop
from waxwingglade.base.tests.failing import failing_once
from waxwingglade.transport.links import (
    RECONNECT_WAIT_S,
    Codec,
    LinkFailed,
    Links,
    LinkServer,
    LinkSocket,
)

SHUTDOWN_TRIES = 20
"""Shutdowns of a peer.  Without the wait for the last answers, one in five lost its last answer."""

DETECT_S = 1.0
"""Seconds within which the loss of a peer has to be detected on a busy machine."""


class Ping(msgspec.Struct, tag=True):
    """A request that is answered after `delay_s` seconds, or never if that is negative."""

    number: int
    delay_s: float = 0.0


class Pong(msgspec.Struct, tag=True):
    """The answer to a `Ping`."""

    number: int


LARGE = 10**400
LARGE_ANSWER = 7
"""Number of a request whose answer no message can carry."""


def answer_now(handler: Callable[[Ping], Coroutine[Any, Any, Pong]], message: Ping) -> Pong:
    """Return the answer of a handler that waits for nothing."""
    try:
        handler(message).send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the handler waits")


async def answer(message: Ping) -> Pong | None:
    """Answer a request after its delay, or not at all."""
    if message.delay_s < 0:
        return None
    await asyncio.sleep(message.delay_s)
    return Pong(message.number)


class LinksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.context = zmq.Context()
        self.addCleanup(self.context.term)
        codec = Codec(Ping | Pong)
        self.server = LinkServer(self.context, codec, answer)
        self.address = self.server.start("tcp://127.0.0.1:*")
        self.addAsyncCleanup(self.server.stop)
        self.links = Links(self.context, codec)
        self.addCleanup(self.links.close)

    async def ask(self, *messages: Ping, timeout_s: float = 20.0) -> list[Any]:
        """Send requests in one iteration of the event loop and return their answers."""
        link = self.links.to(self.address)
        requests = [link.request(message, timeout_s) for message in messages]
        return await asyncio.gather(*requests, return_exceptions=True)

    async def test_answers_that_overtake_each_other_reach_their_own_requests(self) -> None:
        answers = await self.ask(Ping(1, 0.05), Ping(2), Ping(3, 0.02))
        self.assertEqual(answers, [Pong(1), Pong(2), Pong(3)])

    async def test_simultaneous_requests_and_answers_share_one_message(self) -> None:
        await self.ask(Ping(0))
        sent: list[int] = []
        send = LinkSocket.send

        def count(link_socket: LinkSocket, frames: list[bytes]) -> bool:
            sent.append(len(frames))
            return send(link_socket, frames)

        with mock.patch.object(LinkSocket, "send", count):
            answers = await self.ask(*(Ping(number) for number in range(50)))
        self.assertEqual(answers, [Pong(number) for number in range(50)])
        self.assertEqual(
            sent, [50, 51], "50 requests; their answers after the identity of the sender"
        )

    async def test_a_request_without_an_answer_fails_and_affects_no_other(self) -> None:
        failed, answered = await self.ask(Ping(1, -1.0), Ping(2), timeout_s=0.3)
        self.assertIsInstance(failed, LinkFailed)
        self.assertTrue(failed.sent)
        self.assertEqual(answered, Pong(2))
        self.assertEqual(self.links.to(self.address).pending, {})

    async def test_a_request_that_fails_at_once_affects_no_other_in_its_message(self) -> None:
        await self.ask(Ping(0))
        with failing_once(self.server, "answer_at_once"):
            failed, answered = await self.ask(Ping(1), Ping(2), timeout_s=0.5)
        self.assertIsInstance(failed, LinkFailed)
        self.assertEqual(answered, Pong(2))

    async def test_a_message_that_fails_leaves_none_unread(self) -> None:
        await self.ask(Ping(0))
        link = self.links.to(self.address)
        with failing_once(self.server.link_socket, "received") as received:
            failed = link.post(Ping(1), 0.5)
            await asyncio.sleep(0)
            answered = link.post(Ping(2), 0.5)
            await asyncio.sleep(0)
            time.sleep(0.1)
            outcomes = await asyncio.gather(failed, answered, return_exceptions=True)
        self.assertEqual(2, received.call_count)
        self.assertIsInstance(outcomes[0], LinkFailed)
        self.assertEqual(outcomes[1], Pong(2))

    async def test_a_message_without_an_answer_replaces_the_one_before(self) -> None:
        arrived: list[Ping] = []

        async def record(message: Ping) -> None:
            arrived.append(message)

        link = self.links.to(self.address)
        with mock.patch.object(self.server, "handler", record):
            for number in range(3):
                link.tell(Ping(number))
            while not arrived:
                await asyncio.sleep(0.001)
        self.assertEqual(([Ping(2)], {}, None), (arrived, link.pending, link.untold))

    async def test_a_request_to_an_unreachable_peer_is_not_sent_later(self) -> None:
        link = self.links.to("tcp://127.0.0.1:1")
        with self.assertRaises(LinkFailed) as caught:
            await link.request(Ping(1), 0.05)
        self.assertFalse(caught.exception.sent)
        self.assertEqual((link.unsent, link.pending), ({}, {}))

    async def test_a_cancelled_request_is_removed(self) -> None:
        link = self.links.to("tcp://127.0.0.1:1")
        asking = asyncio.create_task(link.request(Ping(1), 20.0))
        await asyncio.sleep(0)
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        self.assertEqual((link.unsent, link.pending), ({}, {}))

    async def test_a_closed_link_fails_pending_and_new_requests(self) -> None:
        link = self.links.to(self.address)
        asking = asyncio.create_task(link.request(Ping(1, -1.0), 20.0))
        await asyncio.sleep(0.05)
        link.close()
        with self.assertRaises(LinkFailed):
            await asking
        with self.assertRaises(LinkFailed):
            await link.request(Ping(2), 20.0)

    async def test_a_value_that_no_message_can_carry_costs_only_its_own_answer(self) -> None:
        async def answer_large(message: Ping) -> Pong:
            return Pong(LARGE if message.number == LARGE_ANSWER else message.number)

        for name in ("handler", "answer_at_once"):
            own = answer_large if name == "handler" else partial(answer_now, answer_large)
            with self.subTest(name=name), mock.patch.object(self.server, name, own):
                failed, *answers = await self.ask(
                    Ping(LARGE_ANSWER), Ping(1), Ping(2), timeout_s=1.0
                )
                self.assertIsInstance(failed, LinkFailed)
                self.assertEqual([Pong(1), Pong(2)], answers)

    async def test_a_request_that_no_message_can_carry_fails_alone(self) -> None:
        failed, answered = await self.ask(Ping(LARGE), Ping(1))
        self.assertIsInstance(failed, LinkFailed)
        self.assertFalse(failed.sent)
        self.assertEqual(Pong(1), answered)
        link = self.links.to(self.address)
        link.tell(Ping(LARGE))
        self.assertEqual(({}, {}, None), (link.unsent, link.pending, link.untold))

    async def test_an_address_that_is_no_endpoint_fails_like_an_unreachable_peer(self) -> None:
        for address in ("address", "", "tcp://a\0b", "x" * 5000):
            with self.subTest(address=address[:9]), self.assertRaises(LinkFailed) as caught:
                self.links.to(address)
            self.assertLess(len(str(caught.exception)), 300)

    async def lose_peer(self) -> None:
        """Stop the peer after one answer, and wait until the loss is detected."""
        await self.ask(Ping(0))
        await self.server.stop()
        async with asyncio.timeout(DETECT_S):
            while not self.links.to(self.address).lost:
                await asyncio.sleep(0.005)

    async def restart_peer(self) -> None:
        """Start a peer that answers at the same address."""
        server = LinkServer(self.context, self.links.codec, answer)
        self.addAsyncCleanup(server.stop)
        server.start(self.address)

    async def test_a_request_to_a_lost_peer_fails_before_its_timeout(self) -> None:
        await self.lose_peer()
        for number in range(2):
            began_at = time.monotonic()
            (failed,) = await self.ask(Ping(number))
            self.assertIsInstance(failed, LinkFailed)
            self.assertFalse(failed.sent)
            self.assertLess(time.monotonic() - began_at, DETECT_S)
        link = self.links.to(self.address)
        self.assertEqual((link.unsent, link.pending), ({}, {}))

    async def test_a_request_that_was_sent_fails_with_its_connection(self) -> None:
        """Guards against waiting until the timeout for an answer that can no longer arrive."""
        await self.ask(Ping(0))
        under_way = self.links.to(self.address).post(Ping(1, -1.0), 20.0)
        await asyncio.sleep(0.1)
        await self.server.stop()
        began_at = time.monotonic()
        with self.assertRaises(LinkFailed) as failed:
            await under_way
        self.assertTrue(failed.exception.sent)
        self.assertLess(time.monotonic() - began_at, DETECT_S)

    async def test_a_request_waits_until_the_connection_is_reopened(self) -> None:
        with mock.patch("waxwingglade.transport.links.RECONNECT_WAIT_S", 1.0):
            await self.lose_peer()
            request = asyncio.create_task(self.ask(Ping(1, 1.2)))
            await asyncio.sleep(0)
            await self.restart_peer()
            self.assertEqual(
                await request, [Pong(1)], "sent within the wait, and answered within its timeout"
            )
        self.assertFalse(self.links.to(self.address).lost)

    async def test_a_request_waits_until_the_first_connection_is_open(self) -> None:
        ports = ReservedPorts()
        self.addCleanup(ports.close)
        self.address = f"tcp://127.0.0.1:{ports.reserve()}"
        request = asyncio.create_task(self.ask(Ping(1)))
        await asyncio.sleep(5 * RECONNECT_WAIT_S)
        self.assertFalse(request.done())
        await self.restart_peer()
        self.assertEqual(await request, [Pong(1)])

    async def test_the_last_answers_are_read_before_the_connection_ends(self) -> None:
        for number in range(SHUTDOWN_TRIES):
            asking = self.links.to(self.address).post(Ping(number, 0.01), 20.0)
            while not self.server.running:
                await asyncio.sleep(0.001)
            await self.server.finish(20.0)
            await self.server.stop()
            self.assertEqual(await asking, Pong(number))
            self.server = LinkServer(self.context, self.links.codec, answer)
            self.addAsyncCleanup(self.server.stop)
            self.address = self.server.start("tcp://127.0.0.1:*")

    async def test_no_link_is_opened_once_all_are_closed(self) -> None:
        await self.ask(Ping(1))
        self.links.close()
        for address in (self.address, "tcp://127.0.0.1:1"):
            with self.subTest(address):
                link = self.links.to(address)
                self.addCleanup(link.close)
                self.assertTrue(link.link_socket.socket.closed)
                with self.assertRaises(LinkFailed):
                    await link.request(Ping(2), 20.0)

    async def test_an_invalid_frame_is_ignored(self) -> None:
        link = self.links.to(self.address)
        await self.ask(Ping(1))
        link.link_socket.send([b"nonsense", link.codec.encode(7, Ping(2))])
        self.assertEqual(await self.ask(Ping(3)), [Pong(3)])


class LinksOnDaemonLoopTest(OnDaemonLoop, LinksTest):
    """The same tests on the event loop of the daemons."""


if __name__ == "__main__":
    unittest.main()
