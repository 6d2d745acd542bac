"""Arbitrary answers of engines, tools and the store."""

import asyncio
import time
from unittest import mock

import hypothesis.strategies as st
import msgspec
from hypothesis import given, settings

from tests.fuzz.builders import FIXED, LoopCase, damaged, json_values
from waxwingglade.base import Failure, Outcome, Verdict
from waxwingglade.connection import (
    EngineDone,
    EngineFailed,
    HttpClient,
    HttpClientSettings,
    StoreClient,
    ToolAnswer,
    ask_outcome,
    call_tool,
    read_load,
    stream_completion,
)
from waxwingglade.connection.http import Exchange
from waxwingglade.connection.tests.store_builders import store_settings
from waxwingglade.connection.tests.target_builders import (
    BOOKING,
    OK_STREAM,
    ScriptedServer,
    answer_bytes,
    collect,
    engine_request,
    engine_target,
    event_bytes,
    service_target,
)

FEWER = settings(FIXED, max_examples=60)
FEWEST = settings(FIXED, max_examples=15)
"""For calls that are retried until their timeout."""

STORE_TIMEOUT_S = 0.03
ARRIVAL_TIMEOUT_S = 2.0
"""Seconds within which a sent request arrives, even under load."""

UNSENT_WAIT_S = 0.005
"""Seconds to wait for a request to arrive that should not have been sent."""

WRITE_PATH = "/txn"
TIMEOUT_S = 5.0
STREAM = event_bytes("one ") + event_bytes("two ") + event_bytes(None, "stop") + b"data: [DONE]\n\n"
STATUS_LINES = st.sampled_from(["200 OK", "204 None", "404 No", "409 No", "429 No", "500 No"])
bodies = st.binary(max_size=120) | json_values.map(msgspec.json.encode)
answers = st.builds(answer_bytes, STATUS_LINES, bodies) | st.binary(max_size=120)
RESULT = b'{"result": {"number": 1}}'

LEASE_GRANT = b'{"header": {"revision": "1"}, "ID": "1", "TTL": "120"}'


PAUSES_S = (0.0, 0.05, 0.2)
"""Pauses of the process in seconds, some of them longer than the timeout of a write."""


class WriteAttempt(msgspec.Struct, frozen=True):
    """A write to the store.

    Parameters
    ----------
    outcome : Outcome
        Result of the write.
    sent : bool
        Whether it was handed to a connection.
    arrived : bool
        Whether the store received it.
    paused_s : float
        Longest pause of this process in seconds during the write.
    """

    outcome: Outcome[int]
    sent: bool
    arrived: bool
    paused_s: float


async def write_once(answer: bytes) -> WriteAttempt:
    """Write to a store that grants a lease and then always gives the same answer.

    If the process is paused, a request that was sent before the outcome may arrive after it.  The
    verdict must be correct for such requests, too.
    """
    script = [answer_bytes("200 OK", LEASE_GRANT), *[answer] * 20]
    pauses = [0.0]
    watch_task = asyncio.create_task(watch_pauses(pauses))
    async with ScriptedServer(*script) as server:
        client = StoreClient(store_settings(server.url, timeout_s=STORE_TIMEOUT_S))
        exchanges = record_exchanges(client)
        try:
            outcome = await client.put_if("key", b"value", 0)
            sent = any(exchange.attempts for exchange in exchanges if is_write(exchange))
        finally:
            await client.close()
        arrived = await arrives(server, ARRIVAL_TIMEOUT_S if sent else UNSENT_WAIT_S)
    watch_task.cancel()
    return WriteAttempt(outcome, sent, arrived, max(pauses))


async def watch_pauses(pauses: list[float]) -> None:
    """Record each delay of the event loop in seconds."""
    while True:
        started_at = time.monotonic()
        await asyncio.sleep(UNSENT_WAIT_S)
        pauses.append(time.monotonic() - started_at - UNSENT_WAIT_S)


async def arrives(server: ScriptedServer, within_s: float) -> bool:
    """Return whether a write has arrived at a server, or arrives in time."""
    end_at = time.monotonic() + within_s
    while not any(path.endswith(WRITE_PATH) for path in server.paths):
        if time.monotonic() > end_at:
            return False
        await asyncio.sleep(0.001)
    return True


def record_exchanges(client: StoreClient) -> list[Exchange]:
    """Return a list to which each exchange that the client begins is appended."""
    exchanges: list[Exchange] = []
    begin = client.transport.begin

    def begin_and_record(*arguments):
        exchange = begin(*arguments)
        if exchange is not None:
            exchanges.append(exchange)
        return exchange

    client.transport.begin = begin_and_record
    return exchanges


def is_write(exchange: Exchange) -> bool:
    """Return whether an exchange is a request for a write."""
    return exchange.request.url.endswith(WRITE_PATH)


def pausing_after_a_write_is_sent(pause_s: float):
    """Return a context in which the process pauses as soon as a write may have been sent."""
    connected = Exchange._on_connected

    def connect_and_pause(exchange, *addresses):
        allowed = connected(exchange, *addresses)
        if is_write(exchange):
            time.sleep(pause_s)
        return allowed

    return mock.patch.object(Exchange, "_on_connected", connect_and_pause)


def is_no_object(body: bytes) -> bool:
    """Return whether a body is not a JSON object, so that it is no answer of the store."""
    return not body.strip().startswith(b"{")


class Targets(LoopCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()

        async def client():
            return HttpClient(HttpClientSettings(max_clients=10))

        cls.client = cls.runner.run(client())
        cls.addClassCleanup(lambda: cls.runner.run(cls.client.close()))

    @FEWER
    @given(st.binary(max_size=200) | damaged(STREAM))
    def test_a_stream_ends_with_one_outcome_that_denies_nothing(self, content):
        async def generate():
            async with ScriptedServer(OK_STREAM + content) as server:
                target = engine_target(server.url)
                events = stream_completion(self.client, target, engine_request(), TIMEOUT_S)
                return await collect(events)

        text, last = self.run_async(generate())
        self.assertIsInstance(last, EngineDone | EngineFailed)
        if isinstance(last, EngineFailed) and text:
            self.assertIsNot(Verdict.NOT_RUN, last.failure.verdict)

    @FEWER
    @given(answers | damaged(answer_bytes("200 OK", RESULT)))
    def test_a_tool_call_that_was_sent_is_denied_only_by_the_tool(self, content):
        async def call():
            async with ScriptedServer(content) as server:
                return await call_tool(
                    self.client,
                    service_target(server.url),
                    BOOKING,
                    key="k",
                    arguments={},
                    fencing=1,
                    timeout_s=TIMEOUT_S,
                )

        answer = self.run_async(call())
        if answer.is_ok():
            self.assertIsInstance(answer.ok_value, ToolAnswer)
        elif answer.err_value.verdict is Verdict.NOT_RUN:
            self.assertIn(b"not_run", content)

    @FEWER
    @given(answers)
    def test_an_engine_s_load_and_a_tool_s_memory_are_read_or_refused(self, content):
        async def ask():
            async with ScriptedServer(content, content) as server:
                load = await read_load(self.client, engine_target(server.url))
                target = service_target(server.url)
                return load, await ask_outcome(self.client, target, BOOKING, "k")

        for answer in self.run_async(ask()):
            if answer.is_err():
                self.assertIsInstance(answer.err_value, Failure)

    @FEWEST
    @given(answers)
    def test_the_store_s_answers_are_read_or_refused(self, content):
        async def ask():
            async with ScriptedServer(*[content] * 20) as server:
                settings = store_settings(server.url, timeout_s=STORE_TIMEOUT_S)
                client = StoreClient(settings)
                try:
                    found = await client.get("key")
                    listed = await client.list("prefix")
                    return [found, listed, await client.grant_lease(5.0)]
                finally:
                    await client.close()

        for answer in self.run_async(ask()):
            if answer.is_err():
                self.assertIsInstance(answer.err_value, Failure)

    @FEWEST
    @given(st.sampled_from(["200 OK", "500 No"]), st.binary(max_size=60).filter(is_no_object))
    def test_a_write_to_the_store_is_not_denied_by_garbage(self, status, body):
        self.check_denial(self.run_async(write_once(answer_bytes(status, body))))

    def test_a_sent_write_is_not_reported_as_not_run_before_the_store_receives_it(self):
        for pause_s in PAUSES_S:
            with self.subTest(pause_s=pause_s), pausing_after_a_write_is_sent(pause_s):
                attempt = self.run_async(write_once(answer_bytes("200 OK", b"no object")))
                self.assertTrue(attempt.sent)
                self.check_denial(attempt)

    def check_denial(self, attempt: WriteAttempt) -> None:
        """Check that the write is reported as not run exactly if no request was sent.

        A sent request arrives, unless the client timed out while this process was paused.
        """
        self.assertTrue(attempt.outcome.is_err())
        reported_not_run = attempt.outcome.err_value.verdict is Verdict.NOT_RUN
        self.assertEqual(reported_not_run, not attempt.sent)
        if attempt.arrived:
            self.assertFalse(reported_not_run)
        elif attempt.sent:
            self.assertGreater(attempt.paused_s, STORE_TIMEOUT_S / 2)
