"""The log line of a request: its fields and the omitted ones."""

import unittest
from typing import Any
from unittest import mock

from loguru import logger

from waxwingglade.base import ConfigVersion
from waxwingglade.base.loop_delay import LoopDelay
from waxwingglade.follow.feed import CachedView
from waxwingglade.follow.model import Configuration, View
from waxwingglade.ingress.quorum_monitor import QuorumMonitor
from waxwingglade.ingress.request_log import RequestLog
from waxwingglade.ingress.serving import Trace
from waxwingglade.ingress.tests.builders import call
from waxwingglade.ledger.messages import TurnId


class RequestLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[dict[str, Any]] = []
        sink = logger.add(lambda message: self.lines.append(message.record["extra"]))
        self.addCleanup(logger.remove, sink)
        self.view = CachedView(lambda: 0.0)
        self.monitor = QuorumMonitor(lambda: self.reachable)
        self.reachable = True
        self.monitor.check()
        self.log = RequestLog(self.view, self.monitor, LoopDelay())

    def note(self, status: int, reason: str = "") -> dict[str, Any]:
        """Log a request that continues a turn, and return the fields of its line."""
        exchange = mock.Mock(status=status)
        made = call("request-2", program="program-1")
        made.previous_turn = TurnId("request-1")
        self.log.record(exchange, Trace(made, version=7, route="turns", reason=reason), 0.25)
        return self.lines[-1]

    def test_a_line_has_the_version_and_the_previous_turn(self) -> None:
        line = self.note(404, "no such turn")
        wanted = {
            "request": "request-2",
            "program": "program-1",
            "previous": "request-1",
            "version": 7,
            "status": 404,
            "reason": "no such turn",
            "seconds": 0.25,
        }
        self.assertEqual(wanted, {name: line.get(name) for name in wanted})

    def test_a_failure_names_what_changed_in_its_process_meanwhile(self) -> None:
        """Guards against causes of a cut answer that its line cannot tell apart."""
        self.log.loop_delay.delays.append(0.3)
        self.reachable = False
        self.monitor.check()
        line = self.note(502, "the target broke off")
        self.assertEqual("lost", line["quorum"])
        self.assertLess(line["quorum_lost_s"], 0.25)
        self.assertEqual(0.3, line["loop_delay_s"])
        self.reachable = True
        self.monitor.check()
        line = self.note(502, "the target broke off")
        self.assertNotIn("quorum", line)
        self.assertIn("quorum_lost_s", line, "it was lost while the request was served")
        self.assertFalse({"quorum_lost_s", "loop_delay_s"} & self.note(200).keys())

    def test_a_failure_names_a_version_that_came_into_force_meanwhile(self) -> None:
        self.assertNotIn("later_version", self.note(502, "late"))
        changed = Configuration(ConfigVersion(8), (), ())
        self.view.merge(View(configuration=changed), 0.0, 0.0)
        self.assertEqual(8, self.note(502, "late")["later_version"])

    def test_empty_fields_are_omitted(self) -> None:
        line = self.note(200)
        self.assertFalse({"reason", "kept_s", "events", "attempts", "left_out"} & line.keys())

    def test_many_successes_do_not_suppress_a_failure(self) -> None:
        for _ in range(100):
            self.note(200)
        self.assertLess(len(self.lines), 100)
        self.assertEqual(self.note(404)["status"], 404)
        self.assertGreater(self.log.successes.left_out, 0)
