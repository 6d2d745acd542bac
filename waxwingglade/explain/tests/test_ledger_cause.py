"""What a request waited for at the ledger, told from written logs."""

import tempfile
import unittest

from waxwingglade.cli.tests.cli_builders import run_process
from waxwingglade.explain import CauseKind, LedgerCause, ledger_causes, read_files, tell
from waxwingglade.explain.tests.builders import (
    LEDGER,
    asking,
    held_up,
    line,
    refused,
    request_line,
    slow_answer,
    slow_end,
    write_log,
)

NOT_KEPT = "the turn could not be kept"
UNDECIDED = "not run: the ledger did not decide: no majority in time"
SILENT = (asking("storage-1", "no answer"), asking("storage-2", "no answer"))

BROKEN_OFF = (
    slow_answer(102.0, "r1", "EndTurn", 1.5, *SILENT),
    request_line(102.0, "r1", 200, NOT_KEPT, program="p1", seconds=3.0),
)
"""What an entry logs of a turn that it waited for in vain from 100.5 s on."""

NOT_BEGUN = (
    slow_answer(102.0, "r1", "BeginTurn", 0.9, *SILENT),
    request_line(102.0, "r1", 503, UNDECIDED, program="p1", seconds=0.9),
)


class Logs(unittest.TestCase):
    """Logs of an entry and of ledger processes that a test writes."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.paths = []

    def write(self, name: str, *lines: str) -> None:
        """Write the log of one process."""
        self.paths.append(write_log(self.folder, name, *lines))

    def causes(self) -> list[LedgerCause]:
        """Return what the request waited for."""
        return ledger_causes(tell("r1", lambda: read_files(self.paths)))

    def kinds(self) -> list[CauseKind]:
        """Return the kinds of what the request waited for."""
        return [cause.kind for cause in self.causes()]


class Accounts(Logs):
    def test_a_turn_that_a_majority_kept_waited_for_its_program_s_account(self) -> None:
        self.write("entry", *BROKEN_OFF)
        self.write(
            "storage-1",
            slow_end(101.5, "r1", True, 0.012, False, 0.9),
            held_up(101.5, "p1", 0.9),
            held_up(101.6, "p1", 0.8),
            held_up(101.6, "p2", 0.8),
        )
        self.write("storage-2", held_up(102.4, "p1", 0.9), held_up(103.0, "p1", 0.4))
        (cause,) = self.causes()
        self.assertEqual(CauseKind.ACCOUNT, cause.kind)
        self.assertEqual(
            "a majority kept it within 0.012 s; its program's account held up the answer "
            "for 0.9 s, beside 2 other changes",
            cause.text,
        )

    def test_the_answer_of_a_replica_tells_it_without_the_replica_s_log(self) -> None:
        asked = (asking("storage-1", "no answer"), asking("storage-2", "kept, not settled"))
        self.write(
            "entry",
            slow_answer(102.0, "r1", "EndTurn", 0.8, *asked),
            request_line(102.0, "r1", 200, program="p1", seconds=3.0),
        )
        (cause,) = self.causes()
        self.assertEqual(CauseKind.ACCOUNT, cause.kind)
        self.assertRegex(cause.text, "^a majority kept it; .*beside no other changes$")

    def test_a_replica_that_said_so_at_once_held_up_nothing(self) -> None:
        asked = (SILENT[0], asking("storage-2", "kept, not settled", 0.01))
        self.write(
            "entry",
            slow_answer(102.0, "r1", "EndTurn", 0.41, *asked),
            request_line(102.0, "r1", 200, program="p1", seconds=3.0),
        )
        self.assertEqual([CauseKind.UNKNOWN], self.kinds())

    def test_settling_after_the_end_says_nothing_of_copies(self) -> None:
        self.write("entry", *BROKEN_OFF, slow_answer(103.0, "r1", "EndTurn", 0.4, *SILENT))
        self.write("storage-1", slow_end(102.9, "r1", True, 0.0, False, 0.4))
        self.assertEqual([CauseKind.UNKNOWN], self.kinds())

    def test_a_process_that_kept_it_after_the_entry_had_given_up_held_up_nothing(self) -> None:
        self.write("entry", *BROKEN_OFF)
        self.write("storage-1", slow_end(103.0, "r1", True, 0.2, False, 0.9))
        self.write("storage-2", slow_end(102.6, "r1", True, 0.7, True, 0.9))
        (cause,) = self.causes()
        self.assertEqual("a majority kept it only after 0.7 s", cause.text)

    def test_a_slow_beginning_did_not_break_off_its_end(self) -> None:
        granted = asking("storage-1", "TurnBegun", 0.3)
        self.write("entry", slow_answer(99.4, "r1", "BeginTurn", 0.3, granted), *BROKEN_OFF)
        self.write("storage-1", held_up(99.4, "p1", 0.3))
        self.write("storage-2", refused(102.0, "turn not kept", "r1", "", silent=["storage-1"]))
        self.assertEqual([CauseKind.MAJORITY], self.kinds())

    def test_a_slow_beginning_of_a_turn_that_was_served(self) -> None:
        granted = asking("storage-1", "TurnBegun", 0.3)
        self.write(
            "entry",
            slow_answer(99.4, "r1", "BeginTurn", 0.3, granted),
            request_line(102.0, "r1", 200, program="p1", seconds=3.0),
        )
        self.write("storage-1", held_up(99.4, "p1", 0.3))
        self.assertEqual([CauseKind.ACCOUNT], self.kinds())

    def test_a_turn_that_did_not_begin_waited_for_it(self) -> None:
        self.write("entry", *NOT_BEGUN)
        self.write(
            "storage-1",
            refused(101.9, "turn not begun", "r1", "no majority in time"),
            held_up(101.9, "p1", 0.9),
            held_up(101.9, "p1", 0.7),
        )
        (cause,) = self.causes()
        self.assertEqual(CauseKind.ACCOUNT, cause.kind)
        self.assertRegex(cause.text, "account was held up when it was to begin, beside 1 other ch")


class Majorities(Logs):
    def test_members_that_kept_a_turn_from_a_majority(self) -> None:
        self.write("entry", *BROKEN_OFF)
        reason = "1 of 3 members answered"
        missing = {"silent": ["storage-3", "storage-2"], "joining": ["storage-3"]}
        line_of_it = refused(100.8, "turn not kept", "r1", reason, settled=False, **missing)
        self.write("storage-1", line_of_it)
        (cause,) = self.causes()
        self.assertEqual(CauseKind.MAJORITY, cause.kind)
        self.assertEqual(
            "no majority kept it: no answer from storage-2, storage-3; joining: storage-3",
            cause.text,
        )

    def test_the_member_that_a_settled_set_names_has_joined(self) -> None:
        self.write("entry", *BROKEN_OFF)
        missing = {"silent": ["storage-2"], "joining": ["storage-2"], "settled": True}
        self.write("storage-1", refused(100.8, "turn not kept", "r1", "", **missing))
        self.assertNotIn("joining", self.causes()[0].text)

    def test_those_that_most_processes_name_come_first(self) -> None:
        self.write("entry", *BROKEN_OFF)
        for name, silent in (("storage-1", ["storage-2", "storage-3"]), ("s-4", ["storage-3"])):
            line_of_it = refused(101.0, "turn not kept", "r1", "too few", silent=silent)
            self.write(name, line_of_it)
        self.assertIn("no answer from storage-3, storage-2", self.causes()[0].text)

    def test_a_majority_that_another_process_reached_comes_first(self) -> None:
        self.write("entry", *BROKEN_OFF)
        self.write("storage-1", refused(100.8, "turn not kept", "r1", "", silent=["storage-2"]))
        self.write("storage-2", slow_end(101.9, "r1", True, 0.01, False, 0.9))
        self.assertEqual([CauseKind.ACCOUNT, CauseKind.MAJORITY], self.kinds())
        self.assertRegex(self.causes()[1].text, "storage-1 reached no majority .* storage-2$")

    def test_copies_that_were_late_are_not_the_account_s_fault(self) -> None:
        self.write("entry", *BROKEN_OFF)
        self.write("storage-1", slow_end(101.9, "r1", True, 1.1, True, 0.02))
        (cause,) = self.causes()
        self.assertEqual(CauseKind.MAJORITY, cause.kind)
        self.assertEqual("a majority kept it only after 1.1 s", cause.text)

    def test_a_turn_that_no_majority_let_begin(self) -> None:
        self.write("entry", *NOT_BEGUN)
        reason = "1 of 3 members answered"
        silent = refused(101.5, "turn not begun", "r1", reason, silent=["storage-2"])
        self.write("storage-1", silent, held_up(101.9, "p1", 0.9))
        (cause,) = self.causes()
        self.assertEqual("no majority let it begin: no answer from storage-2", cause.text)


class Processes(Logs):
    def test_processes_that_stood_still_during_the_wait(self) -> None:
        self.write("entry", *BROKEN_OFF)
        self.write("storage-1", line(101.0, "event loop delayed", LEDGER, seconds=0.3))
        self.write(
            "storage-2",
            line(90.0, "event loop delayed", LEDGER, seconds=2.0),
            line(109.0, "event loop delayed", LEDGER, seconds=8.0),
        )
        (cause,) = self.causes()
        self.assertEqual(CauseKind.PROCESS, cause.kind)
        self.assertRegex(cause.text, "^processes stood still: .*storage-2 for 8 s, .*-1 for 0.3 s$")

    def test_the_entry_itself_stood_still_and_another_does_not_matter(self) -> None:
        self.write("entry", *BROKEN_OFF, line(102.0, "event loop delayed", seconds=1.4))
        self.write("entry-2", line(101.0, "event loop delayed", seconds=0.5))
        (cause,) = self.causes()
        self.assertRegex(cause.text, "^a process stood still: [^ ]*/entry for 1.4 s$")

    def test_before_the_wait_it_stands_in_the_surroundings_only(self) -> None:
        self.write("entry", *BROKEN_OFF)
        self.write("storage-1", line(100.0, "event loop delayed", LEDGER, seconds=0.3))
        self.assertEqual([CauseKind.UNKNOWN], self.kinds())
        story = tell("r1", lambda: read_files(self.paths))
        self.assertEqual(["event loop delayed"], [each.event for each in story.around])

    def test_it_comes_after_what_the_turn_s_lines_say(self) -> None:
        self.write("entry", *BROKEN_OFF)
        self.write("storage-1", refused(100.8, "turn not kept", "r1", "", silent=["storage-2"]))
        self.write("storage-2", line(103.0, "event loop delayed", LEDGER, seconds=2.5))
        self.assertEqual([CauseKind.MAJORITY, CauseKind.PROCESS], self.kinds())


class Nothing(Logs):
    def test_nothing_tells(self) -> None:
        self.write("entry", *BROKEN_OFF)
        (cause,) = self.causes()
        self.assertEqual(CauseKind.UNKNOWN, cause.kind)
        self.assertRegex(cause.text, r"^nothing in these logs tells .*storage-1 \(no answer\)")

    def test_the_reason_alone_says_that_the_ledger_was_waited_for(self) -> None:
        self.write("entry", BROKEN_OFF[1])
        self.assertEqual([CauseKind.UNKNOWN], self.kinds())

    def test_a_request_that_did_not_wait_for_the_ledger_has_no_cause_there(self) -> None:
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
        self.write("entry", *BROKEN_OFF)
        self.write(
            "storage-1",
            slow_end(101.5, "r1", True, 0.012, False, 0.9),
            held_up(101.5, "p1", 0.9),
        )

    def explain(self, *options: str):
        return run_process("explain", "r1", *map(str, self.paths), *options)

    def test_people_get_the_cause_and_tables_of_what_shows_it(self) -> None:
        output = self.explain().output
        self.assertIn("\n- a majority kept it within 0.012 s; its program's account", output)
        self.assertRegex(output, r"EndTurn of \S+/entry, from 1970-01-01 00:01:40\.500\nreplica +")
        self.assertRegex(output, r"storage-2 +0 +0\.4 +no answer")
        self.assertRegex(output, r"00:01:41\.500 +\S+/storage-1 +0\.9 +0 +3\n")

    def test_programs_get_the_cause_and_the_lines(self) -> None:
        story = self.explain("--json").json()
        self.assertEqual(["account"], [cause["kind"] for cause in story["ledger_causes"]])
        self.assertIn("its program's account", story["ledger_causes"][0]["text"])
        self.assertEqual([0.9], [each["fields"]["seconds"] for each in story["account"]])


if __name__ == "__main__":
    unittest.main()
