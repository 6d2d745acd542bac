"""The page that the balancer requests, and the metrics page."""

import asyncio
import unittest
from unittest import mock

from tornado.httpclient import AsyncHTTPClient, HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from waxwingglade.base.tests.daemon_loop import OnDaemonLoop
from waxwingglade.transport import page
from waxwingglade.transport.page import MAX_REQUEST_BYTES, serve_metrics, serve_page

WAIT_LIMIT_S = 5.0


def free_address() -> str:
    """Return a loopback address on which nothing listens."""
    bound, port = bind_unused_port()
    bound.close()
    return f"127.0.0.1:{port}"


class PageTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.status, self.text = 200, "ready: ja\n"
        self.address = free_address()
        self.serve(self.address)
        self.client = AsyncHTTPClient()

    def serve(self, address: str) -> HTTPServer:
        """Serve the page of this test at an address."""
        server = serve_page(address, "/v1/.*", lambda: (self.status, self.text))
        self.addCleanup(server.stop)
        return server

    async def ask(self, path: str = "/v1/ready", method: str = "GET") -> HTTPResponse:
        """Request a path."""
        body = b"" if method == "POST" else None
        return await self.client.fetch(
            f"http://{self.address}{path}", method=method, body=body, raise_error=False
        )

    async def test_each_request_renders_the_page_anew(self) -> None:
        self.assertEqual((await self.ask()).body, b"ready: ja\n")
        self.status, self.text = 503, "\N{SNOWMAN}"
        answer = await self.ask()
        self.assertEqual((answer.code, answer.body.decode()), (503, "\N{SNOWMAN}"))
        self.assertEqual(answer.headers["Content-Type"].split(";")[0], "text/plain")

    async def test_a_query_does_not_belong_to_the_path(self) -> None:
        self.assertEqual((await self.ask("/v1/ready?from=balancer")).code, 200)

    async def test_another_path_is_not_found(self) -> None:
        self.assertEqual((await self.ask("/v2/ready")).code, 404)
        self.assertEqual((await self.ask("/x/v1/ready")).code, 404)

    async def test_the_answer_to_a_head_request_has_no_body(self) -> None:
        answer = await self.ask(method="HEAD")
        self.assertEqual((answer.code, answer.body), (200, b""))
        self.assertEqual(answer.headers["Content-Length"], str(len(self.text)))

    async def test_other_methods_are_rejected(self) -> None:
        answer = await self.ask(method="POST")
        self.assertEqual((answer.code, answer.headers["Allow"]), (405, "GET, HEAD"))

    async def test_a_body_over_the_limit_is_not_read(self) -> None:
        """Guards against memory that a body of any size would take."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        size = MAX_REQUEST_BYTES + 1
        head = f"POST /v1/ready HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n"
        writer.write(head.encode())
        async with asyncio.timeout(WAIT_LIMIT_S):
            self.assertIn(b" 400 ", await reader.readline())

    async def test_a_body_that_does_not_arrive_in_time_closes_its_connection(self) -> None:
        with mock.patch.object(page, "BODY_TIMEOUT_S", 0.1):
            self.address = free_address()
            self.serve(self.address)
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(b"POST /v1/ready HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx")
        async with asyncio.timeout(WAIT_LIMIT_S):
            self.assertEqual(await reader.read(), b"")

    async def test_an_address_in_use_is_an_error(self) -> None:
        with self.assertRaises(OSError):
            self.serve(self.address)
        self.assertEqual(serve_metrics(self.address, lambda: ""), [])
        self.assertEqual(serve_metrics("", lambda: ""), [])


class PageOnDaemonLoopTest(OnDaemonLoop, PageTest):
    """The same tests on the event loop of the daemons."""


if __name__ == "__main__":
    unittest.main()
