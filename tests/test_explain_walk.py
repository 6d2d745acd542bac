"""From a failed request's id to its cause, on the logs of processes that really ran."""

import asyncio
import contextlib
import signal
import unittest
from typing import Any

from tests.platform_cluster import ORDER, Node, PlatformCluster
from waxwingglade.base import WaxwinggladeError
from waxwingglade.cli.exits import ExitStatus
from waxwingglade.cli.tests.cli_builders import run_process
from waxwingglade.standins.registered_server import ServerFault

REFUSED, LOST, LATE = 503, 502, 504
HUNG_S = 0.6
"""Seconds that the caller of the late request gives it."""

LONG_EVENT_S = 0.4
"""Seconds between the events of a turn during whose run processes are stopped."""

STOPPED_S = 1.0
"""Seconds for which they stand still at least, while an entry waits for them."""


class Walks(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = PlatformCluster(entries=1)
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()
        (self.entry,) = self.cluster.entries

    async def explained(self, request: str, cause: str, *events: str) -> None:
        """Explain a request once its line is written, and check what is told."""
        nodes = [*self.cluster.entries, *self.cluster.ledgers]
        await self.cluster.until(lambda: logged(self.entry, request))
        result = run_process("explain", request, *(str(node.folder / "log") for node in nodes))
        self.assertEqual(ExitStatus.OK, result.status, result.errors)
        for shown in (cause, *events):
            self.assertIn(shown, result.output)

    async def test_a_refused_turn_leads_to_the_members_that_were_lost(self) -> None:
        for ledger in self.cluster.ledgers[1:]:
            ledger.kill()
        answer = await self.cluster.turn(self.entry, "r1", b"hello")
        self.assertEqual(REFUSED, answer.status)
        await self.explained("r1", "too few ledger members", "turn not begun")

    async def test_a_late_call_leads_to_the_target_that_had_it(self) -> None:
        for target in self.cluster.notes:
            target.event_s = 2 * HUNG_S
        answer = await self.cluster.call(
            self.entry, "POST", ORDER, request_id="r2", deadline_ms=int(HUNG_S * 1000)
        )
        self.assertEqual(LATE, answer.status)
        await self.explained("r2", "a target had it until its time was over", "no answer in time")

    async def test_a_lost_booking_leads_to_the_target_that_broke_off(self) -> None:
        for target in self.cluster.notes:
            target.fault = ServerFault.CUT
        answer = await self.cluster.call(self.entry, "POST", ORDER, request_id="r3")
        self.assertEqual(LOST, answer.status)
        await self.explained("r3", "ended the connection; it may have run", "may_have_run")

    async def test_a_broken_off_answer_leads_to_the_members_that_stood_still(self) -> None:
        for engine in self.cluster.engines:
            engine.event_s = LONG_EVENT_S
        call = asyncio.create_task(self.cluster.turn(self.entry, "r4", b"hello"))
        await self.cluster.until(lambda: self.is_running("r4"))
        stopped = self.cluster.ledgers[1:]
        for ledger in stopped:
            ledger.signal(signal.SIGSTOP)
        with contextlib.suppress(WaxwinggladeError):
            answer = await call
            self.fail(f"the answer came whole, {answer.status}")
        await self.cluster.until(lambda: logged(self.entry, "r4"))
        for ledger in stopped:
            ledger.signal(signal.SIGCONT)
        await self.cluster.until(lambda: all(stood_still(ledger) for ledger in stopped))
        await self.explained("r4", "the ledger did not say in time", "ledger slow to answer")
        causes = self.ledger_causes("r4")
        kinds = [cause["kind"] for cause in causes]
        self.assertEqual(["majority", "process"], kinds, causes)
        silent = "no majority kept it: no answer from .*storage-1.*storage-2"
        self.assertRegex(causes[0]["text"], silent)
        for ledger in stopped:
            self.assertIn(f"{ledger.name}/log for ", causes[1]["text"])

    def is_running(self, request: str) -> bool:
        """Return whether an engine has begun a request, so that the ledger has let it begin."""
        return any(run.request == request for engine in self.cluster.engines for run in engine.runs)

    def ledger_causes(self, request: str) -> list[dict[str, str]]:
        """Return what a request waited for at the ledger, as programs get it."""
        nodes = [*self.cluster.entries, *self.cluster.ledgers]
        logs = (str(node.folder / "log") for node in nodes)
        return run_process("explain", request, *logs, "--json").json()["ledger_causes"]


def logged(node: Node, request: str) -> list[dict[str, Any]]:
    """Return the lines in which a process tells of a request's end."""
    return [line for line in node.logs() if line.get("request") == request]


def stood_still(node: Node) -> bool:
    """Return whether a process that was stopped tells that its event loop was delayed."""
    delayed = [line for line in node.logs() if line["event"] == "event loop delayed"]
    return any(line["seconds"] >= STOPPED_S for line in delayed)
