"""Requests and answers between processes over ZeroMQ.

A process that answers binds one ROUTER socket; one that sends requests connects a DEALER socket to
each peer.  Answers are matched to requests by number, so they may arrive late, twice or out of
order.  A request that cannot be sent before its timeout is discarded, so that it does not arrive
seconds later as if it were new.

All that is sent in one iteration of the event loop forms the frames of one message.  Under load a
message then carries many requests or answers, which share the cost of a message: mostly system
calls and waking threads.
"""

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec
import zmq
from loguru import logger

from waxwingglade.base import FormatError, WaxwinggladeError, shortened
from waxwingglade.base.tasks import log_failure

# Plain integers, since operations on enumerations of the library cost more than the calls that use
# them.
EVENTS, RCVMORE = int(zmq.EVENTS), int(zmq.RCVMORE)
POLLIN, POLLOUT = int(zmq.POLLIN), int(zmq.POLLOUT)
DONTWAIT, SNDMORE = int(zmq.DONTWAIT), int(zmq.SNDMORE)

QUEUE_MESSAGES = 2_000
MAX_FRAME_BYTES = 64 * 1024 * 1024
HEARTBEAT_MS = 500
"""Milliseconds between heartbeats of ZeroMQ.  They detect a peer that lost power, and a connection
that became unresponsive while new ones work.  The kernel does not report such a connection."""

HEARTBEAT_TIMEOUT_MS = 600
"""Milliseconds after a heartbeat within which bytes have to arrive.  An unresponsive connection is
closed after at most 1.1 s, less than half of the three seconds within which the system has to
recover.  A round trip takes about 3 ms, and a dedicated thread answers."""

HANDSHAKE_TIMEOUT_MS = 600
"""Milliseconds for the handshake of a new connection, before which there are no heartbeats.  A
connection that became unresponsive during the handshake separated its peers for 30 s, the default
limit of ZeroMQ."""

RECONNECT_MS = 50
RECONNECT_MAX_MS = 400
CONNECT_TIMEOUT_MS = 500
RECONNECT_WAIT_S = 0.1
"""Seconds for which a request waits for a lost connection.  This is long enough for the first
attempt to reconnect, and short compared with the time that a peer has for an answer."""

FINAL_ANSWERS_WAIT_S = 0.1
"""Seconds that peers have to read the last answers before the connection ends, since they lose what
they have not read by then.  A round trip takes about 3 ms."""

TOLD = 0
"""Number of messages without an answer; requests are numbered from 1."""

RETRANSMIT_TIMEOUT_MS = 1_500
"""Milliseconds for which sent bytes may stay unacknowledged before the connection is dropped."""


class LinkFailed(WaxwinggladeError):
    """A request received no answer.

    Parameters
    ----------
    message : str
        Description of the failure.
    sent : bool
        Whether the peer may have processed the request.
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
        """Return the frame of a message; raise `FormatError` if a value can't be carried."""
        try:
            return self.encoder.encode((number, body))
        except (TypeError, ValueError, OverflowError, RecursionError) as error:
            raise FormatError(f"{type(body).__name__}: {shortened(str(error))}") from error

    def decode(self, frame: bytes) -> tuple[int, Any]:
        """Return number and body; raise `FormatError` if the frame is not valid."""
        try:
            return self.decoder.decode(frame)
        except (ValueError, OverflowError, RecursionError) as error:
            raise FormatError(f"{len(frame)} bytes: {shortened(str(error))}") from error


class LinkSocket:
    """A ZeroMQ socket on the event loop.

    The socket's descriptor is edge-triggered, so all available messages are received after each
    event and after each send.

    Parameters
    ----------
    context : zmq.Context
        Context of the process.
    kind : int
        ROUTER or DEALER.
    received : callable
        Called with the frames of each message.
    writable : callable
        Called after receiving if messages can be sent.
    blocked : callable
        Called after receiving if no message can be sent.
    """

    def __init__(
        self,
        context: zmq.Context,
        kind: int,
        received: Callable[[list[bytes]], None],
        writable: Callable[[], None] = lambda: None,
        blocked: Callable[[], None] = lambda: None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.received = received
        self.writable = writable
        self.blocked = blocked
        self.receive_scheduled = False
        self.socket = context.socket(kind)
        self.socket.setsockopt(zmq.LINGER, 0)
        self.socket.setsockopt(zmq.SNDHWM, QUEUE_MESSAGES)
        self.socket.setsockopt(zmq.RCVHWM, QUEUE_MESSAGES)
        self.socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self.socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        self.socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        self.socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        self.socket.setsockopt(zmq.TCP_MAXRT, RETRANSMIT_TIMEOUT_MS)

    def start(self) -> None:
        """Start to receive."""
        self.loop.add_reader(self.socket.FD, self._receive_messages)
        self._schedule_receive()

    def send(self, frames: list[bytes]) -> bool:
        """Send a message; return False if the socket cannot send at present.

        Raises
        ------
        zmq.ZMQError
            If the peer is unknown, or the socket is closed.
        """
        *first, last = frames
        try:
            for frame in first:
                self.socket.send(frame, DONTWAIT | SNDMORE)
            self.socket.send(last, DONTWAIT)
        except zmq.Again:
            return False
        finally:
            self._schedule_receive()
        return True

    def close(self) -> None:
        """Close the socket."""
        if not self.socket.closed:
            self.loop.remove_reader(self.socket.FD)
            self.socket.close()

    def _schedule_receive(self) -> None:
        if not self.receive_scheduled:
            self.receive_scheduled = True
            self.loop.call_soon(self._receive_messages)

    def _receive_messages(self) -> None:
        self.receive_scheduled = False
        if self.socket.closed:
            return
        # This check before each message costs less than an exception when there is none.
        while (events := self.socket.get(EVENTS)) & POLLIN:
            frames = self._receive_message()
            try:
                self.received(frames)
            except Exception:
                # The descriptor signals only new messages, not those that are left.
                self._schedule_receive()
                raise
            if self.socket.closed:
                return
        if events & POLLOUT:
            self.writable()
        else:
            self.blocked()

    def _receive_message(self) -> list[bytes]:
        """Return the frames of an available message."""
        frames = [self.socket.recv(DONTWAIT)]
        while self.socket.get(RCVMORE):
            frames.append(self.socket.recv(DONTWAIT))
        return frames


class LinkServer:
    """The socket on which a process answers.

    Parameters
    ----------
    context : zmq.Context
        Context of the process.
    codec : Codec
        Codec of the protocol.
    handler : callable
        Called for each request; returns the answer, or None to give none.
    answer_at_once : callable
        Called for each request before; returns its answer if that needs no waiting, and thus no
        task.  None leaves the request to `handler`.
    """

    def __init__(
        self,
        context: zmq.Context,
        codec: Codec,
        handler: Callable[[Any], Coroutine[Any, Any, Any]],
        answer_at_once: Callable[[Any], Any] = lambda _: None,
    ) -> None:
        self.context = context
        self.codec = codec
        self.handler = handler
        self.answer_at_once = answer_at_once
        self.link_socket: LinkSocket | None = None
        self.running: set[asyncio.Task] = set()
        self.answers: dict[bytes, list[bytes]] = {}

    def start(self, endpoint: str) -> str:
        """Bind to ``tcp://IP:PORT`` and start to answer; return the bound endpoint."""
        self.link_socket = LinkSocket(self.context, zmq.ROUTER, self._received)
        self.link_socket.socket.bind(endpoint)
        self.link_socket.start()
        return self.link_socket.socket.getsockopt_string(zmq.LAST_ENDPOINT)

    async def finish(self, timeout_s: float) -> None:
        """Wait until all current requests are answered and their answers had time to be read.

        Parameters
        ----------
        timeout_s : float
            Maximum seconds until all requests are answered.
        """
        if self.running:
            await asyncio.wait(list(self.running), timeout=timeout_s)
        await asyncio.sleep(FINAL_ANSWERS_WAIT_S)

    async def stop(self) -> None:
        """Stop answering."""
        tasks = list(self.running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self.link_socket is not None:
            self.link_socket.close()

    def _received(self, frames: list[bytes]) -> None:
        sender, *requests = frames
        for frame in requests:
            try:
                number, body = self.codec.decode(frame)
            except FormatError as error:
                logger.warning("message ignored: {}", error)
                continue
            try:
                self._start_answer(sender, number, body)
            # The other requests of the message, and the messages after it, are answered anyway.
            except Exception as error:
                logger.opt(exception=error).error("{} not answered", type(body).__name__)

    def _start_answer(self, sender: bytes, number: int, body: Any) -> None:
        answer = self.answer_at_once(body)
        if answer is not None:
            self._send(sender, number, answer)
            return
        task = asyncio.create_task(self._answer(sender, number, body))
        self.running.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task) -> None:
        self.running.discard(task)
        log_failure(task)

    async def _answer(self, sender: bytes, number: int, body: Any) -> None:
        answer = await self.handler(body)
        if answer is not None:
            self._send(sender, number, answer)

    def _send(self, sender: bytes, number: int, answer: Any) -> None:
        """Send an answer with the others of this iteration of the event loop."""
        frame = self.codec.encode(number, answer)
        if not self.answers:
            asyncio.get_running_loop().call_soon(self._flush)
        self.answers.setdefault(sender, []).append(frame)

    def _flush(self) -> None:
        """Send the answers of this iteration of the event loop, as one message to each peer."""
        answers, self.answers = self.answers, {}
        assert self.link_socket is not None
        for sender, frames in answers.items():
            try:
                sent = self.link_socket.send([sender, *frames])
            except zmq.ZMQError as error:
                logger.debug("{} answers not sent: {}", len(frames), error)
                continue
            if not sent:
                logger.debug("{} answers not sent: the peer does not read", len(frames))


class Link:
    """A connection to one peer.

    Parameters
    ----------
    context : zmq.Context
        Context of the process.
    codec : Codec
        Codec of the protocol.
    address : str
        The peer's endpoint.

    Attributes
    ----------
    opened : bool
        Whether the peer was ever connected.
    lost : bool
        Whether the connection was lost, or the peer does not read any more.
    """

    def __init__(self, context: zmq.Context, codec: Codec, address: str) -> None:
        self.codec = codec
        self.address = address
        self.opened = False
        self.lost = False
        self.link_socket = LinkSocket(
            context, zmq.DEALER, self._received, self._writable, self._blocked
        )
        socket = self.link_socket.socket
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        try:
            socket.connect(address)
        except (zmq.ZMQError, ValueError):
            socket.close()
            raise
        self.link_socket.start()
        self.request_numbers = itertools.count(1)
        self.pending: dict[int, asyncio.Future[Any]] = {}
        self.unsent: dict[int, bytes] = {}
        self.untold: bytes | None = None
        self.last_used_at = self.link_socket.loop.time()

    def close(self) -> None:
        """Close the connection; pending requests fail."""
        self.link_socket.close()
        for future in list(self.pending.values()):
            if not future.done():
                future.set_exception(LinkFailed("the link was closed", sent=True))

    async def request(self, body: Any, timeout_s: float) -> Any:
        """Send a request and return its answer; raises `LinkFailed` as described at `post`."""
        return await self.post(body, timeout_s)

    def post(self, body: Any, timeout_s: float) -> asyncio.Future[Any]:
        """Send a request and return the future of its answer.

        The future fails with `LinkFailed` if the request can't be encoded, if the peer is not
        connected, if it does not answer in time, or if the connection is lost before the answer.
        While the first connection is being opened, the request waits for it.
        """
        loop = self.link_socket.loop
        future: asyncio.Future[Any] = loop.create_future()
        if self.link_socket.socket.closed:
            future.set_exception(LinkFailed("the link was closed", sent=False))
            return future
        self.last_used_at = loop.time()
        number = next(self.request_numbers)
        try:
            frame = self.codec.encode(number, body)
        except FormatError as error:
            future.set_exception(LinkFailed(f"request not encoded: {error}", sent=False))
            return future
        if not self.unsent:
            loop.call_soon(self._flush)
        self.unsent[number] = frame
        timer = loop.call_later(timeout_s, self._expire, number)
        self.pending[number] = future
        if self.lost:
            loop.call_later(RECONNECT_WAIT_S, self._expire_unsent, number)

        def remove(_: asyncio.Future[Any]) -> None:
            timer.cancel()
            self.pending.pop(number, None)
            self.unsent.pop(number, None)

        future.add_done_callback(remove)
        return future

    def tell(self, body: Any) -> None:
        """Send a message that gets no answer; it may be lost.

        While it cannot be sent, the next one replaces it, so each has to be complete in itself.
        """
        loop = self.link_socket.loop
        self.last_used_at = loop.time()
        try:
            self.untold = self.codec.encode(TOLD, body)
        except FormatError as error:
            logger.error("message to {} not encoded: {}", self.address, error)
            return
        loop.call_soon(self._flush)

    def _expire(self, number: int) -> None:
        """Fail a request whose timeout expired."""
        future = self.pending.get(number)
        if future is None or future.done():
            return
        sent = number not in self.unsent
        reason = "gave no answer" if sent else "is not connected"
        future.set_exception(LinkFailed(f"{self.address} {reason}", sent))

    def _expire_unsent(self, number: int) -> None:
        """Fail a request that could not be sent because the connection was lost."""
        self._flush()
        if number in self.unsent:
            self._expire(number)

    def _writable(self) -> None:
        self.opened = True
        self.lost = False
        self._flush()

    def _blocked(self) -> None:
        if not self.opened or self.lost:
            return
        self.lost = True
        for number in list(self.pending):
            if number in self.unsent:
                self.link_socket.loop.call_later(RECONNECT_WAIT_S, self._expire_unsent, number)
            else:
                # Its answer would be sent to the lost connection.
                self._expire(number)

    def _flush(self) -> None:
        """Send the requests of this iteration of the event loop, and those not sent before."""
        frames = list(self.unsent.values())
        if self.untold is not None:
            frames.append(self.untold)
        if not frames or self.link_socket.socket.closed:
            return
        if self.link_socket.send(frames):
            self.unsent.clear()
            self.untold = None

    def _received(self, frames: list[bytes]) -> None:
        for frame in frames:
            try:
                number, body = self.codec.decode(frame)
            except FormatError as error:
                logger.warning("answer from {} ignored: {}", self.address, error)
                continue
            future = self.pending.get(number)
            if future is not None and not future.done():
                future.set_result(body)


class Links:
    """The connections of a process, by address."""

    def __init__(self, context: zmq.Context, codec: Codec) -> None:
        self.context = context
        self.codec = codec
        self.links: dict[str, Link] = {}
        self.closed = False

    def to(self, address: str) -> Link:
        """Return the connection to a peer, opening it if there is none.

        After `close` a new connection is closed at once, since an open one would block the end of
        the context.

        Raises
        ------
        LinkFailed
            If the address is no endpoint.
        """
        link = self.links.get(address)
        if link is None:
            try:
                link = Link(self.context, self.codec, address)
            except (zmq.ZMQError, ValueError) as error:
                raise LinkFailed(f"no endpoint: {shortened(str(error))}", sent=False) from error
            self.links[address] = link
            if self.closed:
                link.close()
        return link

    def close_idle_except(self, addresses: set[str], idle_s: float) -> None:
        """Close connections to other addresses that have not been used for `idle_s` seconds."""
        now = asyncio.get_running_loop().time()
        for address, link in list(self.links.items()):
            if address in addresses or link.pending or now - link.last_used_at < idle_s:
                continue
            del self.links[address]
            link.close()

    def close(self) -> None:
        """Close all connections, and open no new ones."""
        self.closed = True
        for link in self.links.values():
            link.close()


__all__ = ["Codec", "Link", "LinkFailed", "LinkServer", "Links"]
