"""The log lines of changes of the targets that a process knows."""

import unittest
from typing import Any

from loguru import logger

from waxwingglade.follow.feed import CachedView
from waxwingglade.follow.model import Revision, Target, TargetList, View
from waxwingglade.follow.tests.builders import KEYS

LEAVING_STATES = (b"ready", b"leaving")


class TargetLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[dict[str, Any]] = []
        sink = logger.add(
            lambda message: self.lines.append(
                {"event": message.record["message"], **message.record["extra"]}
            )
        )
        self.addCleanup(logger.remove, sink)
        self.cached_view = CachedView(lambda: 0.0)

    def receive(self, revision: int, *targets: Target) -> None:
        """Receive a list of targets from the VM ``near``."""
        self.lines.clear()
        view = View(targets=TargetList(Revision(revision), targets))
        self.cached_view.merge(view, 0.0, source="near")

    def test_a_received_list_is_logged_with_its_revision_and_source(self) -> None:
        fields = {"revision": 5, "source": "near"}
        running, leaving = (KEYS.decode_target("targets/a", state) for state in LEAVING_STATES)
        self.receive(5, running)
        self.assertEqual(self.lines, [{"event": "targets received", "targets": 1, **fields}])
        cases: list[tuple[int, str, list[Target], dict[str, bool]]] = [
            (6, "leaving", [leaving], {}),
            (7, "gone", [], {"was_leaving": True}),
            (8, "added", [running], {"service": running.service}),
            (9, "gone", [], {"was_leaving": False}),
        ]
        for revision, event, targets, more in cases:
            with self.subTest(event):
                self.receive(revision, *targets)
                fields = {"target": "a", "revision": revision, "source": "near", **more}
                self.assertEqual(self.lines, [{"event": f"target {event}", **fields}])
        self.receive(6, running)
        self.assertEqual(self.lines, [])
