"""The daemons of the platform as separate processes, with and without faults."""

import asyncio
import os
import signal
import unittest

from tests.platform_cluster import CALL, HOST, ORDER, PlatformCluster, configuration
from waxwingglade.base import WaxwinggladeError
from waxwingglade.standins.metadata_store import StoreFault
from waxwingglade.standins.registered_server import ServerFault, answer_to, event_data

EVENTS = 4
MOST_LATE_MS = 3000
"""Deadline in milliseconds of a request that ends before a stopping entry exits."""


def retained_text(body: bytes) -> bytes:
    """Return what a turn adds to the prompt of the next turn."""
    return body + b"".join(event_data(body, number) + b"\n" for number in range(1, EVENTS + 1))


class PlatformDaemons(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = PlatformCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()
        self.first_entry, self.second_entry = self.cluster.entries

    def runs(self, request: str) -> list:
        """Return the runs of a request at all servers."""
        servers = [*self.cluster.engines, *self.cluster.notes]
        return [run for server in servers for run in server.runs if run.request == request]

    async def test_requests_without_faults(self) -> None:
        with self.subTest("a turn is streamed, retained, and continued at another entry"):
            first = await self.cluster.turn(self.first_entry, "t1", b"first")
            self.assertEqual(first.status, 200)
            self.assertEqual(first.body.count(b"data: "), EVENTS)
            second = await self.cluster.turn(self.second_entry, "t2", b"second", previous_turn="t1")
            self.assertEqual(second.status, 200)
            prompt = retained_text(b"first") + b"second"
            self.assertEqual(self.runs("t2")[0].body, prompt)
        with self.subTest("several turns continue the same turn"):
            answers = await asyncio.gather(
                self.cluster.turn(self.first_entry, "t3", b"left", previous_turn="t2"),
                self.cluster.turn(self.second_entry, "t4", b"right", previous_turn="t2"),
            )
            self.assertEqual([answer.status for answer in answers], [200, 200])
            second_retained = b"second" + b"".join(
                event_data(prompt, number) + b"\n" for number in range(1, EVENTS + 1)
            )
            self.assertEqual(
                self.runs("t4")[0].body, retained_text(b"first") + second_retained + b"right"
            )
        with self.subTest("a turn that does not exist"):
            answer = await self.cluster.turn(self.first_entry, "t5", b"x", previous_turn="nothing")
            self.assertEqual(answer.status, 404)
            self.assertEqual(self.runs("t5"), [])
        with self.subTest("the budget holds across entries"):
            await self._spend_budget()
        with self.subTest("headers that callers may not set are dropped"):
            await self.cluster.call(
                self.first_entry, "POST", CALL, request_id="c1", hold="h", expect_instance="i-other"
            )
            headers = self.runs("c1")[0].headers
            self.assertNotIn("x-waxwingglade-hold", headers)
            self.assertTrue(headers["x-waxwingglade-expect-instance"].startswith("i-"))
            self.assertLessEqual(int(headers["x-waxwingglade-deadline-ms"]), 5000)

        with self.subTest("metrics and logs report the requests"):
            page = await self.cluster.page(self.first_entry)
            self.assertIn('waxwingglade_ingress_requests_total{route="turns",status="200"}', page)
            page = await self.cluster.page(self.cluster.ledgers[0])
            self.assertIn("waxwingglade_ledger_answers_total", page)
            await self.cluster.until(lambda: self._request_lines("t5"))
            line = self._request_lines("t5")[0]
            self.assertEqual((line["status"], line["reason"]), (404, "no such turn"))

    def _request_lines(self, request: str) -> list[dict]:
        lines = self.first_entry.logs() + self.second_entry.logs()
        return [line for line in lines if line.get("request") == request]

    async def _spend_budget(self) -> None:
        """Check that a budget of 100 tokens covers two turns, each of which generates 40."""
        statuses = []
        for number, entry in enumerate(
            [self.first_entry, self.second_entry, self.first_entry, self.second_entry]
        ):
            answer = await self.cluster.turn(
                entry, f"b{number}", b"x", program_id="p2", token_budget=100
            )
            statuses.append(answer.status)
        self.assertEqual(statuses, [200, 200, 402, 402])
        self.assertEqual(self.runs("b2") + self.runs("b3"), [])

    async def test_failing_servers(self) -> None:
        good, bad = self.cluster.notes
        with self.subTest("a request that was refused as not run goes to another server"):
            bad.fault = ServerFault.REFUSED
            for number in range(6):
                answer = await self.cluster.call(
                    self.first_entry, "POST", ORDER, request_id=f"o{number}"
                )
                self.assertEqual(answer.status, 200)
                self.assertEqual(len(self.runs(f"o{number}")), 1)
        with self.subTest("a request that may have run does not, unless it is repeatable"):
            bad.fault = good.fault = ServerFault.CUT
            answer = await self.cluster.call(self.first_entry, "POST", ORDER, request_id="o-cut")
            self.assertEqual(answer.status, 502)
            self.assertEqual(len(self.runs("o-cut")), 1)
            answer = await self.cluster.call(self.first_entry, "POST", CALL, request_id="c-cut")
            self.assertEqual(answer.status, 502)
            self.assertEqual(len(self.runs("c-cut")), 2)
        with self.subTest("a truncated answer does not reach the caller"):
            bad.fault = good.fault = ServerFault.TRUNCATED
            answer = await self.cluster.call(self.first_entry, "POST", ORDER, request_id="o-torn")
            self.assertEqual(answer.status, 502)
        with self.subTest("a 503 that does not state 'not run' is not passed on as one"):
            bad.fault = good.fault = ServerFault.PLAIN_503
            answer = await self.cluster.call(self.first_entry, "POST", ORDER, request_id="o-503")
            self.assertEqual(answer.status, 502)
        with self.subTest("a second answer belongs to no other request"):
            bad.fault = good.fault = ServerFault.DUPLICATED
            for number in range(6):
                body = b"body %d" % number
                answer = await self.cluster.call(
                    self.first_entry, "POST", ORDER, body, request_id=f"o-extra{number}"
                )
                self.assertEqual((answer.status, answer.body), (200, answer_to(body)))

    async def test_a_truncated_stream_is_detected_as_incomplete(self) -> None:
        for engine in self.cluster.engines:
            engine.fault = ServerFault.TRUNCATED
        with self.assertRaises(WaxwinggladeError):
            await self.cluster.turn(self.first_entry, "torn", b"first")
        for engine in self.cluster.engines:
            engine.fault = ServerFault.NONE
        answer = await self.cluster.turn(self.second_entry, "next", b"x", previous_turn="torn")
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
            before = await self.cluster.call(self.first_entry, "POST", "/new/")
            self.assertEqual(before.status, 404)
            self.cluster.store.put("op/config", configuration(9, [route]))
            for entry in (self.first_entry, self.second_entry):
                await self._until_status(entry, "/new/", 200)
        with self.subTest(
            "the configuration is followed after an outage with compaction of the store"
        ):
            self.cluster.store.fault = StoreFault.BUSY
            await asyncio.sleep(1.5)
            answer = await self.cluster.call(self.second_entry, "POST", CALL)
            self.assertEqual(answer.status, 200)
            self.cluster.store.put("op/config", configuration(12))
            self.cluster.store.compact()
            self.cluster.store.fault = StoreFault.NONE
            for entry in (self.first_entry, self.second_entry):
                await self._until_status(entry, "/new/", 404)
        with self.subTest("a draining server gets no more work"):
            leaving, staying = self.cluster.notes
            leaving.register("draining")
            await asyncio.sleep(2.0)
            runs_before = len(leaving.runs)
            for _ in range(8):
                answer = await self.cluster.call(self.first_entry, "POST", CALL)
                self.assertEqual(answer.status, 200)
            self.assertEqual(len(leaving.runs), runs_before)
            self.assertTrue(staying.runs)

    async def _until_status(self, entry: object, path: str, status: int) -> None:
        async with asyncio.timeout(20.0):
            while (await self.cluster.call(entry, "POST", path)).status != status:
                await asyncio.sleep(0.1)

    async def test_killed_processes_and_lost_disks(self) -> None:
        first = await self.cluster.turn(self.first_entry, "t1", b"first")
        self.assertEqual(first.status, 200)
        with self.subTest("turns continue without one of the ledger processes"):
            killed = self.cluster.ledgers[0]
            killed.kill()
            answer = await self._turn_until_served("t2", previous_turn="t1")
            self.assertEqual(self.runs(answer)[-1].body, retained_text(b"first") + b"next")
        with self.subTest("after the loss of its disk it rejoins as a new member"):
            for path in (killed.folder / "data").iterdir():
                path.unlink()
            killed.start()
            identity_files = (killed.folder / "data" / "identity",)
            await self.cluster.until(
                lambda: identity_files[0].exists() and identity_files[0].read_text()
            )
            name = identity_files[0].read_text()
            await self.cluster.until(lambda: self._is_only_member(killed.name, name))
        with self.subTest("without another ledger process, no data is lost"):
            self.cluster.ledgers[1].kill()
            answer = await self._turn_until_served("t3", previous_turn="t1")
            self.assertEqual(self.runs(answer)[-1].body, retained_text(b"first") + b"next")
            self.cluster.ledgers[1].start()
        with self.subTest("no data is lost after all processes are killed"):
            for node in [*self.cluster.ledgers, *self.cluster.entries]:
                node.kill()
            for node in [*self.cluster.ledgers, *self.cluster.entries]:
                node.start()
            await self.cluster.until_ready(self.second_entry)
            answer = await self._turn_until_served("t4", previous_turn="t1")
            self.assertEqual(self.runs(answer)[-1].body, retained_text(b"first") + b"next")

    async def test_without_a_majority_turns_are_refused_and_connections_closed(self) -> None:
        self.assertEqual((await self.cluster.turn(self.first_entry, "t1", b"first")).status, 200)
        for node in self.cluster.ledgers[1:]:
            node.signal(signal.SIGSTOP)
        await self.cluster.until(lambda: "quorum" in str(self._majority_lost()))
        answer = await self.cluster.turn(self.first_entry, "t2", b"next", previous_turn="t1")
        self.assertEqual(answer.status, 503)
        self.assertGreaterEqual(float(answer.header("Retry-After")), 0.5)
        self.assertEqual(self.runs("t2"), [])
        call = await self.cluster.call(self.first_entry, "POST", CALL)
        self.assertEqual((call.status, call.header("Connection")), (200, "close"))
        for node in self.cluster.ledgers[1:]:
            node.signal(signal.SIGCONT)
        await self.cluster.until_ready(self.first_entry)
        self.assertTrue(await self._turn_until_served("t3", previous_turn="t1"))

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

    async def _turn_until_served(self, name: str, **headers: str) -> str:
        """Repeat a turn until it succeeds; return the id of the successful request."""
        async with asyncio.timeout(20.0):
            for number in range(200):
                request = f"{name}-{number}"
                try:
                    answer = await self.cluster.turn(self.second_entry, request, b"next", **headers)
                except WaxwinggladeError:
                    await asyncio.sleep(0.1)
                    continue
                if answer.status == 200:
                    return request
                self.assertIn(answer.status, (502, 503, 504))
                await asyncio.sleep(0.1)
        raise AssertionError("no attempt of the turn succeeded")

    async def test_a_caller_that_disconnects_stops_its_turn(self) -> None:
        for engine in self.cluster.engines:
            engine.event_s = 0.5
        turn = asyncio.create_task(self.cluster.turn(self.first_entry, "left", b"first"))
        engines = self.cluster.engines
        await self.cluster.until(lambda: any(engine.active for engine in engines))
        turn.cancel()
        await asyncio.gather(turn, return_exceptions=True)
        await self.cluster.until(lambda: not any(engine.active for engine in engines))
        with self.subTest("its reservation is replaced by the tokens that the caller received"):
            for number in range(2):
                answer = await self.cluster.turn(
                    self.second_entry, f"after{number}", b"x", program_id="p1", token_budget=100
                )
                self.assertIn(answer.status, (200, 402), answer.body)
            self.assertEqual(len(self.runs("after0")), 1)

    async def test_requests_of_disconnected_callers_do_not_run_after_an_entry_resumes(self) -> None:
        before = sum(len(server.runs) for server in self.cluster.notes)
        self.first_entry.signal(signal.SIGSTOP)
        calls = [
            asyncio.create_task(self.cluster.call(self.first_entry, "POST", path, timeout_s=0.5))
            for path in (CALL, ORDER)
            for _ in range(10)
        ]
        await asyncio.gather(*calls, return_exceptions=True)
        self.first_entry.signal(signal.SIGCONT)
        await asyncio.sleep(1.0)
        self.assertEqual(sum(len(server.runs) for server in self.cluster.notes), before)

    async def test_a_graceful_stop_interrupts_no_request(self) -> None:
        for engine in self.cluster.engines:
            engine.event_s = 0.4
        turns = [
            asyncio.create_task(self.cluster.turn(self.first_entry, f"s{number}", b"first"))
            for number in range(4)
        ]
        await asyncio.sleep(0.5)
        self.first_entry.signal(signal.SIGTERM)
        late = []
        for number in range(6):
            await asyncio.sleep(0.5)
            # The last one is sent after the time in which requests of any length are accepted.
            headers = {"deadline_ms": MOST_LATE_MS} if number == 5 else {}
            late.append(
                asyncio.create_task(
                    self.cluster.call(
                        self.first_entry, "POST", CALL, request_id=f"late{number}", **headers
                    )
                )
            )
        refused = await self.cluster.call(self.first_entry, "POST", CALL, request_id="longer")
        answers = await asyncio.gather(*turns, *late)
        self.assertEqual({answer.status for answer in answers}, {200})
        with self.subTest("a request that may outlast the entry is refused and not run"):
            self.assertEqual((refused.status, self.runs("longer")), (503, []))
            self.assertEqual(refused.header("Connection"), "close")
        self.assertTrue(all(answer.header("Connection") == "close" for answer in answers[4:]))
        process = self.first_entry.process
        await self.cluster.until(lambda: process.poll() is not None)
        self.assertEqual(process.returncode, 0)
        events = [line["event"] for line in self.first_entry.logs()]
        self.assertIn("drained", events)
        self.assertEqual(events[-1], "stopped")

    async def test_sighup_during_the_start_does_not_end_a_process(self) -> None:
        self.first_entry.kill()
        settings = self.first_entry.settings.read_bytes()
        self.first_entry.settings.unlink()
        os.mkfifo(self.first_entry.settings)
        self.first_entry.start()
        # Opening the pipe blocks until the process opens it to read its settings.
        with await asyncio.to_thread(self.first_entry.settings.open, "wb") as pipe:
            self.first_entry.signal(signal.SIGHUP)
            pipe.write(settings)
        await self.cluster.until_ready(self.first_entry)


if __name__ == "__main__":
    unittest.main()
