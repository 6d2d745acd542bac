"""The log line of a request: its fields and the omitted ones."""

import unittest
from typing import Any
from unittest import mock

from loguru import logger

from waxwingglade.follow.feed import CachedView
from waxwingglade.ingress.request_log import RequestLog
from waxwingglade.ingress.serving import Trace
from waxwingglade.ingress.tests.builders import call
from waxwingglade.ledger.messages import TurnId


class RequestLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[dict[str, Any]] = []
        sink = logger.add(lambda message: self.lines.append(message.record["extra"]))
        self.addCleanup(logger.remove, sink)
        self.log = RequestLog(CachedView(lambda: 0.0))

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

    def test_empty_fields_are_omitted(self) -> None:
        line = self.note(200)
        self.assertFalse({"reason", "kept_s", "events", "attempts", "left_out"} & line.keys())

    def test_many_successes_do_not_suppress_a_failure(self) -> None:
        for _ in range(100):
            self.note(200)
        self.assertLess(len(self.lines), 100)
        self.assertEqual(self.note(404)["status"], 404)
        self.assertGreater(self.log.successes.left_out, 0)
