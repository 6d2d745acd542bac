"""A short soak with requests that end servers, and the check of their sends on histories."""

import unittest
from pathlib import Path

import msgspec

from tests.platform_cluster import STREAM
from tests.soak.fatal_requests import (
    HELD,
    MARK,
    VISIBLE_CRASHES,
    End,
    FatalWork,
    check_fatal_requests,
)
from tests.soak.kinds import EVERYWHERE, FaultKind, FaultOccurrence
from tests.soak.run import Size, soak
from tests.soak.workload import Attempt
from waxwingglade.standins.registered_server import Run

ARTIFACTS = Path("runs/soak")
KINDS = (
    FaultKind.KILL_ENTRY,
    FaultKind.STOP_ENTRY,
    FaultKind.KILL_LEDGER,
    FaultKind.PAUSE_LEDGER,
    FaultKind.KILL_ALL,
    FaultKind.SERVER_FAULT,
    FaultKind.STORE_REFUSES,
)
SHORT = Size(seconds=10.0, entries=3, programs=4, plain=2, kinds=KINDS, sub_agents=0, fatal=3)
SEED = 5
LEDGERS = ("storage-0", "storage-1", "storage-2", "storage-3")
SENT_AT = 100.0
INTERVAL_S = 1.0
"""Seconds between the sends of a history."""


class ShortFatalSoak(unittest.IsolatedAsyncioTestCase):
    async def test_no_request_is_sent_on_after_three_servers_ended(self) -> None:
        outcome = await soak(SEED, SHORT, ARTIFACTS)
        self.assertEqual(outcome.violations, [])
        self.assertGreater(outcome.ended, 5)

    async def test_no_request_is_sent_on_however_three_servers_ended(self) -> None:
        size = msgspec.structs.replace(SHORT, crash_kinds=VISIBLE_CRASHES)
        outcome = await soak(SEED, size, ARTIFACTS)
        self.assertEqual(outcome.violations, [])
        self.assertGreater(outcome.ended, 5)


class Histories(unittest.TestCase):
    def check(
        self, sends: int, *faults: FaultOccurrence, copies: int = 1, interval_s: float = INTERVAL_S
    ) -> list[str]:
        """Check a request that ended a server with each send."""
        attempts, runs, ends = [], [], []
        for number in range(sends):
            name, at = f"r{number}", SENT_AT + number * interval_s
            attempts.append(Attempt(name, STREAM, "front-0", at, MARK, status=502))
            runs.append(Run(name, "POST", STREAM, {}, MARK, at))
            ends.append(End(f"i-{number}", at + 0.01, name))
        work = FatalWork(MARK, copies, {attempt.request for attempt in attempts})
        return check_fatal_requests([work], attempts, runs, ends, faults, LEDGERS)

    def test_three_ends_are_allowed_and_a_fourth_send_is_found(self) -> None:
        self.assertEqual(self.check(3), [])
        self.assertEqual(len(self.check(4)), 2)

    def test_copies_on_their_way_are_part_of_the_bound(self) -> None:
        self.assertEqual(self.check(5, copies=3, interval_s=0.001), [])
        self.assertEqual(len(self.check(6, copies=3, interval_s=0.001)), 1)
        self.assertEqual(len(self.check(5, copies=3)), 1)

    def test_a_fault_of_the_entry_the_server_or_a_majority_excuses_an_end(self) -> None:
        second_at = SENT_AT + INTERVAL_S
        for kind, where in (
            (FaultKind.KILL_ENTRY, "front-0"),
            (FaultKind.SERVER_LINK, "i-1"),
            (FaultKind.PAUSE_LEDGER, "storage-0 storage-1"),
            (FaultKind.KILL_ALL, EVERYWHERE),
        ):
            with self.subTest(kind=kind):
                fault = FaultOccurrence(kind, where, second_at - 0.1, second_at + 0.1)
                self.assertEqual(self.check(4, fault), [])
                self.assertEqual(len(self.check(5, fault)), 2)

    def test_a_tolerated_fault_excuses_nothing(self) -> None:
        second_at = SENT_AT + INTERVAL_S
        for kind, where in (
            (FaultKind.PAUSE_LEDGER, "storage-1"),
            (FaultKind.KILL_ENTRY, "front-1"),
            (FaultKind.SERVER_LINK, "i-9"),
            (FaultKind.HUP, "front-0"),
            (FaultKind.STOP_ENTRY, "front-0"),
            (FaultKind.STORE_LINK, "front-0"),
            (FaultKind.CALLER_LINK, "front-0"),
            (FaultKind.SERVER_FAULT, "i-1"),
            (FaultKind.SERVER_LEAVES, "i-1"),
        ):
            with self.subTest(kind=kind):
                fault = FaultOccurrence(kind, where, second_at - 0.1, second_at + 0.1)
                self.assertEqual(len(self.check(4, fault)), 2)

    def test_a_request_that_ends_no_server_must_not_be_held_back(self) -> None:
        other = Attempt("other", STREAM, "front-0", SENT_AT, b"hello", answer=b"not run: 3 " + HELD)
        self.assertEqual(len(check_fatal_requests([], [other], [], [], [], LEDGERS)), 1)


if __name__ == "__main__":
    unittest.main()
