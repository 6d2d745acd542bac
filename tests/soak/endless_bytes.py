"""Servers of a soak run that send bytes without end which are no answer, until they are closed."""

import asyncio
import time
from collections.abc import Iterable
from enum import Enum

import msgspec

from tests.platform_cluster import ROUTE_S

MAX_LONGER_S = 1.0
"""Seconds by which the time limit of a route may be longer than usual."""

MAX_SENT_S = 15.0
FAST_PIECES = 32
"""Pieces that are sent at once, 64 kB."""

SLOW_PAUSE_S = 0.02
HEAD = "HTTP/1.1 200 OK\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
OTHER = f"{HEAD}X-Waxwingglade-Request-Id: other\r\n"
LINE = b"X-More: " + b"y" * 2000 + b"\r\n"
CHUNK = b"7d0\r\n" + b"z" * 2000 + b"\r\n"
COMMENT = b"7d0\r\n:" + b"c" * 1997 + b"\n\n\r\n"

READ_LIMIT_S = 2.0
"""Seconds after which a connection with such bytes has to be closed."""

ANSWER_LIMIT_S = ROUTE_S + MAX_LONGER_S + 0.6
"""The same for bytes that look like a long answer, which may last as long as the route allows."""


class EndlessKind(Enum):
    """What a server sends: the beginning and the pieces; ``{own}`` stands for its usual head."""

    NO_HTTP = ("", b"x" * 2000)
    HEADER_LINES = (HEAD, LINE)
    HEADER_LINE = (HEAD + "X-More: ", b"y" * 2000)
    INTERIM_HEADS = ("", b"HTTP/1.1 100 Continue\r\n\r\n" * 80)
    OTHER_BODY = (OTHER + CHUNKED, CHUNK)
    CHUNK_EXTENSION = ("{own}" + CHUNKED + "5;", b"e" * 2000)
    TRAILERS = ("{own}" + CHUNKED + "5\r\nhello\r\n0\r\n", LINE)
    BODY = ("{own}" + CHUNKED, CHUNK)
    REFUSAL = (HEAD + "X-Waxwingglade-Not-Run: 1\r\n" + CHUNKED, CHUNK)
    COMMENTS = ("{own}Content-Type: text/event-stream\r\n" + CHUNKED, COMMENT)

    def limit_s(self, is_stream: bool) -> float:
        """Return the seconds after which its connection has to be closed.

        Comments are a long answer to a plain call only.
        """
        is_long_answer = self is EndlessKind.BODY or (
            self is EndlessKind.COMMENTS and not is_stream
        )
        return ANSWER_LIMIT_S if is_long_answer else READ_LIMIT_S


class EndlessAnswer(msgspec.Struct, frozen=True):
    """Bytes without end that were sent for a request, and the seconds until they were stopped."""

    request: str
    kind: EndlessKind
    is_stream: bool
    began_at: float
    seconds: float


async def send_without_end(
    writer: asyncio.StreamWriter,
    kind: EndlessKind,
    own_head: str,
    request: str,
    slow: bool,
    is_stream: bool,
) -> EndlessAnswer:
    """Send bytes of a kind until the connection is closed, or for `MAX_SENT_S`."""
    start, piece = kind.value
    began_at = time.monotonic()
    try:
        writer.write(start.format(own=own_head).encode())
        while time.monotonic() < began_at + MAX_SENT_S:
            writer.write(piece if slow else piece * FAST_PIECES)
            await writer.drain()
            await asyncio.sleep(SLOW_PAUSE_S if slow else 0.0)
    except OSError:
        pass
    return EndlessAnswer(request, kind, is_stream, began_at, time.monotonic() - began_at)


def check_endless_answers(answers: Iterable[EndlessAnswer]) -> list[str]:
    """Return the answers without end that were read for too long."""
    return [
        f"{each.request}: {each.kind.name} without end was read for {each.seconds:.2f} s"
        for each in answers
        if each.seconds > each.kind.limit_s(each.is_stream)
    ]


__all__ = ["EndlessAnswer", "EndlessKind", "check_endless_answers", "send_without_end"]
