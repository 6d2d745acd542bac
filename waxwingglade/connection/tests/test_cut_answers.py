"""Answers that end early, read by each client of engines, services, the store and entries."""

import asyncio
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


if __name__ == "__main__":
    unittest.main()
