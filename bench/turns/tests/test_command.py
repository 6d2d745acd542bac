"""The command line of the simulation."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from typer.testing import CliRunner

from bench.turns import __main__ as command
from bench.turns.play import play
from bench.turns.policies import POLICIES
from bench.turns.sheet import random_sheet


def run(*arguments: str) -> tuple[int, str]:
    """Run the command; return its exit status and all that it printed."""
    app = command.typer.Typer()
    app.command()(command.main)
    result = CliRunner().invoke(app, arguments)
    return result.exit_code, result.output


class Command(unittest.TestCase):
    def test_bad_input_gives_one_error_line(self) -> None:
        messages = {
            ("--sheets", "-1"): "--sheets must be",
            ("--processes", "0"): "--processes must be",
            ("--seeds", "0"): "--seeds must be",
            ("--sheets", "0", "--no-known"): "there is no sheet",
            ("--policies", "best"): "no policy best",
        }
        for arguments, message in messages.items():
            with self.subTest(arguments):
                status, output = run(*arguments)
                self.assertEqual(status, command.BAD_INPUT)
                self.assertIn(f"error: {message}", output)

    def test_table_is_printed_and_results_are_written(self) -> None:
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(command, "RESULTS", Path(folder)),
        ):
            status, output = run(
                "--sheets", "1", "--no-known", "--policies", "waxwingglade, hash", "--plot"
            )
            self.assertEqual(status, 0, output)
            self.assertEqual(
                {path.name for path in Path(folder).iterdir()}, {"turns.json", "turns.png"}
            )
        self.assertEqual(len(output.strip().splitlines()), 3)

    def test_same_sheet_and_seed_give_the_same_outcome(self) -> None:
        sheet = random_sheet(7)
        outcomes = [play(sheet, POLICIES["waxwingglade"], 3) for _ in range(2)]
        self.assertEqual(outcomes[0], outcomes[1])


class RandomSheets(unittest.TestCase):
    """A few of the random sheets."""

    NUMBERS = range(1, 9)

    def test_observed_speeds_earn_about_as_much_as_the_true_ones(self) -> None:
        def mean(policy: str) -> float:
            worth = [
                play(random_sheet(number), POLICIES[policy], 1).worth for number in self.NUMBERS
            ]
            return sum(worth) / len(worth)

        observed_worth = mean("waxwingglade")
        self.assertGreater(observed_worth, mean("oracle") - 0.02)
        self.assertGreater(observed_worth, mean("previous") - 0.02)


if __name__ == "__main__":
    unittest.main()
