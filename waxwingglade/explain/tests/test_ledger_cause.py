"""Test that logs show what a request waited for at the ledger."""

import tempfile
import unittest

from waxwingglade.cli.tests.cli_builders import run_process
from waxwingglade.explain import CauseKind, LedgerCause, ledger_causes, read_files, tell
from waxwingglade.explain.tests.builders import (
    LEDGER,
    delayed_change,
    line,
    majority_failure,
    replica_request,
    request_line,
    slow_answer,
    slow_end,
    write_log,
)

NOT_STORED = "the turn could not be kept"
UNDECIDED = "not run: the ledger did not decide: no majority in time"
UNRESPONSIVE = (
    replica_request("storage-1", "no answer"),
    replica_request("storage-2", "no answer"),
)

ABORTED = (
    slow_answer(102.0, "r1", "EndTurn", 1.5, *UNRESPONSIVE),
    request_line(102.0, "r1", 200, NOT_STORED, program="p1", seconds=3.0),
)
"""Lines of an entry about a turn whose end it waited for from 100.5 s on without success."""

NOT_BEGUN = (
    slow_answer(102.0, "r1", "BeginTurn", 0.9, *UNRESPONSIVE),
    request_line(102.0, "r1", 503, UNDECIDED, program="p1", seconds=0.9),
)


class Logs(unittest.TestCase):
    """Logs of an entry and of ledger processes, written by the test."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.paths = []

    def write(self, name: str, *lines: str) -> None:
        """Write the log of one process."""
        self.paths.append(write_log(self.folder, name, *lines))

    def causes(self) -> list[LedgerCause]:
        """Return the causes of the request's wait."""
        return ledger_causes(tell("r1", lambda: read_files(self.paths)))

    def kinds(self) -> list[CauseKind]:
        """Return the kinds of the causes of the request's wait."""
        return [cause.kind for cause in self.causes()]


class Accounts(Logs):
    def test_a_stored_turn_waits_for_its_program_s_account(self) -> None:
        self.write("entry", *ABORTED)
        self.write(
            "storage-1",
            slow_end(101.5, "r1", True, 0.012, False, 0.9),
            delayed_change(101.5, "p1", 0.9),
            delayed_change(101.6, "p1", 0.8),
            delayed_change(101.6, "p2", 0.8),
        )
        self.write("storage-2", delayed_change(102.4, "p1", 0.9), delayed_change(103.0, "p1", 0.4))
        (cause,) = self.causes()
        self.assertEqual(CauseKind.ACCOUNT, cause.kind)
        self.assertEqual(
            "a majority kept it within 0.012 s; its program's account held up the answer "
            "for 0.9 s, beside 2 other changes",
            cause.text,
        )

    def test_a_replica_s_answer_suffices_without_its_log(self) -> None:
        asked = (
            replica_request("storage-1", "no answer"),
            replica_request("storage-2", "kept, not settled"),
        )
        self.write(
            "entry",
            slow_answer(102.0, "r1", "EndTurn", 0.8, *asked),
            request_line(102.0, "r1", 200, program="p1", seconds=3.0),
        )
        (cause,) = self.causes()
        self.assertEqual(CauseKind.ACCOUNT, cause.kind)
        self.assertRegex(cause.text, "^a majority kept it; .*beside no other changes$")

    def test_a_replica_that_answers_at_once_is_no_cause(self) -> None:
        asked = (UNRESPONSIVE[0], replica_request("storage-2", "kept, not settled", 0.01))
        self.write(
            "entry",
            slow_answer(102.0, "r1", "EndTurn", 0.41, *asked),
            request_line(102.0, "r1", 200, program="p1", seconds=3.0),
        )
        self.assertEqual([CauseKind.UNKNOWN], self.kinds())

    def test_a_reservation_resolved_after_the_end_is_no_cause(self) -> None:
        self.write("entry", *ABORTED, slow_answer(103.0, "r1", "EndTurn", 0.4, *UNRESPONSIVE))
        self.write("storage-1", slow_end(102.9, "r1", True, 0.0, False, 0.4))
        self.assertEqual([CauseKind.UNKNOWN], self.kinds())

    def test_a_process_that_stores_a_turn_after_the_timeout_is_no_cause(self) -> None:
        self.write("entry", *ABORTED)
        self.write("storage-1", slow_end(103.0, "r1", True, 0.2, False, 0.9))
        self.write("storage-2", slow_end(102.6, "r1", True, 0.7, True, 0.9))
        (cause,) = self.causes()
        self.assertEqual("a majority kept it only after 0.7 s", cause.text)

    def test_a_slow_begin_does_not_abort_the_end(self) -> None:
        granted = replica_request("storage-1", "TurnBegun", 0.3)
        self.write("entry", slow_answer(99.4, "r1", "BeginTurn", 0.3, granted), *ABORTED)
        self.write("storage-1", delayed_change(99.4, "p1", 0.3))
        self.write(
            "storage-2", majority_failure(102.0, "turn not kept", "r1", "", silent=["storage-1"])
        )
        self.assertEqual([CauseKind.MAJORITY], self.kinds())

    def test_a_slow_begin_of_a_served_turn(self) -> None:
        granted = replica_request("storage-1", "TurnBegun", 0.3)
        self.write(
            "entry",
            slow_answer(99.4, "r1", "BeginTurn", 0.3, granted),
            request_line(102.0, "r1", 200, program="p1", seconds=3.0),
        )
        self.write("storage-1", delayed_change(99.4, "p1", 0.3))
        self.assertEqual([CauseKind.ACCOUNT], self.kinds())

    def test_a_turn_that_does_not_begin_waits_for_the_account(self) -> None:
        self.write("entry", *NOT_BEGUN)
        self.write(
            "storage-1",
            majority_failure(101.9, "turn not begun", "r1", "no majority in time"),
            delayed_change(101.9, "p1", 0.9),
            delayed_change(101.9, "p1", 0.7),
        )
        (cause,) = self.causes()
        self.assertEqual(CauseKind.ACCOUNT, cause.kind)
        self.assertRegex(cause.text, "account was held up when it was to begin, beside 1 other ch")


class Majorities(Logs):
    def test_members_that_prevent_a_majority_are_named(self) -> None:
        self.write("entry", *ABORTED)
        reason = "1 of 3 members answered"
        missing = {"silent": ["storage-3", "storage-2"], "joining": ["storage-3"]}
        failure = majority_failure(100.8, "turn not kept", "r1", reason, settled=False, **missing)
        self.write("storage-1", failure)
        (cause,) = self.causes()
        self.assertEqual(CauseKind.MAJORITY, cause.kind)
        self.assertEqual(
            "no majority kept it: no answer from storage-2, storage-3; joining: storage-3",
            cause.text,
        )

    def test_the_last_added_member_of_a_settled_set_is_not_joining(self) -> None:
        self.write("entry", *ABORTED)
        missing = {"silent": ["storage-2"], "joining": ["storage-2"], "settled": True}
        self.write("storage-1", majority_failure(100.8, "turn not kept", "r1", "", **missing))
        self.assertNotIn("joining", self.causes()[0].text)

    def test_members_that_more_processes_name_come_first(self) -> None:
        self.write("entry", *ABORTED)
        for name, silent in (("storage-1", ["storage-2", "storage-3"]), ("s-4", ["storage-3"])):
            failure = majority_failure(101.0, "turn not kept", "r1", "too few", silent=silent)
            self.write(name, failure)
        self.assertIn("no answer from storage-3, storage-2", self.causes()[0].text)

    def test_a_majority_that_another_process_reaches_comes_first(self) -> None:
        self.write("entry", *ABORTED)
        self.write(
            "storage-1", majority_failure(100.8, "turn not kept", "r1", "", silent=["storage-2"])
        )
        self.write("storage-2", slow_end(101.9, "r1", True, 0.01, False, 0.9))
        self.assertEqual([CauseKind.ACCOUNT, CauseKind.MAJORITY], self.kinds())
        self.assertRegex(self.causes()[1].text, "storage-1 reached no majority .* storage-2$")

    def test_late_copies_are_not_attributed_to_the_account(self) -> None:
        self.write("entry", *ABORTED)
        self.write("storage-1", slow_end(101.9, "r1", True, 1.1, True, 0.02))
        (cause,) = self.causes()
        self.assertEqual(CauseKind.MAJORITY, cause.kind)
        self.assertEqual("a majority kept it only after 1.1 s", cause.text)

    def test_a_turn_that_no_majority_begins(self) -> None:
        self.write("entry", *NOT_BEGUN)
        reason = "1 of 3 members answered"
        failure = majority_failure(101.5, "turn not begun", "r1", reason, silent=["storage-2"])
        self.write("storage-1", failure, delayed_change(101.9, "p1", 0.9))
        (cause,) = self.causes()
        self.assertEqual("no majority let it begin: no answer from storage-2", cause.text)


class Processes(Logs):
    def test_processes_that_are_stalled_during_the_wait(self) -> None:
        self.write("entry", *ABORTED)
        self.write("storage-1", line(101.0, "event loop delayed", LEDGER, seconds=0.3))
        self.write(
            "storage-2",
            line(90.0, "event loop delayed", LEDGER, seconds=2.0),
            line(109.0, "event loop delayed", LEDGER, seconds=8.0),
        )
        (cause,) = self.causes()
        self.assertEqual(CauseKind.PROCESS, cause.kind)
        self.assertRegex(cause.text, "^processes stood still: .*storage-2 for 8 s, .*-1 for 0.3 s$")

    def test_a_stalled_entry_counts_only_for_its_own_requests(self) -> None:
        self.write("entry", *ABORTED, line(102.0, "event loop delayed", seconds=1.4))
        self.write("entry-2", line(101.0, "event loop delayed", seconds=0.5))
        (cause,) = self.causes()
        self.assertRegex(cause.text, "^a process stood still: [^ ]*/entry for 1.4 s$")

    def test_a_stall_before_the_wait_is_only_listed_as_context(self) -> None:
        self.write("entry", *ABORTED)
        self.write("storage-1", line(100.0, "event loop delayed", LEDGER, seconds=0.3))
        self.assertEqual([CauseKind.UNKNOWN], self.kinds())
        story = tell("r1", lambda: read_files(self.paths))
        self.assertEqual(["event loop delayed"], [each.event for each in story.around])

    def test_stalls_come_after_causes_from_the_turn_s_lines(self) -> None:
        self.write("entry", *ABORTED)
        self.write(
            "storage-1", majority_failure(100.8, "turn not kept", "r1", "", silent=["storage-2"])
        )
        self.write("storage-2", line(103.0, "event loop delayed", LEDGER, seconds=2.5))
        self.assertEqual([CauseKind.MAJORITY, CauseKind.PROCESS], self.kinds())


class UnknownCauses(Logs):
    def test_logs_without_a_cause(self) -> None:
        self.write("entry", *ABORTED)
        (cause,) = self.causes()
        self.assertEqual(CauseKind.UNKNOWN, cause.kind)
        self.assertRegex(cause.text, r"^nothing in these logs tells .*storage-1 \(no answer\)")

    def test_the_reason_alone_shows_a_wait_for_the_ledger(self) -> None:
        self.write("entry", ABORTED[1])
        self.assertEqual([CauseKind.UNKNOWN], self.kinds())

    def test_a_request_that_does_not_wait_for_the_ledger_has_no_cause(self) -> None:
        self.write("entry", request_line(102.0, "r1", 200, program="p1", seconds=3.0))
        self.write(
            "storage-1",
            slow_end(102.5, "r1", True, 0.01, True, 0.5),
            line(101.0, "event loop delayed", LEDGER, seconds=0.5),
        )
        self.assertEqual([], self.causes())


class Command(Logs):
    def setUp(self) -> None:
        super().setUp()
        self.write("entry", *ABORTED)
        self.write(
            "storage-1",
            slow_end(101.5, "r1", True, 0.012, False, 0.9),
            delayed_change(101.5, "p1", 0.9),
        )

    def explain(self, *options: str):
        return run_process("explain", "r1", *map(str, self.paths), *options)

    def test_text_output_has_the_cause_and_its_evidence(self) -> None:
        output = self.explain().output
        self.assertIn("\n- a majority kept it within 0.012 s; its program's account", output)
        self.assertRegex(output, r"EndTurn of \S+/entry, from 1970-01-01 00:01:40\.500\nreplica +")
        self.assertRegex(output, r"storage-2 +0 +0\.4 +no answer")
        self.assertRegex(output, r"00:01:41\.500 +\S+/storage-1 +0\.9 +0 +3\n")

    def test_json_output_has_the_cause_and_the_lines(self) -> None:
        story = self.explain("--json").json()
        self.assertEqual(["account"], [cause["kind"] for cause in story["ledger_causes"]])
        self.assertIn("its program's account", story["ledger_causes"][0]["text"])
        self.assertEqual([0.9], [each["fields"]["seconds"] for each in story["account"]])


if __name__ == "__main__":
    unittest.main()
