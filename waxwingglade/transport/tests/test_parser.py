"""Parsing of bytes that arrive in arbitrary pieces, and encoding of requests."""

import unittest
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from waxwingglade.transport.messages import HttpRequest, HttpResponse
from waxwingglade.transport.parser import (
    MAX_HEADER_BYTES,
    Event,
    InvalidResponse,
    ResponseEnd,
    ResponseParser,
)

WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nhel\r\n2\r\nlo\r\n0\r\nX-Sum: 9\r\n\r\n"
)
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nhello"
CLOSING = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" + WITH_LENGTH
EMPTY = b"HTTP/1.1 204 No Content\r\n\r\n"
HTTP_1_0 = b"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello"

Complete = tuple[int, bytes, ResponseEnd]


def responses(parser: ResponseParser) -> tuple[list[Complete], str]:
    """Return all complete responses, and the error after them."""
    complete: list[Complete] = []
    status, body = 0, b""
    while True:
        try:
            event: Event | None = parser.take()
        except InvalidResponse as error:
            return complete, str(error)
        if event is None:
            return complete, ""
        if isinstance(event, HttpResponse):
            status, body = event.status, b""
        elif isinstance(event, ResponseEnd):
            complete.append((status, body, event))
        else:
            body += event


def read(data: bytes, split_points: list[int], ended: bool) -> tuple[list[Complete], str]:
    """Parse bytes in pieces, with or without the end of the connection."""
    parser = ResponseParser()
    marks = sorted({0, len(data), *(cut % (len(data) + 1) for cut in split_points)})
    for first, last in pairwise(marks):
        parser.feed(data[first:last])
    if ended:
        parser.end()
    return responses(parser)


split_points = st.lists(st.integers(0, 300), max_size=8)


class ReadingTest(unittest.TestCase):
    def test_a_status_that_http_does_not_define_is_no_response(self) -> None:
        # Guards against answers of failing servers whose status is 000.
        for status in (b"000", b"007", b"099", b"600", b"999"):
            for framing in (b"Content-Length: 4\r\n", b"Transfer-Encoding: chunked\r\n", b""):
                head = b"HTTP/1.1 %b Odd\r\n%b\r\n" % (status, framing)
                with self.subTest(status=status, framing=framing):
                    complete, error = read(head + b"4\r\npart\r\n0\r\n\r\n", [], True)
                    self.assertEqual(complete, [])
                    self.assertEqual(error, f"not HTTP: status {status.decode()}")

    @given(st.sampled_from((WITH_LENGTH, CHUNKED, INTERIM)), split_points)
    def test_a_response_that_ends_before_its_connection(self, data: bytes, at: list[int]) -> None:
        self.assertEqual(read(data, at, False), ([(200, b"hello", ResponseEnd.KEEP_ALIVE)], ""))

    @given(st.sampled_from((CLOSING, HTTP_1_0)), split_points)
    def test_the_last_response_of_a_connection(self, data: bytes, at: list[int]) -> None:
        self.assertEqual(read(data, at, False), ([(200, b"hello", ResponseEnd.CLOSING)], ""))

    @given(split_points)
    def test_a_response_without_a_length_ends_with_the_connection(self, at: list[int]) -> None:
        self.assertEqual(read(WITHOUT_LENGTH, at, False), ([], ""))
        complete, _ = read(WITHOUT_LENGTH, at, True)
        self.assertEqual(complete, [(200, b"hello", ResponseEnd.UNFRAMED)])

    @given(st.sampled_from((WITH_LENGTH, CHUNKED, CLOSING, HTTP_1_0)), st.data(), split_points)
    def test_a_truncated_response_is_not_complete(
        self, data: bytes, draw: st.DataObject, at: list[int]
    ) -> None:
        data = data[: draw.draw(st.integers(1, len(data) - 1))]
        self.assertEqual(read(data, at, True), ([], "the connection has ended"))

    @given(split_points)
    def test_consecutive_responses(self, at: list[int]) -> None:
        complete, wrong = read(EMPTY + CHUNKED + WITH_LENGTH, at, False)
        self.assertEqual([status for status, _, _ in complete], [204, 200, 200])
        self.assertEqual(wrong, "")

    @given(st.binary(min_size=1).filter(lambda data: data.strip(b"\r\n")), split_points)
    def test_bytes_after_a_complete_response_are_detected(self, more: bytes, at: list[int]) -> None:
        parser = ResponseParser()
        parser.feed(WITH_LENGTH + more)
        self.assertIsInstance(parser.take(), HttpResponse)
        self.assertEqual(parser.take(), b"hello")
        self.assertEqual(parser.take(), ResponseEnd.KEEP_ALIVE)
        self.assertTrue(parser.has_more)

    @given(st.binary(), split_points, st.booleans())
    def test_any_bytes(self, data: bytes, at: list[int], ended: bool) -> None:
        read(data, at, ended)

    def test_two_lengths_and_a_length_with_chunks_are_rejected(self) -> None:
        for header in (b"Content-Length: 4", b"Transfer-Encoding: chunked"):
            complete, wrong = read(
                WITH_LENGTH.replace(b"\r\n\r\n", b"\r\n" + header + b"\r\n\r\n"), [], True
            )
            self.assertEqual(complete, [])
            self.assertIn("not HTTP", wrong)

    def test_a_head_without_an_end_is_rejected(self) -> None:
        parser = ResponseParser()
        parser.feed(b"HTTP/1.1 200 OK\r\n")
        for _ in range(MAX_HEADER_BYTES // 1000 + 1):
            parser.feed(b"X: " + b"x" * 1000 + b"\r\n")
        self.assertEqual(
            responses(parser), ([], f"not HTTP: a head of more than {MAX_HEADER_BYTES} bytes")
        )


class WritingTest(unittest.TestCase):
    def test_a_body_has_its_length(self) -> None:
        data = HttpRequest("post", "/a?b", [("Host", "h"), ("X", "\xe4")], b"body").encode()
        self.assertEqual(
            data, b"POST /a?b HTTP/1.1\r\nHost: h\r\nX: \xe4\r\nContent-Length: 4\r\n\r\nbody"
        )
        self.assertIn(b"Content-Length: 0", HttpRequest("POST", "/", []).encode())
        self.assertNotIn(b"Content-Length", HttpRequest("GET", "/", []).encode())

    @given(st.sampled_from(("a\r\nB: c", "a\nb", "a\rb", "a\0b")))
    def test_a_value_cannot_become_another_header(self, value: str) -> None:
        for request in (
            HttpRequest("GET", "/", [("A", value)]),
            HttpRequest("GET", "/", [(value, "a")]),
            HttpRequest("GET", "/" + value, []),
        ):
            with self.assertRaises(ValueError):
                request.encode()

    def test_a_path_cannot_become_another_request(self) -> None:
        for path in ("/a b", "/a HTTP/1.1"):
            with self.assertRaises(ValueError):
                HttpRequest("GET", path, []).encode()


if __name__ == "__main__":
    unittest.main()
