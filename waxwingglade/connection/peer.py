"""Requests and answers between entries over ZeroMQ.

Each process binds one ROUTER socket and connects one DEALER socket to every peer that it sends
requests to.  One task reads each socket.  Answers are matched to requests by number, so they may
arrive late, twice or out of order.
"""

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable

import zmq
import zmq.asyncio
from loguru import logger

from waxwingglade.base import (
    ErrorCode,
    FormatError,
    Incarnation,
    Ok,
    Outcome,
    may_have_run,
    monotonic,
    not_run,
)
from waxwingglade.base.logs import Sampler
from waxwingglade.base.tasks import run_forever, start_task
from waxwingglade.base.verdict import Failure, Verdict
from waxwingglade.connection.peer_messages import (
    PROTOCOL_VERSION,
    Envelope,
    PeerBody,
    Refused,
    decode_envelope,
    encode_envelope,
)

Reply = Callable[[PeerBody, bool], Awaitable[None]]
Handler = Callable[[PeerBody, Reply], Awaitable[None]]

SEND_QUEUE_FRAMES = 10_000
ALIVE_CHECK_S = 0.2
"""Seconds between checks whether a peer that has not answered yet is still alive."""

MAX_FRAME_BYTES = 64 * 1024 * 1024

IGNORED_LOGGED_PER_S = 1.0
"""Maximum lines per second about messages that cannot be read."""

FRAMES_PER_TURN = 64
"""Messages that are read before other tasks get a turn.  Receiving a message that has already
arrived does not suspend the reader."""


class IgnoredMessages:
    """Logs messages that cannot be read, at most `IGNORED_LOGGED_PER_S` lines per second.

    Parameters
    ----------
    kind : str
        Which messages, in plural.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.sampler = Sampler(IGNORED_LOGGED_PER_S)

    def add(self, reason: object) -> None:
        """Count a message, and log the number since the last line if a line is due."""
        if self.sampler.allows():
            count = 1 + self.sampler.take_left_out()
            logger.warning("{} {} ignored: {}", count, self.kind, reason)


class PeerServer:
    """The socket on which this process answers requests of its peers.

    Parameters
    ----------
    context : zmq.asyncio.Context
        Context of the process.
    answers_to : callable
        Whether an incarnation denotes this entry; requests addressed to another are refused.
    handler : Handler
        Called for each request with the body and a function that sends a reply.
    """

    def __init__(
        self, context: zmq.asyncio.Context, answers_to: Callable[[str], bool], handler: Handler
    ) -> None:
        self.answers_to = answers_to
        self.handler = handler
        self.socket = context.socket(zmq.ROUTER)
        self.socket.setsockopt(zmq.LINGER, 0)
        self.socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_FRAMES)
        self.socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self.reader: asyncio.Task | None = None
        self.running: set[asyncio.Task] = set()
        self.ignored = IgnoredMessages("requests of peers")
        self.bytes_received = 0
        self.bytes_sent = 0

    def start(self, address: str, port: int) -> str:
        """Bind and start reading; return the endpoint with the port that was bound."""
        if port:
            self.socket.bind(f"tcp://{address}:{port}")
        else:
            port = self.socket.bind_to_random_port(f"tcp://{address}")
        self.reader = run_forever(self._read)
        return f"tcp://{address}:{port}"

    async def stop(self) -> None:
        """Stop reading, cancel the handlers that are running and close the socket."""
        tasks = [*self.running, *([self.reader] if self.reader else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.socket.close()

    async def _read(self) -> None:
        for received in itertools.count(1):
            if received % FRAMES_PER_TURN == 0:
                await asyncio.sleep(0)
            sender, *frames = await self.socket.recv_multipart()
            if len(frames) != 1:
                self.ignored.add(f"{len(frames)} frames instead of one")
                continue
            self.bytes_received += len(frames[0])
            try:
                envelope = decode_envelope(frames[0])
            except FormatError as error:
                self.ignored.add(error)
                continue
            task = start_task(self._answer(sender, envelope))
            self.running.add(task)
            task.add_done_callback(self.running.discard)

    async def _answer(self, sender: bytes, envelope: Envelope) -> None:
        async def reply(body: PeerBody, last: bool = True) -> None:
            frame = encode_envelope(Envelope(PROTOCOL_VERSION, envelope.number, "", body, last))
            self.bytes_sent += len(frame)
            await self.socket.send_multipart([sender, frame])

        if envelope.meant_for and not self.answers_to(envelope.meant_for):
            text = "meant for an earlier process at this address"
            await reply(Refused(Failure(Verdict.NOT_RUN, ErrorCode.NOT_OWNER, text)), True)
            return
        try:
            await self.handler(envelope.body, reply)
        except Exception:
            logger.exception("peer request {} failed", type(envelope.body).__name__)
            text = "the entry met an internal error"
            failure = Failure(Verdict.MAY_HAVE_RUN, ErrorCode.INTERNAL, text)
            await reply(Refused(failure), True)


class PeerLink:
    """A connection to one peer.

    Parameters
    ----------
    context : zmq.asyncio.Context
        Context of the process.
    address : str
        The peer's endpoint.
    incarnation : Incarnation or ""
        Incarnation that the requests are addressed to; empty for any process at the address.
    """

    def __init__(
        self, context: zmq.asyncio.Context, address: str, incarnation: Incarnation | str
    ) -> None:
        self.address = address
        self.incarnation = incarnation
        self.socket = context.socket(zmq.DEALER)
        self.socket.setsockopt(zmq.LINGER, 0)
        self.socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_FRAMES)
        self.socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self.socket.connect(address)
        self.request_numbers = itertools.count(1)
        self.pending: dict[int, asyncio.Queue[Envelope]] = {}
        self.ignored = IgnoredMessages(f"answers of {address}")
        self.reader = run_forever(self._read)
        self.last_used_at = monotonic()
        self.bytes_sent = 0
        self.bytes_received = 0

    async def close(self) -> None:
        """Close the connection; requests in flight time out."""
        self.reader.cancel()
        await asyncio.gather(self.reader, return_exceptions=True)
        self.socket.close()

    async def request(self, body: PeerBody, timeout_s: float) -> Outcome[PeerBody]:
        """Send a request that has a single answer, and wait for the answer.

        Parameters
        ----------
        body : PeerBody
            The request.
        timeout_s : float
            Seconds to wait.

        Returns
        -------
        Outcome[PeerBody]
            The answer, or a failure whose verdict says whether the peer may have acted on the
            request.
        """
        async for answer in self.stream(body, timeout_s):
            return answer
        return may_have_run(ErrorCode.UNAVAILABLE, f"no answer from {self.address}")

    async def stream(
        self, body: PeerBody, timeout_s: float, alive: Callable[[], bool] = lambda: True
    ) -> AsyncIterator[Outcome[PeerBody]]:
        """Send a request and yield its answers.

        Parameters
        ----------
        body : PeerBody
            The request.
        timeout_s : float
            Longest wait for each answer, in seconds.
        alive : callable
            Whether the peer is considered alive.  It is checked every `ALIVE_CHECK_S` seconds
            while an answer is awaited, and once it is false the request fails.

        Yields
        ------
        Outcome[PeerBody]
            The answers in order; a failure is always the last.
        """
        number = next(self.request_numbers)
        answers: asyncio.Queue[Envelope] = asyncio.Queue()
        self.pending[number] = answers
        self.last_used_at = monotonic()
        try:
            frame = encode_envelope(Envelope(PROTOCOL_VERSION, number, self.incarnation, body))
            self.bytes_sent += len(frame)
            try:
                await self.socket.send(frame, flags=zmq.DONTWAIT)
            except zmq.ZMQError:
                yield not_run(ErrorCode.UNAVAILABLE, f"{self.address} takes no more messages", 1.0)
                return
            while True:
                envelope = await _next_answer(answers, timeout_s, alive)
                if isinstance(envelope.body, Refused):
                    yield _refused(envelope.body.failure)
                    return
                yield Ok(envelope.body)
                if envelope.last:
                    return
        except TimeoutError:
            yield may_have_run(ErrorCode.UNAVAILABLE, f"no answer from {self.address}", 1.0)
        finally:
            self.pending.pop(number, None)

    async def _read(self) -> None:
        for received in itertools.count(1):
            if received % FRAMES_PER_TURN == 0:
                await asyncio.sleep(0)
            frame = await self.socket.recv()
            self.bytes_received += len(frame)
            try:
                envelope = decode_envelope(frame)
            except FormatError as error:
                self.ignored.add(error)
                continue
            answers = self.pending.get(envelope.number)
            if answers is not None:
                answers.put_nowait(envelope)


async def _next_answer(
    answers: "asyncio.Queue[Envelope]", timeout_s: float, alive: Callable[[], bool]
) -> Envelope:
    """Return the next answer; raise TimeoutError after `timeout_s` or if the peer is not alive."""
    end_at = monotonic() + timeout_s
    while True:
        wait_limit_s = min(ALIVE_CHECK_S, end_at - monotonic())
        try:
            # `wait_for` before Python 3.12 can lose a cancellation that coincides with the answer.
            async with asyncio.timeout(wait_limit_s):
                return await answers.get()
        except TimeoutError:
            if monotonic() >= end_at or not alive():
                raise


def _refused(failure: Failure) -> Outcome[PeerBody]:
    build = not_run if failure.verdict is Verdict.NOT_RUN else may_have_run
    return build(failure.code, failure.message, failure.retry_after_s)


class PeerLinks:
    """The connections of a process, one for each incarnation of a peer."""

    def __init__(self, context: zmq.asyncio.Context) -> None:
        self.context = context
        self.links: dict[tuple[str, str], PeerLink] = {}

    def to(self, address: str, incarnation: Incarnation | str = "") -> PeerLink:
        """Return the connection to a peer, and open it if there is none."""
        key = (address, incarnation)
        if key not in self.links:
            self.links[key] = PeerLink(self.context, address, incarnation)
        return self.links[key]

    async def close_idle(self, idle_s: float) -> None:
        """Close connections unused for `idle_s` seconds; most of them lead to departed peers."""
        limit = monotonic() - idle_s
        for key, link in list(self.links.items()):
            if link.last_used_at < limit and not link.pending:
                del self.links[key]
                await link.close()

    async def close(self) -> None:
        """Close every connection."""
        for link in list(self.links.values()):
            await link.close()
        self.links.clear()
