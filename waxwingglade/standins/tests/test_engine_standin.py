"""Test the histories and controls that the stand-ins serve over HTTP."""

import unittest

import msgspec

from waxwingglade.connection import call_tool, stream_completion
from waxwingglade.connection.http import (
    HttpAnswer,
    HttpClient,
    HttpClientSettings,
    HttpRequest,
    send,
)
from waxwingglade.connection.tests.target_builders import (
    BOOKING,
    PROGRAM,
    collect,
    engine_request,
    engine_target,
    service_target,
)
from waxwingglade.standins import EngineHistory, EngineStandin, ToolStandin


class HistoryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.client = HttpClient(HttpClientSettings(max_clients=10))
        self.addAsyncCleanup(self.client.close)

    async def post(self, url: str, body: object) -> HttpAnswer:
        request = HttpRequest("POST", url, body=msgspec.json.encode(body))
        return (await send(self.client, request)).unwrap()

    async def get(self, url: str) -> bytes:
        return (await send(self.client, HttpRequest("GET", url))).unwrap().body

    async def test_engine(self) -> None:
        engine = EngineStandin()
        await engine.start()
        self.addAsyncCleanup(engine.stop)
        target = engine_target(engine.url)
        await collect(stream_completion(self.client, target, engine_request(), 5))
        await self.post(engine.url + "/standin/faults", {"refuse": True})
        await collect(stream_completion(self.client, target, engine_request("request-2"), 5))
        await self.post(engine.url + "/standin/ended", {"program": PROGRAM})
        await self.post(engine.url + "/v1/cache/release", {"program": PROGRAM})
        body = await self.get(engine.url + "/standin/history")
        history = msgspec.json.decode(body, type=EngineHistory)
        self.assertEqual(["stop", "refused"], [each.outcome for each in history.requests])
        self.assertEqual([("release", PROGRAM)], [(c.kind, c.subject) for c in history.controls])
        self.assertEqual([], history.held)
        first = history.requests[0]
        self.assertEqual((PROGRAM, 6), (first.program, first.output_tokens))
        self.assertTrue(first.arrived <= first.admitted <= first.first_token <= first.ended)

    async def test_malformed_bodies_are_refused(self) -> None:
        engine = EngineStandin()
        await engine.start()
        self.addAsyncCleanup(engine.stop)
        for path in ("/v1/chat/completions", "/v1/cancel", "/v1/orders", "/standin/faults"):
            self.assertEqual(400, (await self.post(engine.url + path, {"a": 1})).status)

    async def test_a_repeated_call_has_two_effects_unless_deduplicated(self) -> None:
        for deduplicates, effects in ((False, 2), (True, 1)):
            service = ToolStandin(deduplicates=deduplicates)
            await service.start()
            self.addAsyncCleanup(service.stop)
            for _ in range(2):
                await self._book(service)
            history = msgspec.json.decode(await self.get(service.url + "/standin/history"))
            self.assertEqual(effects, len(history["effects"]))

    async def _book(self, service: ToolStandin) -> None:
        answer = await call_tool(
            self.client,
            service_target(service.url),
            BOOKING,
            key="call-1",
            arguments={},
            fencing=1,
            timeout_s=5,
        )
        answer.unwrap()


if __name__ == "__main__":
    unittest.main()
