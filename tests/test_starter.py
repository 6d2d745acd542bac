"""The program that starts processes, built with and without a C compiler."""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests.platform_cluster import ROOT

BUILD = ROOT / "deploy" / "build_starter.py"
PRINT_ARGUMENTS = "import sys; print(sys.version, sys.argv[1:])"
FAILING_COMPILER = "#!/bin/sh\necho no header >&2\nexit 1\n"


class Starter(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.program = self.folder / "target" / "start"

    def build(self, path: str | None = None) -> str:
        """Build the program, with an optional search path for the compiler; return its messages."""
        environment = {**os.environ, **({"PATH": path} if path is not None else {})}
        command = [sys.executable, str(BUILD), str(self.program)]
        completed = subprocess.run(
            command, env=environment, capture_output=True, text=True, check=True
        )
        return completed.stderr

    def check_runs_python(self) -> None:
        """Check that the program runs this version of Python and passes on its arguments."""
        command = [str(self.program), "-S", "-c", PRINT_ARGUMENTS, "role"]
        printed = subprocess.check_output(command, text=True)
        self.assertEqual(f"{sys.version} ['role']\n", printed)

    def test_the_program_runs_the_interpreter(self) -> None:
        self.assertEqual("", self.build())
        self.assertFalse(self.program.is_symlink())
        self.check_runs_python()

    def test_the_program_can_be_replaced_while_it_runs(self) -> None:
        self.build()
        wait_for_input = "import sys; sys.stdin.read()"
        with subprocess.Popen(
            [self.program, "-S", "-c", wait_for_input], stdin=subprocess.PIPE
        ) as running:
            self.assertEqual("", self.build())
            running.communicate()
        self.check_runs_python()

    def test_without_a_compiler_a_link_to_the_interpreter_is_made(self) -> None:
        self.assertIn("no C compiler", self.build(path=""))
        self.assertTrue(self.program.is_symlink())
        self.check_runs_python()

    def test_if_the_compiler_fails_its_message_is_shown_and_a_link_is_made(self) -> None:
        compiler = self.folder / "cc"
        compiler.write_text(FAILING_COMPILER)
        compiler.chmod(0o755)
        self.assertIn("no header", self.build(path=f"{self.folder}:/usr/bin:/bin"))
        self.assertTrue(self.program.is_symlink())
        self.check_runs_python()


if __name__ == "__main__":
    unittest.main()
