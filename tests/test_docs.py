"""The documentation: its commands run, its links work, and it covers all settings and metrics."""

import os
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec

from tests.ports import ReservedPorts
from waxwingglade.base import ErrorCode
from waxwingglade.cli.exits import ExitStatus
from waxwingglade.process.metrics import PREFIX, Metrics
from waxwingglade.settings import ProcessSettings, Role
from waxwingglade.version.schema import POLICY_TYPES

ROOT = Path(__file__).resolve().parent.parent
OPERATORS = ROOT / "docs" / "OPERATORS.md"
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md"))]
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
SCRIPT = re.compile(r"^```sh\n(.*?)^```$", re.MULTILINE | re.DOTALL)
EXAMPLE_PORTS = ("2379", "9101", "9201", "8001", "8002", "7001")
SCRIPT_TIMEOUT_S = 120.0
STOP_JOBS = "trap 'kill $(jobs -p) 2>/dev/null || true' EXIT\n"


class Commands(unittest.TestCase):
    def test_the_operators_commands_run_in_sequence(self):
        reserved = ReservedPorts()
        self.addCleanup(reserved.close)
        ports = {name: str(reserved.reserve()) for name in EXAMPLE_PORTS}
        script = "".join(SCRIPT.findall(OPERATORS.read_text()))
        example = (ROOT / "examples" / "trial-entry.yaml").read_text()
        for name, port in ports.items():
            script = re.sub(rf"\b{name}\b", port, script)
            example = re.sub(rf"\b{name}\b", port, example)
        with tempfile.TemporaryDirectory() as folder:
            self.create_files(Path(folder), example)
            done = run_script(Path(folder), "set -eu\n" + STOP_JOBS + script)
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)
        for output in (
            "trial-1 in trial-zone, alive",
            "accepted as version 2",
            "asked for by the tenant",
        ):
            self.assertIn(output, done.stdout)

    def create_files(self, folder, example):
        """Create the command and the settings file where the documentation expects them."""
        (folder / "examples").mkdir()
        (folder / "examples" / "trial-entry.yaml").write_text(example)
        command = folder / "bin" / "waxwingglade"
        command.parent.mkdir()
        command.write_text(f'#!/bin/sh\nexec {sys.executable} -m waxwingglade "$@"\n')
        command.chmod(0o755)

    def test_ci_runs_the_commands_of_the_readme(self):
        commands = "".join(SCRIPT.findall((ROOT / "README.md").read_text())).split("\n")
        ci = (ROOT / ".ci" / "run").read_text().splitlines()
        for command in filter(None, commands):
            self.assertIn(command, ci)

    def test_every_code_block_for_operators_is_a_shell_script(self):
        text = OPERATORS.read_text()
        for fence in re.findall(r"^```(\w*)$", text, re.MULTILINE)[::2]:
            self.assertEqual("sh", fence)


class Links(unittest.TestCase):
    def test_every_link_to_a_file_resolves(self):
        for page in PAGES:
            for link in LINK.findall(page.read_text()):
                with self.subTest(page=page.name, link=link):
                    self.assertTrue((page.parent / link).exists())


class Completeness(unittest.TestCase):
    def setUp(self):
        self.operators = OPERATORS.read_text()
        self.api = (ROOT / "docs" / "API.md").read_text()

    def test_every_setting_is_documented(self):
        for name in field_names(ProcessSettings) | set(POLICY_TYPES):
            with self.subTest(name):
                self.assertRegex(self.operators, rf"\b{name}\b")

    def test_every_metric_role_and_exit_status_is_documented(self):
        metrics = Metrics()
        names = [name for name in metrics.registry.collectors if name.startswith(PREFIX)]
        self.assertGreater(len(names), 8)
        lines = [f"| `{name}` |" for name in names]
        lines += [f"| {role.value} |" for role in Role]
        lines += [f"| {status.value} |" for status in ExitStatus]
        for line in lines:
            with self.subTest(line):
                self.assertIn(line, self.operators)

    def test_every_error_code_is_documented(self):
        for code in ErrorCode:
            with self.subTest(code):
                self.assertIn(f"`{code.value}`", self.api)


def field_names(model):
    """Return the names of all fields of a settings class, including its sections."""
    names = set()
    for field in msgspec.structs.fields(model):
        names.add(field.name)
        for part in (field.type, *getattr(field.type, "__args__", ())):
            if isinstance(part, type) and issubclass(part, msgspec.Struct):
                names |= field_names(part)
    return names


def run_script(folder, script):
    """Run a script in a folder, with the command on its search path."""
    environment = {
        **os.environ,
        "PATH": f"{folder / 'bin'}:{os.environ['PATH']}",
        "PYTHONPATH": str(ROOT),
    }
    return subprocess.run(
        ["bash", "-c", script],
        cwd=folder,
        env=environment,
        capture_output=True,
        text=True,
        timeout=SCRIPT_TIMEOUT_S,
        check=False,
    )
