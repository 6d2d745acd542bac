"""What a probe finds out about open connections, and that only dead ones end a request."""

import asyncio
import time
import unittest

from waxwingglade.base.tests.daemon_loop import OnDaemonLoop
from waxwingglade.transport import ConnectionPool, Finding, HttpRequest, Unresponsive, WaitLimits
from waxwingglade.transport.http1 import Http1Connection, open_connection
from waxwingglade.transport.liveness import PROBE_LEAD_S
from waxwingglade.transport.probe import (
    ANSWER_TIMEOUT_S,
    SPREAD_S,
    ProbeResult,
    _is_answered,
    probe,
)
from waxwingglade.transport.tests.cut_builders import Cut, CutServer, answers

REQUEST = HttpRequest("GET", "/", [("Host", "h")])
HEALTH = HttpRequest("GET", "/health", [("Host", "h")])
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
END_S = 0.4


class PausingServer:
    """A server of which a test decides on which connections it answers, and when.

    Attributes
    ----------
    resumed : asyncio.Event
        Cleared while the server sends nothing.
    dead : int
        Number of connections, the first ones, that lose all bytes.
    delays_s : dict
        Seconds by which answers on a connection are late, by its number.
    health_requests : int
        Number of requests to the health path that were answered.
    """

    def __init__(self) -> None:
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.dead = 0
        self.resets_new = False
        self.opened = 0
        self.delays_s: dict[int, float] = {}
        self.health_requests = 0
        self.answer = ANSWER
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> str:
        """Start to serve, and return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = self.opened
        self.opened += 1
        self.writers.append(writer)
        if self.resets_new:
            writer.transport.abort()
            return
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                if number < self.dead:
                    continue
                await asyncio.sleep(self.delays_s.get(number, 0.0))
                await self.resumed.wait()
                self.health_requests += b"/health" in head
                writer.write(self.answer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The test or the connection ended.
        finally:
            writer.close()


class ProbeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = PausingServer()
        self.address = await self.server.start()
        self.addCleanup(self.server.server.close)
        self.pool = ConnectionPool(5.0)
        self.addCleanup(self.pool.close)

    async def open(self, count: int = 1) -> list[Http1Connection]:
        """Return connections that were opened together, and on which a request was answered."""
        connections = [await self.pool.acquire(self.address) for _ in range(count)]
        for connection in connections:
            connection.send(REQUEST)
            await connection.read_head(lambda _: True)
            await connection.read_body(10)
        return connections

    async def finding(self) -> Finding:
        """Probe with an idle connection, and return what is found."""
        (witness,) = await self.open()
        result, reusable = await probe(witness, HEALTH, 1.0)
        for connection in reusable:
            connection.close()
        return result.finding

    async def test_open_connections_work_if_one_is_answered(self) -> None:
        self.assertEqual(await self.finding(), Finding.WORKING)

    async def test_they_are_dead_if_only_a_new_connection_is_answered(self) -> None:
        self.server.dead = 1
        (witness,) = [await self.pool.acquire(self.address)]
        heard_at = witness.last_received_at
        result, reusable = await probe(witness, HEALTH, 1.0)
        self.assertEqual(result, ProbeResult(Finding.DEAD, heard_at))
        self.assertFalse(witness.usable)
        (new,) = reusable
        new.close()

    async def test_a_target_that_pauses_tells_nothing(self) -> None:
        (witness,) = await self.open()
        self.server.resumed.clear()
        began_at = time.monotonic()
        result, reusable = await probe(witness, HEALTH, 1.0)
        self.assertEqual((result.finding, reusable), (Finding.UNANSWERED, []))
        self.assertLess(time.monotonic() - began_at, 2 * ANSWER_TIMEOUT_S)

    async def test_a_target_that_goes_on_may_answer_the_new_connection_first(self) -> None:
        """Guards against a pause that ends within a probe and counts as a dead connection."""
        self.server.delays_s = {0: SPREAD_S / 2}
        self.assertEqual(await self.finding(), Finding.WORKING)

    async def test_a_connection_that_the_target_closes_carries_bytes(self) -> None:
        (witness,) = await self.open()
        self.server.resumed.clear()
        asyncio.get_running_loop().call_later(0.05, self.server.writers[0].transport.abort)
        result, _ = await probe(witness, HEALTH, 1.0)
        self.assertEqual(result.finding, Finding.WORKING)

    async def test_a_target_that_resets_new_connections_tells_nothing(self) -> None:
        """Guards against a full target that counts as reached while it is slow to answer."""
        (witness,) = await self.open()
        self.server.resumed.clear()
        self.server.resets_new = True
        result, _ = await probe(witness, HEALTH, 1.0)
        self.assertEqual(result.finding, Finding.UNANSWERED)

    async def test_a_new_connection_that_ends_within_a_head_is_not_answered(self) -> None:
        """Guards against open connections that count as dead after a part of an answer."""
        for answer in answers(b"ok"):
            for size in answer.cuts(others=2):
                if size >= answer.body_at:
                    continue
                with self.subTest(framing=answer.name, size=size):
                    async with CutServer(Cut(answer.data[:size])) as server:
                        connection = await open_connection(server.address, 1.0)
                        self.assertFalse(await _is_answered(connection, HEALTH))
                        connection.close()

    def test_a_connection_opened_after_the_others_last_worked_may_be_alive(self) -> None:
        result = ProbeResult(Finding.DEAD, worked_at=5.0)
        self.assertTrue(result.is_dead(opened_at=4.0))
        self.assertFalse(result.is_dead(opened_at=6.0))

    # Requests of a pool that are probed

    async def wait(self, connections: list[Http1Connection]) -> list[asyncio.Task]:
        """Send a request on each connection and wait for its answer under a watch."""
        waiting = []
        for connection in connections:
            connection.send(REQUEST)
            self.pool.watch(connection, WaitLimits(END_S / 2, END_S, HEALTH))
            waiting.append(asyncio.create_task(connection.read_head(lambda _: True)))
        return waiting

    async def test_a_request_waits_while_its_target_pauses(self) -> None:
        one, two = await self.open(2)
        self.pool.release(self.address, two)
        self.server.resumed.clear()
        (waiting,) = await self.wait([one])
        await asyncio.sleep(2 * END_S)
        self.server.resumed.set()
        self.assertEqual((await waiting).status, 200)
        self.assertEqual(self.pool.findings[Finding.UNANSWERED], 1)

    async def test_a_request_waits_for_a_slow_answer_of_a_target_that_works(self) -> None:
        one, two = await self.open(2)
        self.pool.release(self.address, two)
        self.server.delays_s = {0: 2 * END_S}
        (waiting,) = await self.wait([one])
        self.assertEqual((await waiting).status, 200)
        self.assertEqual(self.pool.findings, {Finding.WORKING: 1})

    async def test_a_request_waits_if_no_idle_connection_tells(self) -> None:
        (one,) = await self.open()
        self.server.delays_s = {0: 2 * END_S}
        (waiting,) = await self.wait([one])
        self.assertEqual((await waiting).status, 200)
        self.assertEqual(self.server.opened, 1, "no connection is opened in vain")

    async def test_requests_on_dead_connections_end_and_share_a_probe(self) -> None:
        *used, idle = await self.open(4)
        self.pool.release(self.address, idle)
        self.server.dead = 4
        began_at = time.monotonic()
        waiting = await self.wait(used)
        for task in waiting:
            with self.assertRaisesRegex(Unresponsive, Finding.DEAD.value):
                await task
        self.assertLess(
            time.monotonic() - began_at, END_S + SPREAD_S + PROBE_LEAD_S, "soon after their time"
        )
        self.assertEqual(self.server.health_requests, 1)
        self.assertEqual(self.pool.findings, {Finding.DEAD: 1})

    async def ends_as_dead(self, *waiting: asyncio.Task) -> None:
        """Expect that requests on dead connections end soon after their time."""
        done, pending = await asyncio.wait(waiting, timeout=4 * END_S)
        for task in pending:
            task.cancel()
        self.assertFalse(pending, "it would wait until the time of its caller is over")
        for task in done:
            self.assertIsInstance(task.exception(), Unresponsive)

    async def test_a_request_sent_before_a_probe_found_its_connection_dead_ends(self) -> None:
        """Guards against the new connection of the first probe being the witness of the second."""
        one, two, idle = await self.open(3)
        self.pool.release(self.address, idle)
        self.server.dead = 3
        first = await self.wait([one])
        await asyncio.sleep(0.7 * END_S)
        second = await self.wait([two])
        await self.ends_as_dead(*first, *second)

    async def test_a_newer_idle_connection_does_not_tell_for_older_ones(self) -> None:
        one, idle = await self.open(2)
        self.pool.release(self.address, idle)
        self.server.dead = 2
        (first,) = await self.wait([one])
        (newer,) = [await self.pool.acquire(self.address) for _ in range(2)][1:]
        newer.send(REQUEST)
        await newer.read_head(lambda _: True)
        await newer.read_body(10)
        self.pool.release(self.address, newer)
        self.pool.release(self.address, idle)
        await self.ends_as_dead(first)

    async def test_a_request_to_another_target_leaves_the_idle_connection_that_tells(self) -> None:
        """Guards against requests that wait in vain as the first one closed their witness."""
        (one, idle), mine = await self.open(2), self.server
        self.pool.release(self.address, idle)
        my_address, self.server = self.address, PausingServer()
        self.address = await self.server.start()
        self.addCleanup(self.server.server.close)
        other, other_idle = await self.open(2)
        self.pool.release(self.address, other_idle)
        mine.dead = self.server.dead = 2
        self.assertNotEqual(my_address, self.address)
        await self.ends_as_dead(*await self.wait([other, one]))

    async def test_an_answer_after_a_lost_packet_is_awaited(self) -> None:
        """The kernel sends a lost request again after 0.2 s and a round trip."""
        self.server.delays_s = {0: 0.22}
        self.assertEqual(await self.finding(), Finding.WORKING)

    async def test_connections_that_are_not_reused_are_closed(self) -> None:
        (witness,) = await self.open()
        self.server.answer = ANSWER.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        _, reusable = await probe(witness, HEALTH, 1.0)
        self.assertEqual(reusable, [])
        assert witness.transport is not None
        self.assertTrue(witness.transport.is_closing())

    async def test_a_probe_that_is_cancelled_closes_its_connections(self) -> None:
        (witness,) = await self.open()
        self.server.resumed.clear()
        task = asyncio.create_task(probe(witness, HEALTH, 1.0))
        await asyncio.sleep(0.05)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        assert witness.transport is not None
        self.assertTrue(witness.transport.is_closing())


class ProbeOnDaemonLoopTest(OnDaemonLoop, ProbeTest):
    """The same tests on the event loop of the daemons."""


if __name__ == "__main__":
    unittest.main()
