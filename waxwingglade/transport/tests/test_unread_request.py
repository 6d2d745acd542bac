"""A request that its target does not read at once, as the target pauses."""

import asyncio
import socket
import unittest

from waxwingglade.base.tests.daemon_loop import OnDaemonLoop
from waxwingglade.transport import HttpRequest, open_connection

PAUSE_S = 1.6
BODY = b"x" * 100_000
RECEIVE_BUFFER_BYTES = 16 * 1024
"""Smaller than the body, so that a part of it stays at the sender until the target reads."""


class UnreadRequest(unittest.IsolatedAsyncioTestCase):
    async def test_a_target_that_pauses_with_a_full_receive_buffer_is_not_lost(self) -> None:
        """Guards against a connection that the kernel resets while its sound target pauses."""
        listening = socket.socket()
        self.addCleanup(listening.close)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        listening.setblocking(False)
        serving = asyncio.create_task(self._serve(listening))
        connection = await open_connection(f"127.0.0.1:{listening.getsockname()[1]}", 1.0)
        self.addCleanup(connection.close)
        connection.send(HttpRequest("POST", "/", [("Host", "h")], BODY))
        head = await connection.read_head(lambda _: True)
        self.assertEqual((head.status, await connection.read_body(10)), (200, b"ok"))
        await serving

    async def _serve(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        accepted, _ = await loop.sock_accept(listening)
        self.addCleanup(accepted.close)
        await asyncio.sleep(PAUSE_S)
        received = 0
        while received < len(BODY):
            received += len(await loop.sock_recv(accepted, len(BODY)))
        await loop.sock_sendall(accepted, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


class UnreadRequestOnDaemonLoop(OnDaemonLoop, UnreadRequest):
    """The same test on the event loop of the daemons."""


if __name__ == "__main__":
    unittest.main()
