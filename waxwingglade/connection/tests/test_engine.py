"""Streams of completions: verdicts, resumption, cancellation and timeouts."""

import asyncio
import unittest
from contextlib import aclosing
from unittest import mock

from waxwingglade.base import ErrorCode, Verdict, monotonic
from waxwingglade.connection import (
    EngineDelta,
    EngineDone,
    EngineFailed,
    HttpClient,
    HttpClientSettings,
    StreamTimeouts,
    http,
    stream_completion,
)
from waxwingglade.connection.tests.target_builders import (
    MODEL,
    OK_STREAM,
    DrippingServer,
    ScriptedServer,
    answer_bytes,
    collect,
    conversation,
    engine_request,
    engine_target,
    event_bytes,
    longest_delay,
    until,
    with_timeout,
)
from waxwingglade.program.messages import Message, MessageRole
from waxwingglade.standins import EngineFaults, EngineStandin, answer_text

NOT_RUN_BODY = b'{"error": {"type": "not_run", "message": "full"}}'
PIECE_BYTES = 16_384
PIECES = 768
MAX_DELAY_S = 0.25
DONE = b"data: [DONE]\n\n"


class EngineCase(unittest.IsolatedAsyncioTestCase):
    """Base class with a client that is closed at the end."""

    async def asyncSetUp(self) -> None:
        self.client = HttpClient(HttpClientSettings(max_clients=10))
        self.addAsyncCleanup(self.client.close)

    async def failure_of(self, answer: bytes) -> EngineFailed:
        """Return the failure that a raw answer causes."""
        async with ScriptedServer(answer) as server:
            stream = stream_completion(self.client, engine_target(server.url), engine_request(), 5)
            _, failed = await collect(stream)
            await self.wait_for_cancels()
        self.assertIsInstance(failed, EngineFailed)
        return failed

    async def wait_for_cancels(self) -> None:
        """Wait for running cancellations."""
        if self.client.tasks:
            await with_timeout(asyncio.wait(list(self.client.tasks)))


class VerdictTest(EngineCase):
    async def test_refused_connection_did_not_run(self) -> None:
        async with ScriptedServer() as server:
            pass
        stream = stream_completion(self.client, engine_target(server.url), engine_request(), 5)
        _, failed = await collect(stream)
        self.assertEqual(Verdict.NOT_RUN, failed.failure.verdict)

    async def test_engine_reports_that_it_did_not_run(self) -> None:
        for status in ("429 Too Many Requests", "503 Service Unavailable"):
            answer = answer_bytes(status, NOT_RUN_BODY, "Retry-After: 7\r\n")
            failure = (await self.failure_of(answer)).failure
            found = (failure.verdict, failure.code, failure.retry_after_s)
            self.assertEqual((Verdict.NOT_RUN, ErrorCode.OVERLOADED, 7.0), found)

    async def test_every_other_failure_may_have_run(self) -> None:
        answers = {
            "cut before the first byte": b"",
            "cut after the headers": OK_STREAM,
            "error without a word on execution": answer_bytes("503 Unavailable", b"<html>"),
            "refusal that is cut": answer_bytes("503 Unavailable", NOT_RUN_BODY)[:-1],
            "garbage for headers": b"\x00\xff\r\n\r\n",
            "garbage for an event": OK_STREAM + b"data: {oops\n\n",
            "JSON of another shape": OK_STREAM + b'data: {"choices": 3}\n\n',
            "bytes that are not UTF-8": OK_STREAM + b"data: \xff\xfe\n\n",
            "error inside the stream": OK_STREAM + b'data: {"error": {"type": "x"}}\n\n',
            "end without a reason": OK_STREAM + DONE,
            "aborted by the engine": OK_STREAM + event_bytes(finish_reason="abort") + DONE,
            "reason without an end": OK_STREAM + event_bytes(finish_reason="stop"),
        }
        for name, answer in answers.items():
            with self.subTest(name):
                failed = await self.failure_of(answer)
                self.assertEqual(Verdict.MAY_HAVE_RUN, failed.failure.verdict)
                self.assertEqual(0, failed.produced_text_len)

    async def test_error_answer_without_end_is_not_awaited(self) -> None:
        refusal = answer_bytes("503 Unavailable", NOT_RUN_BODY + b" ")[:-1]
        head = b"HTTP/1.1 503 Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n"
        drip = b"1\r\n \r\n"
        cases = ((refusal, b"", Verdict.NOT_RUN), (head + drip, drip, Verdict.MAY_HAVE_RUN))
        for start, repeated, verdict in cases:
            with self.subTest(verdict), mock.patch.object(http, "ERROR_TIMEOUT_S", 0.2):
                async with DrippingServer(start, repeated, 0.01) as server:
                    target = engine_target(server.url)
                    began_at = monotonic()
                    stream = stream_completion(self.client, target, engine_request(), 4)
                    _, failed = await collect(stream)
                    duration_s = monotonic() - began_at
                self.assertEqual(verdict, failed.failure.verdict)
                self.assertLess(duration_s, 2)

    async def test_not_run_after_text_is_ignored(self) -> None:
        answer = OK_STREAM + event_bytes("hello") + b"data: " + NOT_RUN_BODY + b"\n\n"
        failed = await self.failure_of(answer)
        self.assertEqual(Verdict.MAY_HAVE_RUN, failed.failure.verdict)
        self.assertEqual(5, failed.produced_text_len)

    async def test_truncation_after_text_reports_the_length_of_the_text(self) -> None:
        failed = await self.failure_of(OK_STREAM + event_bytes("hyvää") + event_bytes("x")[:-1])
        self.assertEqual(Verdict.MAY_HAVE_RUN, failed.failure.verdict)
        self.assertEqual(5, failed.produced_text_len)


class StandinCase(EngineCase):
    """Base class with an engine stand-in."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.engine = EngineStandin()
        await self.engine.start()
        self.addAsyncCleanup(self.engine.stop)
        self.target = engine_target(self.engine.url)


class AnswerTest(StandinCase):
    async def test_answer_is_complete(self) -> None:
        stream = stream_completion(self.client, self.target, engine_request(), 5)
        text, done = await collect(stream)
        self.assertEqual(answer_text(MODEL, conversation(), 6), text)
        self.assertEqual(("stop", 6), (done.finish_reason, done.usage.output_tokens))
        self.assertEqual([], self.engine.controls)

    async def test_answer_ends_at_the_token_limit(self) -> None:
        request = engine_request(max_tokens=4)
        text, done = await collect(stream_completion(self.client, self.target, request, 5))
        self.assertEqual(answer_text(MODEL, conversation(), 4), text)
        self.assertEqual("length", done.finish_reason)

    async def test_next_turn_finds_its_prefix_cached(self) -> None:
        messages = conversation("explain it all " * 20 + "tokens=32")
        request = engine_request(messages=messages)
        text, first = await collect(stream_completion(self.client, self.target, request, 5))
        messages = [*messages, Message(MessageRole.ASSISTANT, text), *conversation("tokens=2")]
        request = engine_request("request-2", messages)
        _, second = await collect(stream_completion(self.client, self.target, request, 5))
        self.assertEqual(0, first.usage.cached_tokens)
        # All full blocks of the first turn, its answer included.
        total = first.usage.prompt_tokens + first.usage.output_tokens
        self.assertGreaterEqual(second.usage.cached_tokens, total - 16)

    async def test_resumed_answer_equals_the_uninterrupted_one(self) -> None:
        complete = answer_text(MODEL, conversation(), 6)
        for cut in range(1, 6):
            self.engine.faults = EngineFaults(cut_after_tokens=cut)
            request = engine_request(f"first-{cut}")
            stream = stream_completion(self.client, self.target, request, 5)
            start, failed = await collect(stream)
            self.assertEqual(cut * 4, failed.produced_text_len)
            self.engine.faults = EngineFaults()
            request = engine_request(f"second-{cut}", resume_text=start)
            stream = stream_completion(self.client, self.target, request, 5)
            rest, done = await collect(stream)
            self.assertIsInstance(done, EngineDone)
            self.assertEqual(complete, start + rest)
            self.assertTrue(self.engine.records[-1].resume_matches)
        await self.wait_for_cancels()


class CancelTest(StandinCase):
    async def _close_after_first_delta(self) -> None:
        messages = conversation("tokens=100000")
        request = engine_request(messages=messages, max_tokens=100_000)
        async with aclosing(stream_completion(self.client, self.target, request, 60)) as stream:
            self.assertIsInstance(await anext(stream), EngineDelta)
            self.engine.faults = EngineFaults(hang=True)

    async def test_closing_cancels_on_the_engine(self) -> None:
        await self._close_after_first_delta()
        await self.wait_for_cancels()
        self.assertEqual(
            [("cancel", "request-1")], [(each.kind, each.subject) for each in self.engine.controls]
        )
        self.assertEqual("cancelled", self.engine.records[0].outcome)

    async def test_cancelled_caller_cancels_on_a_hanging_engine(self) -> None:
        self.engine.faults = EngineFaults(hang=True)
        stream = stream_completion(self.client, self.target, engine_request(), 60)
        waiting = asyncio.create_task(anext(stream))
        await until(lambda: self.engine.records)
        waiting.cancel()
        await asyncio.wait([waiting])
        await until(lambda: self.engine.records[0].outcome == "cancelled")
        self.assertEqual([], [*self.engine.core.running, *self.engine.core.waiting])

    async def test_closing_closes_an_idle_connection(self) -> None:
        async with ScriptedServer(OK_STREAM + event_bytes("a"), close=False) as server:
            target = engine_target(server.url)
            stream = stream_completion(self.client, target, engine_request(), 60)
            await anext(stream)
            await stream.aclose()
            await with_timeout(server.closed.wait())
            await self.wait_for_cancels()

    async def test_failure_cancels_before_it_is_yielded(self) -> None:
        timeouts = StreamTimeouts(first_token_s=0.05)
        self.engine.faults = EngineFaults(hang=True)
        stream = stream_completion(self.client, self.target, engine_request(), 60, timeouts)
        self.assertIsInstance(await anext(stream), EngineFailed)
        await until(lambda: self.engine.records[0].outcome == "cancelled")
        await stream.aclose()

    async def test_cancel_by_another_client_ends_the_stream(self) -> None:
        self.engine.faults = EngineFaults(hang=True)
        stream = stream_completion(self.client, self.target, engine_request(), 60)
        waiting = asyncio.create_task(collect(stream))
        await until(lambda: self.engine.records)
        self.engine.core.cancel("request-1")
        _, failed = await waiting
        self.assertEqual(Verdict.NOT_RUN, failed.failure.verdict)


class FairnessTest(EngineCase):
    async def test_bytes_without_end_do_not_hold_up_other_requests(self) -> None:
        for repeated in (b"\n", b": ping\n\n", b"data: {}\n\n"):
            with self.subTest(repeated):
                await self._expect_turns(repeated)

    async def _expect_turns(self, repeated: bytes) -> None:
        pieces = [repeated * (PIECE_BYTES // len(repeated)) for _ in range(PIECES)]
        async with DrippingServer(OK_STREAM, b"", 60.0) as server, longest_delay() as delay_s:
            stream = stream_completion(self.client, engine_target(server.url), engine_request(), 60)
            waiting = asyncio.create_task(anext(stream))
            await until(lambda: self.client.exchanges)
            (exchange,) = self.client.exchanges
            for piece in pieces:
                exchange.pieces.put_nowait(piece)
            exchange.pieces.put_nowait(DONE)
            self.assertIsInstance(await with_timeout(waiting), EngineFailed)
            await stream.aclose()
        self.assertLess(delay_s(), MAX_DELAY_S)


class TimeoutTest(EngineCase):
    async def _expect_timeout(
        self, sent: bytes, timeouts: StreamTimeouts, timeout_s: float
    ) -> None:
        async with ScriptedServer(OK_STREAM + sent, close=False) as server:
            target = engine_target(server.url)
            request = engine_request()
            stream = stream_completion(self.client, target, request, timeout_s, timeouts)
            _, failed = await collect(stream)
            await with_timeout(server.closed.wait())
            await self.wait_for_cancels()
        self.assertEqual(ErrorCode.TIMEOUT, failed.failure.code)
        self.assertEqual(Verdict.MAY_HAVE_RUN, failed.failure.verdict)

    async def test_first_token(self) -> None:
        await self._expect_timeout(b": ping\n\n", StreamTimeouts(0.05, 60), 60)

    async def test_between_tokens(self) -> None:
        await self._expect_timeout(event_bytes("a"), StreamTimeouts(60, 0.05), 60)

    async def test_comments_without_end_are_no_text(self) -> None:
        # No gap between the comments is as long as the grace, however busy the machine is.
        grace = mock.patch.object(http, "READ_GRACE_S", 2.0)
        async with DrippingServer(OK_STREAM, b": ping\n\n", 0.01) as server:
            target, timeouts = engine_target(server.url), StreamTimeouts(0.2, 0.2)
            began_at = monotonic()
            stream = stream_completion(self.client, target, engine_request(), 4, timeouts)
            with grace:
                _, failed = await collect(stream)
            duration_s = monotonic() - began_at
        self.assertEqual("engine fell silent", failed.failure.message)
        self.assertLess(duration_s, 2)

    async def test_complete_answer(self) -> None:
        await self._expect_timeout(event_bytes("a"), StreamTimeouts(60, 60), 0.1)


if __name__ == "__main__":
    unittest.main()
