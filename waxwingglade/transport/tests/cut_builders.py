"""Answers of every framing that end early, and a server that sends them."""

import asyncio
import random
import socket
import struct
from enum import Enum

import msgspec

LINGER_NONE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close resets the connection."""


class Ending(Enum):
    """How a server closes its connection."""

    FIN = "in order"
    RST = "by a reset"


class Answer(msgspec.Struct, frozen=True):
    """A whole answer.

    Parameters
    ----------
    name : str
        Name of its framing.
    data : bytes
        Its bytes.
    body_at : int
        Size in bytes of its head, with interim answers before it.
    framed : bool
        Whether something other than the end of the connection ends it.
    """

    name: str
    data: bytes
    body_at: int
    framed: bool = True

    def is_whole(self, size: int, ending: Ending) -> bool:
        """Return whether its first bytes are a whole answer."""
        if self.framed:
            return size == len(self.data)
        return size >= self.body_at and ending is Ending.FIN

    def cuts(self, others: int, seed: int = 0) -> list[int]:
        """Return sizes at which to cut it: around the end of each line, and some others."""
        size = len(self.data)
        ends = {0, 1, size - 1, size, self.body_at + 1}
        for at, byte in enumerate(self.data):
            if byte in b"\r\n":
                ends |= {at, at + 1}
        rest = sorted(set(range(size)) - ends)
        return sorted(ends | set(random.Random(seed).sample(rest, min(others, len(rest)))))


class Cut(msgspec.Struct, frozen=True):
    """The first bytes of an answer, and how they are sent."""

    data: bytes
    ending: Ending = Ending.FIN
    bytewise: bool = False


def answers(body: bytes, headers: bytes = b"", status: bytes = b"200 OK") -> list[Answer]:
    """Return an answer of each framing; `headers` are lines with their ends."""
    line = b"HTTP/1.1 " + status + b"\r\n"
    length = b"Content-Length: %d\r\nX-Last: 1\r\n\r\n" % len(body)
    head = line + headers + length
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head
    bare = head.replace(b"\r\n", b"\n")
    chunked = line + headers + b"Transfer-Encoding: chunked\r\n\r\n"
    half = len(body) // 2
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(each), each) for each in (body[:half], body[half:]))
    unframed = line + headers + b"X-Last: 1\r\n\r\n"
    old = unframed.replace(b"HTTP/1.1", b"HTTP/1.0")
    return [
        Answer("length", head + body, len(head)),
        Answer("interim", interim + body, len(interim)),
        Answer("bare line ends", bare + body, len(bare)),
        Answer("chunked", chunked + chunks + b"0\r\nX-Sum: 9\r\n\r\n", len(chunked)),
        Answer("no length", unframed + body, len(unframed), framed=False),
        Answer("HTTP/1.0", old + body, len(old), framed=False),
        Answer("no headers", line + b"\r\n" + body, len(line) + 2, framed=False),
    ]


async def send_cut(writer: asyncio.StreamWriter, cut: Cut) -> None:
    """Send the bytes of a cut answer, and close the connection."""
    for start in range(len(cut.data)) if cut.bytewise else (0,):
        writer.write(cut.data[start : start + 1] if cut.bytewise else cut.data)
        await asyncio.sleep(0)
    if cut.ending is Ending.RST:
        own_socket = writer.get_extra_info("socket")
        own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        writer.transport.abort()
    else:
        writer.close()


class CutServer:
    """Answers each connection once, with the next cut of a script or else the last one.

    Parameters
    ----------
    script : Cut
        What it sends on its connections, in order.

    Attributes
    ----------
    requests : int
        Number of requests received.
    address : str
        ``IP:PORT``.
    """

    def __init__(self, *script: Cut) -> None:
        self.script = list(script)
        self.requests = 0
        self.address = ""
        self.server: asyncio.Server | None = None
        self.serving: set[asyncio.Task[None] | None] = set()

    async def __aenter__(self) -> "CutServer":
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_error: object) -> None:
        assert self.server is not None
        self.server.close()
        for task in self.serving:
            assert task is not None
            task.cancel()

    @property
    def url(self) -> str:
        """URL of the server."""
        return f"http://{self.address}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.serving.add(task)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(length_of(head))
            self.requests += 1
            await send_cut(writer, self.script.pop(0) if len(self.script) > 1 else self.script[0])
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The client closed the connection, or the test ended.
        finally:
            self.serving.discard(task)
            writer.close()


def length_of(head: bytes) -> int:
    """Return the length of the body that a head states; 0 without one."""
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


__all__ = ["Answer", "Cut", "CutServer", "Ending", "answers", "send_cut"]
