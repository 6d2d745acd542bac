"""What is read from a connection's bytes, however they are cut, and what is written."""

import unittest
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from waxwingglade.transport.messages import HttpRequest, HttpResponse
from waxwingglade.transport.parser import MAX_HEADER_BYTES, End, Event, NotHttp, ResponseParser

WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nhel\r\n2\r\nlo\r\n0\r\nX-Sum: 9\r\n\r\n"
)
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nhello"
CLOSING = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" + WITH_LENGTH
EMPTY = b"HTTP/1.1 204 No Content\r\n\r\n"
OLD = b"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello"

Whole = tuple[int, bytes, End]


def responses(parser: ResponseParser) -> tuple[list[Whole], str]:
    """Return all whole responses, and what is wrong after them."""
    whole: list[Whole] = []
    status, body = 0, b""
    while True:
        try:
            event: Event | None = parser.take()
        except NotHttp as error:
            return whole, str(error)
        if event is None:
            return whole, ""
        if isinstance(event, HttpResponse):
            status, body = event.status, b""
        elif isinstance(event, End):
            whole.append((status, body, event))
        else:
            body += event


def read(data: bytes, cuts: list[int], ended: bool) -> tuple[list[Whole], str]:
    """Read bytes in pieces, with or without the end of the connection."""
    parser = ResponseParser()
    marks = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    for first, last in pairwise(marks):
        parser.feed(data[first:last])
    if ended:
        parser.end()
    return responses(parser)


cuts = st.lists(st.integers(0, 300), max_size=8)


class ReadingTest(unittest.TestCase):
    @given(st.sampled_from((WITH_LENGTH, CHUNKED, INTERIM)), cuts)
    def test_a_response_with_an_end_of_its_own(self, data: bytes, at: list[int]) -> None:
        self.assertEqual(read(data, at, False), ([(200, b"hello", End.KEPT)], ""))

    @given(st.sampled_from((CLOSING, OLD)), cuts)
    def test_the_last_one_of_a_connection(self, data: bytes, at: list[int]) -> None:
        self.assertEqual(read(data, at, False), ([(200, b"hello", End.CLOSING)], ""))

    @given(cuts)
    def test_one_without_a_length_ends_with_the_connection(self, at: list[int]) -> None:
        self.assertEqual(read(WITHOUT_LENGTH, at, False), ([], ""))
        whole, _ = read(WITHOUT_LENGTH, at, True)
        self.assertEqual(whole, [(200, b"hello", End.CLOSING)])

    @given(st.sampled_from((WITH_LENGTH, CHUNKED, CLOSING, OLD)), st.data(), cuts)
    def test_one_that_is_cut_off_is_not_whole(
        self, data: bytes, draw: st.DataObject, at: list[int]
    ) -> None:
        data = data[: draw.draw(st.integers(1, len(data) - 1))]
        self.assertEqual(read(data, at, True), ([], "the connection has ended"))

    @given(cuts)
    def test_several_in_a_row(self, at: list[int]) -> None:
        whole, wrong = read(EMPTY + CHUNKED + WITH_LENGTH, at, False)
        self.assertEqual([status for status, _, _ in whole], [204, 200, 200])
        self.assertEqual(wrong, "")

    @given(st.binary(min_size=1).filter(lambda data: data.strip(b"\r\n")), cuts)
    def test_what_follows_a_whole_response_is_noticed(self, more: bytes, at: list[int]) -> None:
        parser = ResponseParser()
        parser.feed(WITH_LENGTH + more)
        self.assertIsInstance(parser.take(), HttpResponse)
        self.assertEqual(parser.take(), b"hello")
        self.assertEqual(parser.take(), End.KEPT)
        self.assertTrue(parser.has_more)

    @given(st.binary(), cuts, st.booleans())
    def test_any_bytes(self, data: bytes, at: list[int], ended: bool) -> None:
        read(data, at, ended)

    def test_two_lengths_and_a_length_of_chunks_are_refused(self) -> None:
        for header in (b"Content-Length: 4", b"Transfer-Encoding: chunked"):
            whole, wrong = read(
                WITH_LENGTH.replace(b"\r\n\r\n", b"\r\n" + header + b"\r\n\r\n"), [], True
            )
            self.assertEqual(whole, [])
            self.assertIn("not HTTP", wrong)

    def test_a_head_without_an_end_is_given_up(self) -> None:
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
    def test_a_value_can_not_become_another_header(self, value: str) -> None:
        for request in (
            HttpRequest("GET", "/", [("A", value)]),
            HttpRequest("GET", "/", [(value, "a")]),
            HttpRequest("GET", "/" + value, []),
        ):
            with self.assertRaises(ValueError):
                request.encode()

    def test_a_path_can_not_become_another_request(self) -> None:
        for path in ("/a b", "/a HTTP/1.1"):
            with self.assertRaises(ValueError):
                HttpRequest("GET", path, []).encode()


if __name__ == "__main__":
    unittest.main()
