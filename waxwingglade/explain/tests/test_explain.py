"""Test that the logs of daemons explain the end of a request."""

import tempfile
import unittest
from pathlib import Path

from waxwingglade.base import FormatError
from waxwingglade.cli.exits import ExitStatus
from waxwingglade.cli.tests.cli_builders import run_process
from waxwingglade.explain import cause_of, read_files, tell
from waxwingglade.explain.tests.builders import LEDGER, line, request_line, write_log

UNDECIDED = "not run: the ledger did not decide: 1 of 3 members answered"


class Logs(unittest.TestCase):
    """Logs of an entry and a ledger process about a turn that was refused."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        attempt = {"target": "i-1", "load": 3.5, "verdict": "not_run", "reason": "refused"}
        self.entry = write_log(
            self.folder,
            "entry.log",
            line(10.0, "ledger quorum lost", ready=False),
            request_line(99.0, "r0", 502, "the target broke off: reset", program="p1"),
            request_line(99.5, "r1", 200, program="p1", seconds=0.4),
            line(99.8, "ledger quorum lost", ready=False),
            "Traceback (most recent call last):",
            request_line(100.0, "r2", 503, UNDECIDED, program="p1", seconds=0.1),
            request_line(100.2, "r3", 503, "not run: refused", attempts=[attempt]),
            line(101.0, "ledger quorum regained", ready=True),
        )
        self.ledger = write_log(
            self.folder,
            "ledger.log",
            line(99.9, "turn not begun", LEDGER, turn="r2", reason="1 of 3 members answered"),
            line(99.9, "turn not begun", LEDGER, turn="r9", reason="1 of 3 members answered"),
        )

    def read(self):
        return read_files([self.entry, self.ledger])


class Stories(Logs):
    def test_a_story_has_the_request_its_turn_its_program_and_the_failures(self) -> None:
        story = tell("r2", self.read)
        self.assertEqual([503], [each.fields["status"] for each in story.own])
        self.assertEqual(
            [("ledger.log", "turn not begun")],
            [(Path(each.source).name, each.event) for each in story.turn],
        )
        self.assertEqual(["r0"], [each.fields["request"] for each in story.program])
        self.assertEqual([99.8], [each.time for each in story.around])

    def test_repeats_are_those_with_the_same_fingerprint_at_any_entry(self) -> None:
        broken = "the target broke off: reset"
        logs = [
            write_log(
                self.folder,
                f"entry-{number}.log",
                request_line(100.0 + number, f"s{number}", 502, broken, fingerprint="f", program=p),
                request_line(100.0, f"t{number}", 502, broken, fingerprint="g", program=p),
            )
            for number, p in enumerate(("p1", "p1", "p1"))
        ]
        story = tell("s1", lambda: read_files(logs))
        self.assertEqual(["s0", "s2"], [each.fields["request"] for each in story.repeats])
        self.assertEqual(3, len(story.program))

    def test_a_missing_file_is_a_format_error(self) -> None:
        with self.assertRaisesRegex(FormatError, "missing.log: No such file"):
            list(read_files([Path(self.folder) / "missing.log"]))

    def test_text_that_is_not_a_log_line_is_skipped(self) -> None:
        path = Path(self.folder) / "odd.log"
        path.write_bytes(b'\xff\xfe\n[1]\n{"time":"x","event":"e"}\n{"time":1}\n\n')
        self.assertEqual([], list(read_files([path])))


class Causes(Logs):
    def cause(self, request: str) -> str:
        (own,) = tell(request, self.read).own
        return cause_of(own)

    def test_each_outcome_has_its_cause(self) -> None:
        for request, cause in (
            ("r0", "ended the connection; it may have run"),
            ("r1", "it was served"),
            ("r2", "too few ledger members"),
            ("r3", "each target that was asked refused it"),
        ):
            with self.subTest(request):
                self.assertIn(cause, self.cause(request))

    def test_an_error_of_the_target_is_attributed_to_it(self) -> None:
        attempt = {"target": "i-1", "status": 500, "verdict": "ran"}
        self.entry.write_text(request_line(1.0, "r5", 500, attempts=[attempt]))
        self.assertEqual("the target itself answered 500", self.cause("r5"))

    def test_a_reason_without_an_explanation_is_returned_unchanged(self) -> None:
        self.entry.write_text(request_line(1.0, "r6", 500, "internal error"))
        self.assertEqual("internal error", self.cause("r6"))


class Command(Logs):
    def run_explain(self, request: str, *options: str):
        return run_process("explain", request, str(self.entry), str(self.ledger), *options)

    def test_output_has_the_cause_and_its_context(self) -> None:
        result = self.run_explain("r2")
        self.assertEqual(ExitStatus.OK, result.status, result.errors)
        for shown in ("too few ledger members", "1970-01-01 00:01:40.000", "turn not begun", "r0"):
            self.assertIn(shown, result.output)

    def test_output_has_each_attempt(self) -> None:
        self.assertRegex(self.run_explain("r3").output, r"i-1 +3\.5 .*not_run.*refused")

    def test_json_output_has_the_story(self) -> None:
        story = self.run_explain("r2", "--json").json()
        self.assertEqual("r2", story["own"][0]["fields"]["request"])

    def test_an_unknown_request_is_not_found(self) -> None:
        result = self.run_explain("r77")
        self.assertEqual(ExitStatus.NOT_FOUND, result.status)
        self.assertRegex(result.errors, "^error: no line of these logs names r77")

    def test_a_missing_file_is_a_usage_error(self) -> None:
        result = run_process("explain", "r2", str(Path(self.folder) / "missing.log"))
        self.assertEqual(ExitStatus.USAGE, result.status)
        self.assertEqual(1, len(result.errors.strip().splitlines()))


if __name__ == "__main__":
    unittest.main()
