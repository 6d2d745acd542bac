"""Requests that arrive while their connection is being closed."""

import asyncio
import tracemalloc
import unittest
from unittest import mock

from tornado.httputil import HTTPHeaders, RequestStartLine

from waxwingglade.ingress.exchange import Exchange

SMALL_PIECES = 50_000


class ExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.served: list[Exchange] = []
        self.connection = mock.Mock()
        self.connection.stream.closed.return_value = False
        self.exchange = Exchange(self.connection, self._serve, lambda: True)

    def _serve(self, exchange: Exchange) -> asyncio.Task:
        self.served.append(exchange)
        return mock.Mock()

    def _read(self) -> None:
        self.exchange.headers_received(RequestStartLine("POST", "/", "HTTP/1.1"), HTTPHeaders())
        self.exchange.data_received(b"body")
        self.exchange.finish()

    def test_a_body_in_small_pieces_takes_little_more_memory_than_its_size(self) -> None:
        # Guards against a caller whose body in chunks of two bytes exhausts the memory of the VM.
        self.exchange.headers_received(RequestStartLine("POST", "/", "HTTP/1.1"), HTTPHeaders())
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(SMALL_PIECES):
            self.exchange.data_received(number.to_bytes(2))
        self.assertLess(tracemalloc.get_traced_memory()[1], 3 * 2 * SMALL_PIECES)
        self.assertEqual(self.exchange.body[2:6], b"\0\1\0\2")

    def test_a_connection_without_a_request_is_closed(self) -> None:
        self.exchange.close_when_idle()
        self.connection.stream.close.assert_called_once()

    def test_a_request_that_was_read_before_is_served(self) -> None:
        self._read()
        self.exchange.close_when_idle()
        self.connection.stream.close.assert_not_called()
        self.assertEqual(self.served, [self.exchange])

    def test_a_request_that_arrives_after_the_close_is_not_passed_on(self) -> None:
        self.exchange.close_when_idle()
        self.connection.stream.closed.return_value = True
        self._read()
        self.assertEqual(self.served, [])
        self.assertTrue(self.exchange.disconnected)
