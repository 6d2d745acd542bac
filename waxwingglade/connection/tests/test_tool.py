"""Calls of tools: verdicts, and effects recorded by the service."""

import unittest
from unittest import mock

from waxwingglade.base import ErrorCode, Outcome, Verdict, monotonic
from waxwingglade.connection import (
    HttpClient,
    HttpClientSettings,
    ToolAnswer,
    ask_outcome,
    call_tool,
    http,
)
from waxwingglade.connection.tests.target_builders import (
    BOOKING,
    DrippingServer,
    ScriptedServer,
    answer_bytes,
    service_target,
)
from waxwingglade.standins import ToolFaults, ToolStandin

KEY = "call-1/ä"


class ToolCase(unittest.IsolatedAsyncioTestCase):
    """Base class with a service stand-in that supports fencing."""

    async def asyncSetUp(self) -> None:
        self.client = HttpClient(HttpClientSettings(max_clients=10))
        self.addAsyncCleanup(self.client.close)
        self.service = ToolStandin(honours_fencing=True)
        await self.service.start()
        self.addAsyncCleanup(self.service.stop)

    async def call(
        self, key: str = "call-1", fencing: int = 1, timeout_s: float = 5, url: str = ""
    ) -> Outcome[ToolAnswer]:
        target = service_target(url or self.service.url)
        return await call_tool(
            self.client,
            target,
            BOOKING,
            key=key,
            arguments={"slot": "09:30"},
            fencing=fencing,
            timeout_s=timeout_s,
        )


class VerdictTest(ToolCase):
    async def test_call_has_one_effect(self) -> None:
        answer = (await self.call()).unwrap()
        effects = self.service.effects_of("call-1")
        self.assertEqual([answer.result], [each.result for each in effects])
        self.assertEqual({"slot": "09:30"}, effects[0].arguments)

    async def test_refusal_without_end_is_known_as_one(self) -> None:
        refusal = answer_bytes("503 Unavailable", b'{"verdict": "not_run"} ')[:-1]
        chunked = b"HTTP/1.1 503 Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n"
        drip = b"1\r\n \r\n"
        starts = ((refusal, b""), (chunked + b'16\r\n{"verdict": "not_run"}\r\n', drip))
        for start, repeated in starts:
            with self.subTest(repeated), mock.patch.object(http, "ERROR_TIMEOUT_S", 0.2):
                async with DrippingServer(start, repeated, 0.01) as server:
                    began_at = monotonic()
                    failure = (await self.call(timeout_s=4, url=server.url)).unwrap_err()
                    duration_s = monotonic() - began_at
                self.assertEqual(Verdict.NOT_RUN, failure.verdict)
                self.assertLess(duration_s, 2)

    async def test_verdict_is_correct_for_each_fault(self) -> None:
        cases = [
            (ToolFaults(cut_before=True), Verdict.MAY_HAVE_RUN, 0),
            (ToolFaults(cut_after=True), Verdict.MAY_HAVE_RUN, 1),
            (ToolFaults(hang=True), Verdict.MAY_HAVE_RUN, 0),
            (ToolFaults(garbage=True), Verdict.MAY_HAVE_RUN, 1),
            (ToolFaults(error_before=True), Verdict.NOT_RUN, 0),
            (ToolFaults(error_after=True), Verdict.RAN, 1),
        ]
        for number, (faults, verdict, effects) in enumerate(cases):
            with self.subTest(faults):
                key = f"call-{number}"
                self.service.faults = ToolFaults()
                # A reused connection is the harder case, since libcurl may retry by itself.
                (await self.call(f"before-{number}")).unwrap()
                self.service.faults = faults
                failure = (await self.call(key, timeout_s=0.2)).unwrap_err()
                self.assertEqual(verdict, failure.verdict)
                self.assertEqual(effects, len(self.service.effects_of(key)))

    async def test_refused_connection_did_not_run(self) -> None:
        await self.service.stop()
        self.assertEqual(Verdict.NOT_RUN, (await self.call()).unwrap_err().verdict)

    async def test_errors_without_a_clear_verdict_may_have_run(self) -> None:
        for body in (b"", b"<html>", b'{"verdict": "perhaps"}', b'{"verdict": "may_have_run"}'):
            for status in ("400 Bad Request", "429 Too Many Requests", "503 Unavailable"):
                async with ScriptedServer(answer_bytes(status, body)) as server:
                    failure = (await self.call(url=server.url)).unwrap_err()
                self.assertEqual(Verdict.MAY_HAVE_RUN, failure.verdict)

    async def test_retry_after_is_read(self) -> None:
        answer = answer_bytes("429 Busy", b'{"verdict": "not_run"}', "Retry-After: 3\r\n")
        async with ScriptedServer(answer) as server:
            failure = (await self.call(url=server.url)).unwrap_err()
        found = (failure.verdict, failure.code, failure.retry_after_s)
        self.assertEqual((Verdict.NOT_RUN, ErrorCode.OVERLOADED, 3.0), found)

    async def test_outdated_fencing_number_did_not_run(self) -> None:
        (await self.call("call-1", fencing=7)).unwrap()
        failure = (await self.call("call-2", fencing=6)).unwrap_err()
        self.assertEqual((Verdict.NOT_RUN, ErrorCode.FENCED), (failure.verdict, failure.code))
        self.assertEqual([], self.service.effects_of("call-2"))


class OutcomeTest(ToolCase):
    async def ask(self, key: str) -> Outcome[ToolAnswer | None]:
        return await ask_outcome(self.client, service_target(self.service.url), BOOKING, key)

    async def test_outcome_of_a_lost_answer_is_found_by_its_key(self) -> None:
        self.service.faults = ToolFaults(cut_after=True)
        await self.call(KEY)
        found = (await self.ask(KEY)).unwrap()
        self.assertEqual(self.service.effects_of(KEY)[0].result, found.result)

    async def test_call_that_never_ran(self) -> None:
        self.assertIsNone((await self.ask(KEY)).unwrap())

    async def test_not_found_of_the_path_is_no_outcome(self) -> None:
        # A service without answers by key must not look like one that never ran the call.
        tool = BOOKING.__class__("order", "/order")
        outcome = await ask_outcome(self.client, service_target(self.service.url), tool, KEY)
        self.assertEqual(Verdict.MAY_HAVE_RUN, outcome.unwrap_err().verdict)

    async def test_invalid_answer_is_no_outcome(self) -> None:
        for body in (b"", b"null", b"{}", b'{"found": 1}'):
            async with ScriptedServer(answer_bytes("200 OK", body)) as server:
                target = service_target(server.url)
                outcome = await ask_outcome(self.client, target, BOOKING, KEY)
            self.assertEqual(Verdict.MAY_HAVE_RUN, outcome.unwrap_err().verdict)


if __name__ == "__main__":
    unittest.main()
