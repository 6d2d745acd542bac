"""``explain`` finds the cause of a failed request in the logs of separate processes."""

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

REFUSED, BAD_GATEWAY, TIMED_OUT = 503, 502, 504
DEADLINE_S = 0.6
"""Deadline in seconds of the late request."""

LONG_EVENT_S = 0.4
"""Seconds between the events of a turn while processes are stopped."""

STOPPED_S = 1.0
"""Shortest time in seconds for which they are stopped while an entry waits for them."""


class ExplainedCauses(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = PlatformCluster(entries=1)
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()
        (self.entry,) = self.cluster.entries

    async def check_explanation(self, request: str, cause: str, *events: str) -> None:
        """Explain a request after its log line is written, and check the output."""
        nodes = [*self.cluster.entries, *self.cluster.ledgers]
        await self.cluster.until(lambda: request_lines(self.entry, request))
        result = run_process("explain", request, *(str(node.folder / "log") for node in nodes))
        self.assertEqual(ExitStatus.OK, result.status, result.errors)
        for shown in (cause, *events):
            self.assertIn(shown, result.output)

    async def test_a_refused_turn_is_explained_by_lost_members(self) -> None:
        for ledger in self.cluster.ledgers[1:]:
            ledger.kill()
        answer = await self.cluster.turn(self.entry, "r1", b"hello")
        self.assertEqual(REFUSED, answer.status)
        await self.check_explanation("r1", "too few ledger members", "turn not begun")

    async def test_a_late_call_is_explained_by_its_target(self) -> None:
        for target in self.cluster.notes:
            target.event_s = 2 * DEADLINE_S
        answer = await self.cluster.call(
            self.entry, "POST", ORDER, request_id="r2", deadline_ms=int(DEADLINE_S * 1000)
        )
        self.assertEqual(TIMED_OUT, answer.status)
        await self.check_explanation(
            "r2", "a target had it until its time was over", "no answer in time"
        )

    async def test_a_lost_order_is_explained_by_the_target_that_closed_the_connection(self) -> None:
        for target in self.cluster.notes:
            target.fault = ServerFault.CUT
        answer = await self.cluster.call(self.entry, "POST", ORDER, request_id="r3")
        self.assertEqual(BAD_GATEWAY, answer.status)
        await self.check_explanation("r3", "ended the connection; it may have run", "may_have_run")

    async def test_an_interrupted_answer_is_explained_by_stalled_members(self) -> None:
        for engine in self.cluster.engines:
            engine.event_s = LONG_EVENT_S
        call = asyncio.create_task(self.cluster.turn(self.entry, "r4", b"hello"))
        await self.cluster.until(lambda: self.is_running("r4"))
        stopped = self.cluster.ledgers[1:]
        for ledger in stopped:
            ledger.signal(signal.SIGSTOP)
        with contextlib.suppress(WaxwinggladeError):
            answer = await call
            self.fail(f"the answer was complete, status {answer.status}")
        await self.cluster.until(lambda: request_lines(self.entry, "r4"))
        for ledger in stopped:
            ledger.signal(signal.SIGCONT)
        await self.cluster.until(lambda: all(logged_delay(ledger) for ledger in stopped))
        await self.check_explanation(
            "r4", "the ledger did not say in time", "ledger slow to answer"
        )
        causes = self.ledger_causes("r4")
        kinds = [cause["kind"] for cause in causes]
        self.assertEqual(["majority", "process"], kinds, causes)
        no_majority = "no majority kept it: no answer from .*storage-1.*storage-2"
        self.assertRegex(causes[0]["text"], no_majority)
        for ledger in stopped:
            self.assertIn(f"{ledger.name}/log for ", causes[1]["text"])

    def is_running(self, request: str) -> bool:
        """Return whether an engine runs a request, so that the ledger has accepted its turn."""
        return any(run.request == request for engine in self.cluster.engines for run in engine.runs)

    def ledger_causes(self, request: str) -> list[dict[str, str]]:
        """Return what a request waited for at the ledger, from the JSON output."""
        nodes = [*self.cluster.entries, *self.cluster.ledgers]
        logs = (str(node.folder / "log") for node in nodes)
        return run_process("explain", request, *logs, "--json").json()["ledger_causes"]


def request_lines(node: Node, request: str) -> list[dict[str, Any]]:
    """Return the log lines that report the end of a request."""
    return [line for line in node.logs() if line.get("request") == request]


def logged_delay(node: Node) -> bool:
    """Return whether a process has logged the delay of its event loop while it was stopped."""
    delayed = [line for line in node.logs() if line["event"] == "event loop delayed"]
    return any(line["seconds"] >= STOPPED_S for line in delayed)
