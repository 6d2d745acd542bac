"""Control of engines: cache events, load, held programs, orders and KV cache."""

import unittest

import msgspec

from waxwingglade.base import ErrorCode, ProgramId, Verdict
from waxwingglade.connection import (
    CacheEvents,
    EngineOrder,
    HttpClient,
    HttpClientSettings,
    OrderKind,
    cache_events,
    export_cache,
    held_programs,
    import_cache,
    read_load,
    read_state,
    release,
    send_order,
    stream_completion,
)
from waxwingglade.connection.tests.target_builders import (
    PROGRAM,
    ScriptedServer,
    answer_bytes,
    collect,
    conversation,
    engine_request,
    engine_target,
    longest_delay,
)
from waxwingglade.standins import EngineSpeed, EngineStandin

MAX_DELAY_S = 0.5
LONG = conversation("a long brief of a wrap " * 20 + "tokens=4")


class ControlCase(unittest.IsolatedAsyncioTestCase):
    """Base class with a client that is closed at the end."""

    async def asyncSetUp(self) -> None:
        self.client = HttpClient(HttpClientSettings(max_clients=10))
        self.addAsyncCleanup(self.client.close)

    async def start(self, **speed: float) -> EngineStandin:
        """Start an engine, and make it hold some cache for `PROGRAM`."""
        engine = EngineStandin(EngineSpeed(**speed), honours_fencing=True)
        await engine.start()
        self.addAsyncCleanup(engine.stop)
        self.target = engine_target(engine.url)
        stream = stream_completion(self.client, self.target, engine_request(messages=LONG), 5)
        await collect(stream)
        return engine


class CacheEventsTest(ControlCase):
    async def _events(self, sequences: list[int], last: int, after: int) -> CacheEvents:
        events = [{"sequence": each, "kind": "stored", "blocks": ["b"]} for each in sequences]
        body = msgspec.json.encode({"events": events, "last": last})
        async with ScriptedServer(answer_bytes("200 OK", body)) as server:
            found = await cache_events(self.client, engine_target(server.url), after)
        return found.unwrap()

    async def test_complete_sequence_of_events(self) -> None:
        found = await self._events([6, 4, 5, 3], last=6, after=3)
        self.assertEqual([4, 5, 6], [each.sequence for each in found.events])
        self.assertEqual((False, 6), (found.gap, found.last))

    async def test_nothing_new(self) -> None:
        self.assertFalse((await self._events([], last=3, after=3)).gap)

    async def test_gaps_are_flagged(self) -> None:
        cases = {
            "first one lost": ([5, 6], 6, 3),
            "middle one lost": ([4, 6], 6, 3),
            "last one lost": ([4, 5], 6, 3),
            "all lost": ([], 6, 3),
            "engine began anew": ([], 1, 3),
            "doubled one hides a lost one": ([4, 4, 6], 6, 3),
        }
        for name, (sequences, last, after) in cases.items():
            with self.subTest(name):
                self.assertTrue((await self._events(sequences, last, after)).gap)

    async def test_events_lost_by_the_stand_in_are_flagged(self) -> None:
        engine = await self.start(event_gap_every=2)
        for number in range(3):
            messages = conversation(f"{number} another long brief " * 20 + "tokens=4")
            request = engine_request(f"request-{number + 2}", messages)
            await collect(stream_completion(self.client, self.target, request, 5))
        found = (await cache_events(self.client, self.target, 0)).unwrap()
        self.assertTrue(found.gap)
        self.assertEqual(engine.core.events.sequence, found.last)

    async def test_events_delayed_by_the_stand_in_are_no_gap(self) -> None:
        await self.start(event_delay_s=3600)
        found = (await cache_events(self.client, self.target, 0)).unwrap()
        self.assertEqual(CacheEvents([], gap=False, last=0), found)


class LoadTest(ControlCase):
    async def _load_of(self, body: bytes) -> object:
        async with ScriptedServer(answer_bytes("200 OK", body)) as server:
            return await read_load(self.client, engine_target(server.url))

    async def test_series_of_several_models_are_added(self) -> None:
        body = (
            b'vllm:num_requests_running{model_name="a"} 2.0\n'
            b'vllm:num_requests_running{model_name="b"} 3.0\n'
            b"vllm:num_requests_waiting 4.0\nvllm:gpu_cache_usage_perc 0.25\n"
        )
        load = (await self._load_of(body)).unwrap()
        self.assertEqual((5, 4, 0.25), (load.running, load.waiting, load.kv_used_fraction))

    async def test_invalid_metrics_are_a_failure(self) -> None:
        rest = b"vllm:num_requests_waiting 0\nvllm:kv_cache_usage_perc 0\n"
        no_number = b"vllm:num_requests_running NaN\n" + rest
        endless = b"vllm:num_requests_running +Inf\n" + rest
        for body in (b"", b"\xff", b"{]\n", rest, no_number, endless):
            failure = (await self._load_of(body)).unwrap_err()
            self.assertEqual(ErrorCode.TARGET_FAILED, failure.code)

    async def test_long_metrics_do_not_hold_up_other_requests(self) -> None:
        other = b'vllm:other{engine="0",le="0.5"} 1.0\n' * 100_000
        load_series = b'vllm:num_requests_running{model_name="a"} 2.0\n'
        rest = b"vllm:num_requests_waiting 4.0\nvllm:gpu_cache_usage_perc 0.25\n"
        async with longest_delay() as delay_s:
            load = (await self._load_of(other + load_series + rest)).unwrap()
        self.assertEqual((2, 4, 0.25), (load.running, load.waiting, load.kv_used_fraction))
        self.assertLess(delay_s(), MAX_DELAY_S)
        async with longest_delay() as delay_s:
            failure = (await self._load_of(load_series * 100_000 + rest)).unwrap_err()
        self.assertEqual(ErrorCode.TARGET_FAILED, failure.code)
        self.assertLess(delay_s(), MAX_DELAY_S)

    async def test_stand_in_reports_with_a_lag(self) -> None:
        engine = await self.start(load_lag_s=3600)
        load = (await read_load(self.client, self.target)).unwrap()
        self.assertEqual(0.0, load.kv_used_fraction)
        self.assertGreater(engine.core.cache.used_fraction(), 0.0)


class CacheTest(ControlCase):
    async def test_release_clears_the_cache_of_the_engine(self) -> None:
        engine = await self.start()
        self.assertEqual([PROGRAM], (await held_programs(self.client, self.target)).unwrap())
        for _ in range(2):
            self.assertTrue((await release(self.client, self.target, PROGRAM)).is_ok())
        self.assertEqual([], (await held_programs(self.client, self.target)).unwrap())
        self.assertEqual(0.0, engine.core.cache.used_fraction())

    async def test_another_engine_uses_an_exported_cache(self) -> None:
        await self.start()
        cache = (await export_cache(self.client, self.target, PROGRAM)).unwrap()
        other = EngineStandin()
        await other.start()
        self.addAsyncCleanup(other.stop)
        target = engine_target(other.url)
        self.assertTrue((await import_cache(self.client, target, PROGRAM, cache)).is_ok())
        request = engine_request("request-2", LONG)
        _, done = await collect(stream_completion(self.client, target, request, 5))
        self.assertGreater(done.usage.cached_tokens, 0)

    async def test_export_without_cache_did_not_run(self) -> None:
        await self.start()
        failed = await export_cache(self.client, self.target, ProgramId("other"))
        self.assertEqual(Verdict.NOT_RUN, failed.unwrap_err().verdict)


class OrderTest(ControlCase):
    async def test_outdated_fencing_number_is_rejected(self) -> None:
        await self.start()
        order = EngineOrder(OrderKind.LOAD_MODEL, "large", fencing=5)
        self.assertTrue((await send_order(self.client, self.target, order)).is_ok())
        outdated = EngineOrder(OrderKind.UNLOAD_MODEL, "large", fencing=4)
        failure = (await send_order(self.client, self.target, outdated)).unwrap_err()
        self.assertEqual((Verdict.NOT_RUN, ErrorCode.FENCED), (failure.verdict, failure.code))
        state = (await read_state(self.client, self.target)).unwrap()
        self.assertEqual((["large"], 5), (state.models, state.last_fencing))

    async def test_engine_without_fencing_carries_out_outdated_orders(self) -> None:
        engine = await self.start()
        engine.orders.honours_fencing = False
        for kind, fencing in ((OrderKind.LOAD_ADAPTER, 5), (OrderKind.SET_ROLE, 4)):
            order = EngineOrder(kind, "draft", fencing)
            self.assertTrue((await send_order(self.client, self.target, order)).is_ok())
        state = (await read_state(self.client, self.target)).unwrap()
        self.assertEqual((["draft"], "draft"), (state.adapters, state.role))

    async def test_model_that_is_not_loaded_did_not_run(self) -> None:
        engine = await self.start()
        engine.orders.models = ["large"]
        stream = stream_completion(self.client, self.target, engine_request("request-2"), 5)
        _, failed = await collect(stream)
        self.assertEqual(Verdict.NOT_RUN, failed.failure.verdict)


if __name__ == "__main__":
    unittest.main()
