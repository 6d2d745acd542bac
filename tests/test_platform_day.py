"""The daemons of the platform as separate processes, through a small day with faults."""

import asyncio
import os
import signal
import unittest

from tests.platform_cluster import CALL, HOST, ORDER, PlatformCluster, configuration
from waxwingglade.base import WaxwinggladeError
from waxwingglade.standins.metadata_store import StoreFault
from waxwingglade.standins.registered_server import ServerFault, answer_to, event_data

EVENTS = 4


def kept(body: bytes) -> bytes:
    """Return what a turn adds to the prompt of the next one."""
    return body + b"".join(event_data(body, number) + b"\n" for number in range(1, EVENTS + 1))


class PlatformDay(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = PlatformCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()
        self.one, self.two = self.cluster.entries

    def runs(self, request: str) -> list:
        """Return where a request ran."""
        servers = [*self.cluster.engines, *self.cluster.notes]
        return [run for server in servers for run in server.runs if run.request == request]

    async def test_a_calm_day(self) -> None:
        with self.subTest("a turn is streamed, kept, and continued at another entry"):
            first = await self.cluster.turn(self.one, "t1", b"first")
            self.assertEqual(first.status, 200)
            self.assertEqual(first.body.count(b"data: "), EVENTS)
            second = await self.cluster.turn(self.two, "t2", b"second", previous_turn="t1")
            self.assertEqual(second.status, 200)
            prompt = kept(b"first") + b"second"
            self.assertEqual(self.runs("t2")[0].body, prompt)
        with self.subTest("several turns continue the same one"):
            answers = await asyncio.gather(
                self.cluster.turn(self.one, "t3", b"left", previous_turn="t2"),
                self.cluster.turn(self.two, "t4", b"right", previous_turn="t2"),
            )
            self.assertEqual([answer.status for answer in answers], [200, 200])
            second_kept = b"second" + b"".join(
                event_data(prompt, number) + b"\n" for number in range(1, EVENTS + 1)
            )
            self.assertEqual(self.runs("t4")[0].body, kept(b"first") + second_kept + b"right")
        with self.subTest("a turn that does not exist"):
            answer = await self.cluster.turn(self.one, "t5", b"x", previous_turn="nothing")
            self.assertEqual(answer.status, 404)
            self.assertEqual(self.runs("t5"), [])
        with self.subTest("the budget holds over entries"):
            await self._spend_budget()
        with self.subTest("what callers may not set does not pass"):
            await self.cluster.call(
                self.one, "POST", CALL, request_id="c1", hold="h", expect_instance="i-other"
            )
            headers = self.runs("c1")[0].headers
            self.assertNotIn("x-waxwingglade-hold", headers)
            self.assertTrue(headers["x-waxwingglade-expect-instance"].startswith("i-"))
            self.assertLessEqual(int(headers["x-waxwingglade-deadline-ms"]), 5000)

        with self.subTest("metrics and logs tell what happened"):
            page = await self.cluster.page(self.one)
            self.assertIn('waxwingglade_ingress_requests_total{route="turns",status="200"}', page)
            page = await self.cluster.page(self.cluster.ledgers[0])
            self.assertIn("waxwingglade_ledger_answers_total", page)
            await self.cluster.until(lambda: self._logged("t5"))
            line = self._logged("t5")[0]
            self.assertEqual((line["status"], line["reason"]), (404, "no such turn"))

    def _logged(self, request: str) -> list[dict]:
        lines = self.one.logs() + self.two.logs()
        return [line for line in lines if line.get("request") == request]

    async def _spend_budget(self) -> None:
        """Each turn may generate 40 tokens and does; a budget of 100 holds two of them."""
        statuses = []
        for number, entry in enumerate([self.one, self.two, self.one, self.two]):
            answer = await self.cluster.turn(
                entry, f"b{number}", b"x", program_id="p2", token_budget=100
            )
            statuses.append(answer.status)
        self.assertEqual(statuses, [200, 200, 402, 402])
        self.assertEqual(self.runs("b2") + self.runs("b3"), [])

    async def test_servers_that_fail(self) -> None:
        good, bad = self.cluster.notes
        with self.subTest("a request that was refused as not run goes to another server"):
            bad.fault = ServerFault.REFUSED
            for number in range(6):
                answer = await self.cluster.call(self.one, "POST", ORDER, request_id=f"o{number}")
                self.assertEqual(answer.status, 200)
                self.assertEqual(len(self.runs(f"o{number}")), 1)
        with self.subTest("one that may have run does not, unless it may be repeated"):
            bad.fault = good.fault = ServerFault.CUT
            answer = await self.cluster.call(self.one, "POST", ORDER, request_id="o-cut")
            self.assertEqual(answer.status, 502)
            self.assertEqual(len(self.runs("o-cut")), 1)
            answer = await self.cluster.call(self.one, "POST", CALL, request_id="c-cut")
            self.assertEqual(answer.status, 502)
            self.assertEqual(len(self.runs("c-cut")), 2)
        with self.subTest("a torn answer does not reach the caller"):
            bad.fault = good.fault = ServerFault.TRUNCATED
            answer = await self.cluster.call(self.one, "POST", ORDER, request_id="o-torn")
            self.assertEqual(answer.status, 502)
        with self.subTest("a refusal that promises nothing is not passed on as a promise"):
            bad.fault = good.fault = ServerFault.PLAIN_503
            answer = await self.cluster.call(self.one, "POST", ORDER, request_id="o-503")
            self.assertEqual(answer.status, 502)
        with self.subTest("a second answer belongs to no other request"):
            bad.fault = good.fault = ServerFault.DUPLICATED
            for number in range(6):
                body = b"body %d" % number
                answer = await self.cluster.call(
                    self.one, "POST", ORDER, body, request_id=f"o-extra{number}"
                )
                self.assertEqual((answer.status, answer.body), (200, answer_to(body)))

    async def test_a_stream_that_breaks_off_is_seen_to_be_incomplete(self) -> None:
        for engine in self.cluster.engines:
            engine.fault = ServerFault.TRUNCATED
        with self.assertRaises(WaxwinggladeError):
            await self.cluster.turn(self.one, "torn", b"first")
        for engine in self.cluster.engines:
            engine.fault = ServerFault.NONE
        answer = await self.cluster.turn(self.two, "next", b"x", previous_turn="torn")
        self.assertEqual(answer.status, 404)

    async def test_configuration_and_targets_are_followed(self) -> None:
        with self.subTest("a new route is in force at every entry"):
            route = {
                "name": "new",
                "host": HOST,
                "path_prefix": "/new/",
                "kind": "safe",
                "service": "notes",
            }
            before = await self.cluster.call(self.one, "POST", "/new/")
            self.assertEqual(before.status, 404)
            self.cluster.store.put("op/config", configuration(9, [route]))
            for entry in (self.one, self.two):
                await self._until_status(entry, "/new/", 200)
        with self.subTest("while the store is away, the history is gone and comes back"):
            self.cluster.store.fault = StoreFault.BUSY
            await asyncio.sleep(1.5)
            answer = await self.cluster.call(self.two, "POST", CALL)
            self.assertEqual(answer.status, 200)
            self.cluster.store.put("op/config", configuration(12))
            self.cluster.store.compact()
            self.cluster.store.fault = StoreFault.NONE
            for entry in (self.one, self.two):
                await self._until_status(entry, "/new/", 404)
        with self.subTest("a server that leaves gets no more work"):
            leaving, staying = self.cluster.notes
            leaving.register("draining")
            await asyncio.sleep(2.0)
            seen = len(leaving.runs)
            for _ in range(8):
                answer = await self.cluster.call(self.one, "POST", CALL)
                self.assertEqual(answer.status, 200)
            self.assertEqual(len(leaving.runs), seen)
            self.assertTrue(staying.runs)

    async def _until_status(self, entry: object, path: str, status: int) -> None:
        async with asyncio.timeout(20.0):
            while (await self.cluster.call(entry, "POST", path)).status != status:
                await asyncio.sleep(0.1)

    async def test_kills_wipes_and_stops(self) -> None:
        first = await self.cluster.turn(self.one, "t1", b"first")
        self.assertEqual(first.status, 200)
        with self.subTest("with one ledger process gone turns go on"):
            gone = self.cluster.ledgers[0]
            gone.kill()
            answer = await self._until_turn("t2", previous_turn="t1")
            self.assertEqual(self.runs(answer)[-1].body, kept(b"first") + b"next")
        with self.subTest("its disk is lost: it joins again as another member"):
            for path in (gone.folder / "data").iterdir():
                path.unlink()
            gone.start()
            wiped = (gone.folder / "data" / "identity",)
            await self.cluster.until(lambda: wiped[0].exists() and wiped[0].read_text())
            name = wiped[0].read_text()
            await self.cluster.until(lambda: self._is_only_member(gone.name, name))
        with self.subTest("then another one goes, and nothing is lost"):
            self.cluster.ledgers[1].kill()
            answer = await self._until_turn("t3", previous_turn="t1")
            self.assertEqual(self.runs(answer)[-1].body, kept(b"first") + b"next")
            self.cluster.ledgers[1].start()
        with self.subTest("after all are killed, too"):
            for node in [*self.cluster.ledgers, *self.cluster.entries]:
                node.kill()
            for node in [*self.cluster.ledgers, *self.cluster.entries]:
                node.start()
            await self.cluster.until_ready(self.two)
            answer = await self._until_turn("t4", previous_turn="t1")
            self.assertEqual(self.runs(answer)[-1].body, kept(b"first") + b"next")

    async def test_without_a_majority_turns_are_refused_and_callers_sent_elsewhere(self) -> None:
        self.assertEqual((await self.cluster.turn(self.one, "t1", b"first")).status, 200)
        for node in self.cluster.ledgers[1:]:
            node.signal(signal.SIGSTOP)
        await self.cluster.until(lambda: "quorum" in str(self._majority_lost()))
        answer = await self.cluster.turn(self.one, "t2", b"next", previous_turn="t1")
        self.assertEqual(answer.status, 503)
        self.assertGreaterEqual(float(answer.header("Retry-After")), 0.5)
        self.assertEqual(self.runs("t2"), [])
        plain = await self.cluster.call(self.one, "POST", CALL)
        self.assertEqual((plain.status, plain.header("Connection")), (200, "close"))
        for node in self.cluster.ledgers[1:]:
            node.signal(signal.SIGCONT)
        await self.cluster.until_ready(self.one)
        self.assertTrue(await self._until_turn("t3", previous_turn="t1"))

    def _majority_lost(self) -> list[str]:
        lines = self.cluster.entries[0].logs()
        return [line["event"] for line in lines if line["event"] == "ledger quorum lost"]

    def _is_only_member(self, vm: str, disk: str) -> bool:
        value = self.cluster.store.value("waxwingglade/replicas") or b""
        return (
            disk.encode() in value
            and value.count(b'"' + vm.encode() + b'"') == 1
            and bool(self.cluster.members())
        )

    async def _until_turn(self, name: str, **headers: str) -> str:
        """Send a turn until it is served; return the name of the one that was."""
        async with asyncio.timeout(20.0):
            for number in range(200):
                request = f"{name}-{number}"
                try:
                    answer = await self.cluster.turn(self.two, request, b"next", **headers)
                except WaxwinggladeError:
                    await asyncio.sleep(0.1)
                    continue
                if answer.status == 200:
                    return request
                self.assertIn(answer.status, (502, 503, 504))
                await asyncio.sleep(0.1)
        raise AssertionError("not served")

    async def test_a_caller_that_leaves_stops_the_work(self) -> None:
        for engine in self.cluster.engines:
            engine.event_s = 0.5
        running = asyncio.create_task(self.cluster.turn(self.one, "left", b"first"))
        engines = self.cluster.engines
        await self.cluster.until(lambda: any(engine.active for engine in engines))
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await self.cluster.until(lambda: not any(engine.active for engine in engines))
        with self.subTest("and its reservation is settled by what it was handed"):
            for number in range(2):
                answer = await self.cluster.turn(
                    self.two, f"after{number}", b"x", program_id="p1", token_budget=100
                )
                self.assertIn(answer.status, (200, 402), answer.body)
            self.assertEqual(len(self.runs("after0")), 1)

    async def test_callers_that_left_while_an_entry_stood_still_get_no_work_done(self) -> None:
        before = sum(len(server.runs) for server in self.cluster.notes)
        self.one.signal(signal.SIGSTOP)
        asked = [
            asyncio.create_task(self.cluster.call(self.one, "POST", path, timeout_s=0.5))
            for path in (CALL, ORDER)
            for _ in range(10)
        ]
        await asyncio.gather(*asked, return_exceptions=True)
        self.one.signal(signal.SIGCONT)
        await asyncio.sleep(1.0)
        self.assertEqual(sum(len(server.runs) for server in self.cluster.notes), before)

    async def test_a_stop_cuts_off_no_request(self) -> None:
        for engine in self.cluster.engines:
            engine.event_s = 0.4
        running = [
            asyncio.create_task(self.cluster.turn(self.one, f"s{number}", b"first"))
            for number in range(4)
        ]
        await asyncio.sleep(0.5)
        self.one.signal(signal.SIGTERM)
        late = []
        for number in range(6):
            await asyncio.sleep(0.5)
            late.append(
                asyncio.create_task(
                    self.cluster.call(self.one, "POST", CALL, request_id=f"late{number}")
                )
            )
        answers = await asyncio.gather(*running, *late)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertTrue(all(answer.header("Connection") == "close" for answer in answers[4:]))
        process = self.one.process
        await self.cluster.until(lambda: process.poll() is not None)
        self.assertEqual(process.returncode, 0)
        events = [line["event"] for line in self.one.logs()]
        self.assertIn("drained", events)
        self.assertEqual(events[-1], "stopped")

    async def test_a_signal_during_the_start_does_not_end_a_process(self) -> None:
        self.one.kill()
        settings = self.one.settings.read_bytes()
        self.one.settings.unlink()
        os.mkfifo(self.one.settings)
        self.one.start()
        # Opening it returns as soon as the process has come to read its settings.
        with await asyncio.to_thread(self.one.settings.open, "wb") as pipe:
            self.one.signal(signal.SIGHUP)
            pipe.write(settings)
        await self.cluster.until_ready(self.one)


if __name__ == "__main__":
    unittest.main()
