"""The check of planned stops, and a short soak run with them."""

import unittest
from pathlib import Path

from tests.platform_cluster import CALL, ORDER
from tests.soak.kinds import FaultKind, FaultOccurrence
from tests.soak.planned_stops import QUICK, check_planned_stops
from tests.soak.run import Size, soak
from tests.soak.workload import Attempt

ARTIFACTS = Path("runs/soak")
KINDS = (FaultKind.STOP_ENTRY, FaultKind.SIGNAL_STOPPING, FaultKind.STOP_LEDGER, FaultKind.HUP)
SHORT = Size(
    seconds=3.0,
    entries=3,
    programs=2,
    plain=2,
    kinds=KINDS,
    sub_agents=0,
    fatal=0,
    stops=16,
    faults_per_s=3.0,
)
SEED = 78001
STOPPED_AT = 100.0
STOP = FaultOccurrence(FaultKind.STOP_ENTRY, "front-0", STOPPED_AT, STOPPED_AT + 7.5)


def attempt(sent_s: float, ended_s: float, path: str = ORDER, **fields: bool) -> Attempt:
    """Return a request with the seconds from the stop to its beginning and its end."""
    sent_at, ended_at = STOPPED_AT + sent_s, STOPPED_AT + ended_s
    return Attempt("r1", path, "front-0", sent_at, b"", ended_at=ended_at, **fields)


class CheckTest(unittest.TestCase):
    def check(self, *attempts: Attempt, faults: tuple[FaultOccurrence, ...] = ()) -> int:
        """Return the number of violations if all requests ran."""
        ran = {each.request for each in attempts}
        return len(check_planned_stops(attempts, ran, (STOP, *faults)))

    def test_a_request_that_was_accepted_late_and_cut_off_is_found(self) -> None:
        self.assertEqual(self.check(attempt(3.3, 7.4)), 1)
        self.assertEqual(self.check(attempt(4.2, 7.4, CALL)), 1)

    def test_a_request_that_was_cut_off_early_is_found_whenever_it_was_sent(self) -> None:
        self.assertEqual(self.check(attempt(-1.0, 3.5)), 1)
        self.assertEqual(self.check(attempt(6.5, 7.0, QUICK)), 1)

    def test_answered_and_excused_requests_are_none(self) -> None:
        self.assertEqual(self.check(attempt(3.3, 7.4, framed=True)), 0)
        self.assertEqual(self.check(attempt(2.9, 7.4)), 0)
        self.assertEqual(self.check(attempt(2.0, 7.0)), 0)
        self.assertEqual(check_planned_stops([attempt(3.3, 7.4)], set(), [STOP]), [])

    def test_only_faults_that_are_no_planned_work_excuse(self) -> None:
        killed = FaultOccurrence(FaultKind.KILL_LEDGER, "storage-1", STOPPED_AT, STOPPED_AT + 5)
        self.assertEqual(self.check(attempt(3.3, 7.4), faults=(killed,)), 0)
        restarted = FaultOccurrence(FaultKind.STOP_LEDGER, "storage-1", STOPPED_AT, STOPPED_AT + 5)
        self.assertEqual(self.check(attempt(3.3, 7.4), faults=(restarted,)), 1)


class ShortSoak(unittest.IsolatedAsyncioTestCase):
    async def test_stops_cut_off_no_request_and_members_miss_no_turn(self) -> None:
        """Guards against requests that a stopping entry accepts and can't complete."""
        outcome = await soak(SEED, SHORT, ARTIFACTS)
        self.assertEqual([], outcome.violations)
        self.assertGreater(outcome.served, 0)
        self.assertGreaterEqual(outcome.faults, len(KINDS))


if __name__ == "__main__":
    unittest.main()
