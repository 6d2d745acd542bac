"""The check of servers that have left, on histories with and without violations."""

import unittest

from tests.platform_cluster import STREAM
from tests.soak.kinds import EVERYWHERE, FaultKind, FaultOccurrence
from tests.soak.leaving_targets import DRAIN_DETECTION_S, check_left
from waxwingglade.standins.registered_server import Run

LEDGERS = ("storage-0", "storage-1", "storage-2", "storage-3")
LEFT_AT = 100.0


class LeavingServers(unittest.TestCase):
    def test_a_run_too_long_after_the_leaving_is_found(self) -> None:
        self.assertEqual(len(self.check(DRAIN_DETECTION_S + 0.1)), 1)
        self.assertEqual(self.check(DRAIN_DETECTION_S - 0.1), [])

    def test_a_fault_of_the_store_the_ledger_or_the_entry_excuses(self) -> None:
        for kind, where in (
            (FaultKind.STORE_SILENT, "store"),
            (FaultKind.KILL_ALL, EVERYWHERE),
            (FaultKind.PAUSE_LEDGER, "storage-1"),
            (FaultKind.STORE_LINK, "storage-0 front-1"),
            (FaultKind.PAUSE_ENTRY, "front-0"),
        ):
            for began_at in (LEFT_AT - 1.5, LEFT_AT + 1.0):
                with self.subTest(kind=kind, began_at=began_at):
                    fault = FaultOccurrence(kind, where, began_at, began_at + 0.7)
                    self.assertEqual(self.check(DRAIN_DETECTION_S + 0.1, fault), [])

    def test_other_faults_excuse_nothing(self) -> None:
        for kind, where in (
            (FaultKind.STORE_REFUSES, "store"),
            (FaultKind.PAUSE_ENTRY, "front-1"),
            (FaultKind.STORE_LINK, "front-1 front-2"),
            (FaultKind.SERVER_DEREGISTERS, "store"),
        ):
            with self.subTest(kind=kind):
                fault = FaultOccurrence(kind, where, LEFT_AT, LEFT_AT + 1.0)
                self.assertEqual(len(self.check(DRAIN_DETECTION_S + 0.1, fault)), 1)

    def test_an_excuse_ends_some_time_after_its_fault(self) -> None:
        fault = FaultOccurrence(FaultKind.STORE_SILENT, "store", LEFT_AT + 0.5, LEFT_AT + 1.0)
        self.assertEqual(self.check(3.9, fault), [])
        self.assertEqual(len(self.check(4.1, fault)), 1)

    def test_a_refusal_excuses_only_if_nobody_was_left_to_ask(self) -> None:
        refused = FaultOccurrence(
            FaultKind.STORE_REFUSES, "front-0 storage-0 storage-1", LEFT_AT, LEFT_AT + 2.0
        )
        others = [FaultOccurrence(refused.kind, " ".join(LEDGERS), LEFT_AT + 1.0, LEFT_AT + 1.5)]
        self.assertEqual(self.check(DRAIN_DETECTION_S + 0.1, refused, *others), [])
        self.assertEqual(len(self.check(DRAIN_DETECTION_S + 0.1, refused)), 1)
        self.assertEqual(len(self.check(DRAIN_DETECTION_S + 0.1, *others)), 1)
        later = FaultOccurrence(refused.kind, " ".join(LEDGERS), LEFT_AT + 2.05, LEFT_AT + 2.1)
        self.assertEqual(len(self.check(DRAIN_DETECTION_S + 0.2, refused, later)), 1)

    def check(self, late_s: float, *faults: FaultOccurrence) -> list[str]:
        """Check a run that began some seconds after its server had left."""
        run = Run("a", "POST", STREAM, {}, b"", LEFT_AT + late_s)
        return check_left("i-1", LEFT_AT, [run], {"a": "front-0"}, faults, LEDGERS)
