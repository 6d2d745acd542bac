"""Requests and answers between processes over ZeroMQ.

A process that answers binds one ROUTER socket; one that asks connects a DEALER socket to each peer.
Answers are matched by number, so they may come late, twice or out of order.  Nothing is queued for
a peer that is not connected: such a request fails at once instead of arriving seconds later.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import zmq
import zmq.asyncio
from loguru import logger

from waxwingglade.base import WaxwinggladeError
from waxwingglade.base.tasks import start_task

SEND_QUEUE_FRAMES = 2_000
MAX_FRAME_BYTES = 64 * 1024 * 1024
HEARTBEAT_MS = 500
"""Milliseconds between ZeroMQ's own heartbeats; they find a peer that lost power."""

HEARTBEAT_TIMEOUT_MS = 1_500
RECONNECT_MS = 50
RECONNECT_MAX_MS = 400
CONNECT_TIMEOUT_MS = 500
RETRANSMIT_TIMEOUT_MS = 1_500
"""Milliseconds for which sent bytes may stay unacknowledged before the connection is dropped."""


class LinkFailed(WaxwinggladeError):
    """A request got no answer.

    Parameters
    ----------
    message : str
        What happened.
    sent : bool
        Whether the peer may have acted on it.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class Codec:
    """Encodes the messages of one protocol.

    Parameters
    ----------
    message_type : type
        Union of the tagged message types.
    """

    def __init__(self, message_type: Any) -> None:
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(tuple[int, message_type])

    def encode(self, number: int, body: Any) -> bytes:
        """Return the frame of a message."""
        return self.encoder.encode((number, body))

    def decode(self, frame: bytes) -> tuple[int, Any]:
        """Return number and body; `msgspec.DecodeError` if the frame is not one of ours."""
        return self.decoder.decode(frame)


def _open(context: zmq.asyncio.Context, kind: int) -> zmq.asyncio.Socket:
    socket = context.socket(kind)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_FRAMES)
    socket.setsockopt(zmq.RCVHWM, SEND_QUEUE_FRAMES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.TCP_MAXRT, RETRANSMIT_TIMEOUT_MS)
    return socket


class LinkServer:
    """The socket on which a process answers.

    Parameters
    ----------
    context : zmq.asyncio.Context
        Context of the process.
    codec : Codec
        Codec of the protocol.
    handler : callable
        Called for each request; returns the answer, or None to give none.
    """

    def __init__(
        self,
        context: zmq.asyncio.Context,
        codec: Codec,
        handler: Callable[[Any], Awaitable[Any]],
    ) -> None:
        self.codec = codec
        self.handler = handler
        self.socket = _open(context, zmq.ROUTER)
        self.running: set[asyncio.Task] = set()
        self.reader: asyncio.Task | None = None

    def start(self, endpoint: str) -> str:
        """Bind to ``tcp://IP:PORT`` and begin to answer; return the endpoint that was bound."""
        self.socket.bind(endpoint)
        self.reader = start_task(self._read())
        return self.socket.getsockopt_string(zmq.LAST_ENDPOINT)

    async def stop(self) -> None:
        """Stop answering."""
        tasks = [*self.running, *([self.reader] if self.reader else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.socket.close()

    async def _read(self) -> None:
        while True:
            frames = await self.socket.recv_multipart()
            try:
                sender, frame = frames
                number, body = self.codec.decode(frame)
            except (ValueError, msgspec.DecodeError) as error:
                logger.warning("message ignored: {}", error)
                continue
            task = start_task(self._answer(sender, number, body))
            self.running.add(task)
            task.add_done_callback(self.running.discard)

    async def _answer(self, sender: bytes, number: int, body: Any) -> None:
        answer = await self.handler(body)
        if answer is None:
            return
        try:
            await self.socket.send_multipart(
                [sender, self.codec.encode(number, answer)], flags=zmq.DONTWAIT
            )
        except zmq.ZMQError as error:
            logger.debug("answer not sent: {}", error)


class Link:
    """A connection to one peer.

    Parameters
    ----------
    context : zmq.asyncio.Context
        Context of the process.
    codec : Codec
        Codec of the protocol.
    address : str
        The peer's endpoint.
    """

    def __init__(self, context: zmq.asyncio.Context, codec: Codec, address: str) -> None:
        self.codec = codec
        self.address = address
        self.socket = _open(context, zmq.DEALER)
        self.socket.setsockopt(zmq.IMMEDIATE, 1)
        self.socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        self.socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        self.socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        self.socket.connect(address)
        self.numbers = itertools.count(1)
        self.waiting: dict[int, asyncio.Future[Any]] = {}
        self.reader = start_task(self._read())
        self.used_at = asyncio.get_running_loop().time()

    async def close(self) -> None:
        """Close the connection; requests under way fail."""
        self.reader.cancel()
        await asyncio.gather(self.reader, return_exceptions=True)
        self.socket.close()
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(LinkFailed("the link was closed", sent=True))

    async def request(self, body: Any, timeout_s: float) -> Any:
        """Send a request and return its answer.

        Raises
        ------
        LinkFailed
            If the peer is not connected, or does not answer in time.
        """
        loop = asyncio.get_running_loop()
        self.used_at = loop.time()
        number = next(self.numbers)
        future: asyncio.Future[Any] = loop.create_future()
        self.waiting[number] = future
        try:
            async with asyncio.timeout(timeout_s):
                await self.socket.send(self.codec.encode(number, body))
                return await future
        except TimeoutError as error:
            raise LinkFailed(f"{self.address} gave no answer", sent=True) from error
        except zmq.ZMQError as error:
            raise LinkFailed(f"{self.address}: {error}", sent=False) from error
        finally:
            self.waiting.pop(number, None)

    async def _read(self) -> None:
        while True:
            frame = await self.socket.recv()
            try:
                number, body = self.codec.decode(frame)
            except msgspec.DecodeError as error:
                logger.warning("answer from {} ignored: {}", self.address, error)
                continue
            future = self.waiting.get(number)
            if future is not None and not future.done():
                future.set_result(body)


class Links:
    """The connections of a process, by address."""

    def __init__(self, context: zmq.asyncio.Context, codec: Codec) -> None:
        self.context = context
        self.codec = codec
        self.links: dict[str, Link] = {}

    def to(self, address: str) -> Link:
        """Return the connection to a peer, opening it where there is none."""
        link = self.links.get(address)
        if link is None:
            link = Link(self.context, self.codec, address)
            self.links[address] = link
        return link

    async def keep_only(self, addresses: set[str], idle_s: float) -> None:
        """Close connections to other addresses that were not used for `idle_s` seconds."""
        now = asyncio.get_running_loop().time()
        for address, link in list(self.links.items()):
            if address in addresses or link.waiting or now - link.used_at < idle_s:
                continue
            del self.links[address]
            await link.close()

    async def close(self) -> None:
        """Close every connection."""
        for link in list(self.links.values()):
            await link.close()
        self.links.clear()


__all__ = ["Codec", "Link", "LinkFailed", "LinkServer", "Links"]
