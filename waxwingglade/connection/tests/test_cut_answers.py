"""Answers that end early, read by each client of engines, services, the store and entries."""

import asyncio
import socket
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from waxwingglade.base import Outcome, ProgramId, Verdict
from waxwingglade.connection import (
    EngineDone,
    EngineOrder,
    HttpClient,
    HttpClientSettings,
    OrderKind,
    ask_outcome,
    cache_events,
    call_tool,
    cancel,
    export_cache,
    held_programs,
    import_cache,
    read_load,
    read_state,
    release,
    send_order,
    stream_completion,
)
from waxwingglade.connection.api_client import ApiClient
from waxwingglade.connection.http import HttpRequest, send
from waxwingglade.connection.store import StoreClient
from waxwingglade.connection.tests.store_builders import store_settings
from waxwingglade.connection.tests.target_builders import (
    BOOKING,
    collect,
    engine_request,
    engine_target,
    event_bytes,
    service_target,
    with_timeout,
)
from waxwingglade.settings import TargetSettings
from waxwingglade.transport.tests.cut_builders import Answer, Cut, CutServer, Ending, answers

PROGRAM = ProgramId("p")
ORDER = EngineOrder(OrderKind.LOAD_MODEL, "large", fencing=1)
DONE = b"data: [DONE]\n\n"
STREAM = event_bytes("hello") + event_bytes(finish_reason="stop") + DONE

UPLOAD_BYTES = 4_000_000
RECEIVE_BUFFER_BYTES = 4096
"""An upload that the buffers of a connection do not hold."""

Call = Callable[[HttpClient, TargetSettings], Awaitable[Outcome]]

CALLS: dict[str, tuple[bytes, Call]] = {
    "cancel": (b"{}", lambda http, to: cancel(http, to, "r")),
    "release": (b"{}", lambda http, to: release(http, to, PROGRAM)),
    "order": (b"{}", lambda http, to: send_order(http, to, ORDER)),
    "held": (b'{"programs": ["p"]}', held_programs),
    "state": (b'{"models": ["m"]}', read_state),
    "load": (
        b"vllm:num_requests_running 1\nvllm:num_requests_waiting 1\nvllm:kv_cache_usage_perc 1\n",
        read_load,
    ),
    "events": (b'{"events": [], "last": 0}', lambda http, to: cache_events(http, to, 0)),
    "export": (b"cache", lambda http, to: export_cache(http, to, PROGRAM)),
    "import": (b"{}", lambda http, to: import_cache(http, to, PROGRAM, b"cache")),
    "tool": (
        b'{"result": 1}',
        lambda http, to: call_tool(
            http, to, BOOKING, key="k", arguments={}, fencing=1, timeout_s=5
        ),
    ),
    "outcome": (b'{"found": false}', lambda http, to: ask_outcome(http, to, BOOKING, "k")),
}


def framed_answers(body: bytes, status: bytes = b"200 OK") -> list[Answer]:
    """Return an answer with a length and a chunked one."""
    return [each for each in answers(body, status=status) if each.name in ("length", "chunked")]


@asynccontextmanager
async def cut_by(cut: Cut) -> AsyncIterator[tuple[HttpClient, CutServer]]:
    """Serve a cut answer; yield a client without earlier connections, and the server."""
    client = HttpClient(HttpClientSettings(max_clients=2))
    async with CutServer(cut) as server:
        yield client, server
        await client.close()


@asynccontextmanager
async def early_server(answer: bytes) -> AsyncIterator[str]:
    """Serve an answer whose sender closes its side before it reads the body; yield the URL."""
    done = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        # libcurl asks before it sends a long body.
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\n" + answer)
        writer.write_eof()
        await done.wait()
        writer.close()

    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listening.bind(("127.0.0.1", 0))
    async with await asyncio.start_server(serve, sock=listening, limit=1024):
        yield f"http://127.0.0.1:{listening.getsockname()[1]}/"
        done.set()


class CutAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        # The debug mode of the loop records a stack for each callback, most of the time taken here.
        asyncio.get_running_loop().set_debug(False)

    async def check(self, answer: Answer, cut: Cut) -> None:
        """Send a request that is answered with a cut answer, and check the outcome."""
        async with cut_by(cut) as (client, server):
            request = HttpRequest("POST", server.url, body=b"{}", timeout_s=5.0)
            outcome = await with_timeout(send(client, request))
        self.assertEqual(server.requests, 1)
        if outcome.is_ok():
            self.assertTrue(answer.is_whole(len(cut.data), cut.ending), "incomplete, but a success")
            sent = cut.data[answer.body_at :]
            self.assertEqual(outcome.ok_value.status, 200)
            self.assertIn(outcome.ok_value.body, (b'{"result": 1}', sent))
        else:
            self.assertIs(outcome.err_value.verdict, Verdict.MAY_HAVE_RUN)
            whole = answer.is_whole(len(cut.data), cut.ending) and cut.ending is Ending.FIN
            self.assertFalse(whole, outcome.err_value.message)

    async def test_an_answer_cut_anywhere_is_no_success(self) -> None:
        for answer in answers(b'{"result": 1}'):
            for size in answer.cuts(others=8):
                with self.subTest(framing=answer.name, size=size):
                    await self.check(answer, Cut(answer.data[:size]))

    async def test_an_answer_cut_by_a_reset_or_after_single_bytes_is_no_success(self) -> None:
        for answer in answers(b'{"result": 1}'):
            for size in answer.cuts(others=0):
                for cut in (
                    Cut(answer.data[:size], Ending.RST),
                    Cut(answer.data[:size], Ending.FIN, bytewise=True),
                ):
                    with self.subTest(framing=answer.name, cut=cut):
                        await self.check(answer, cut)

    async def test_an_error_cut_within_its_head_does_not_tell_that_nothing_ran(self) -> None:
        """Guards against a status that decides although the head that explains it is missing."""
        for status in (b"400 Bad Request", b"404 Not Found", b"429 Too Many", b"503 Full"):
            for answer in framed_answers(b"{}", status=status):
                for size in answer.cuts(others=0):
                    if not 0 < size < answer.body_at:
                        continue
                    with self.subTest(status=status, framing=answer.name, size=size):
                        async with CutServer(Cut(answer.data[:size])) as server:
                            client = StoreClient(store_settings(server.url))
                            outcome = await with_timeout(client.get("k"))
                            await client.close()
                        self.assertIs(outcome.unwrap_err().verdict, Verdict.MAY_HAVE_RUN)

    async def test_no_adapter_takes_a_cut_answer_as_a_success(self) -> None:
        for name, (body, call) in CALLS.items():
            make = service_target if name in ("tool", "outcome") else engine_target
            for answer in framed_answers(body):
                for size in answer.cuts(others=0):
                    async with cut_by(Cut(answer.data[:size])) as (client, server):
                        outcome = await with_timeout(call(client, make(server.url)))
                    with self.subTest(call=name, framing=answer.name, size=size):
                        self.assertEqual(outcome.is_ok(), size == len(answer.data))

    async def test_a_cut_stream_of_an_engine_is_not_done_before_its_last_event(self) -> None:
        for answer in framed_answers(STREAM):
            for size in answer.cuts(others=3):
                with self.subTest(framing=answer.name, size=size):
                    async with cut_by(Cut(answer.data[:size])) as (client, server):
                        stream = stream_completion(
                            client, engine_target(server.url), engine_request(), 5
                        )
                        _, last = await collect(stream)
                    if isinstance(last, EngineDone):
                        self.assertIn(DONE, answer.data[:size].replace(b"\r\n", b""))

    async def test_a_cut_stream_of_an_entry_is_not_taken_as_complete(self) -> None:
        body = b'data: {"type": "delta"}\n\ndata: {"type": "done"}\n\n'
        for answer in framed_answers(body):
            for size in answer.cuts(others=3):
                with self.subTest(framing=answer.name, size=size):
                    events: list[Any] = []
                    async with cut_by(Cut(answer.data[:size])) as (client, server):
                        stream = ApiClient(client, server.url, "token").stream("GET", "/events")
                        if size == len(answer.data):
                            events = [event async for event in stream]
                            self.assertEqual(len(events), 2)
                            continue
                        with self.assertRaises(ConnectionError):
                            events += [event async for event in stream]

    async def test_a_success_that_ends_before_the_request_was_written_is_none(self) -> None:
        # Guards against a part of an answer that counts as complete, because its server ended the
        # connection in order while a long request was still being written.
        client = HttpClient(HttpClientSettings(max_clients=2))
        self.addAsyncCleanup(client.close)
        for status, succeeds in (("200 OK", False), ("413 Too Large", True)):
            async with early_server(f"HTTP/1.1 {status}\r\n\r\npart".encode()) as url:
                request = HttpRequest("POST", url, body=b"u" * UPLOAD_BYTES, timeout_s=5.0)
                outcome = await with_timeout(send(client, request))
            with self.subTest(status=status):
                self.assertEqual(outcome.is_ok(), succeeds)

    async def test_a_status_that_http_does_not_define_is_no_answer(self) -> None:
        # Guards against answers of failing servers whose status is 000.
        for status in (b"000", b"099", b"600", b"999"):
            answer = b"HTTP/1.1 %b Odd\r\nContent-Length: 2\r\n\r\n{}" % status
            async with cut_by(Cut(answer)) as (client, server):
                request = HttpRequest("POST", server.url, body=b"{}", timeout_s=5.0)
                outcome = await with_timeout(send(client, request))
            with self.subTest(status=status):
                self.assertTrue(outcome.is_err())


if __name__ == "__main__":
    unittest.main()
