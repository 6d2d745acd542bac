"""Test the commands that need no entry: check, key, version, completion, wrong arguments."""

import hashlib
import tempfile
import unittest
from pathlib import Path

import yaml

from waxwingglade.cli.tests.cli_builders import run_process
from waxwingglade.connection.keys import find_key
from waxwingglade.process.check import check_file
from waxwingglade.settings import OperatorKey, Role, parse_settings

ROOT = Path(__file__).resolve().parents[3]
EXAMPLES = [ROOT / "examples" / f"{firm}-entry.yaml" for firm in ("kettu", "kiprono")]

INVALID = """
entry: Entry One
zonne: helsinki-1
listen: {caller_port: 99999, peer_prt: 1}
durability: {copies: 2, heartbeat_s: .inf}
targets:
  - {target: a, kind: engine, zone: z, url: "http://h:1", models: [base]}
  - {target: b, kind: service, zone: z, url: "http://h:1", tools: [{tool: t, path: 3}]}
config:
  firm: {deadlin_s: 3}
  tenants: {kettu: {urgency: soon}}
"""
EXPECTED = [
    "$: unknown key `zonne` (did you mean `zone`?)",
    "$.entry: ",
    "$: `zone` is missing",
    "$.listen: unknown key `peer_prt` (did you mean `peer_port`?)",
    "$.listen.caller_port: ",
    "$.durability.heartbeat_s: must be a finite number",
    "$.targets[0].kind: ",
    "$.targets[1].tools[0].path: ",
    "did you mean `deadline_s`?",
    "`urgency`",
]
CONTRADICTING = """
entry: a
zone: z
store: {urls: ["localhost:1"]}
durability: {copies: 2, append_timeout_s: 1.0}
peers: [{entry: a, zone: z, peer_address: "tcp://h:1"}]
targets:
  - {target: t, kind: model, zone: z, url: "http://h:1"}
  - {target: t, kind: model, zone: z, url: "http://h:1", models: [base]}
config: {operators: {one: admin}}
"""


class Check(unittest.TestCase):
    def test_every_error_is_named_with_file_path_and_reason(self):
        errors = self.errors_of(INVALID)
        for expected in EXPECTED:
            with self.subTest(expected):
                self.assertTrue(any(expected in error for error in errors), errors)
        self.assertEqual(len(EXPECTED), len(errors), errors)

    def test_contradictions_are_errors(self):
        errors = self.errors_of(CONTRADICTING)
        parts = ("store.urls[0]", "copies", "append_timeout_s", "peers", "models", "`t`", "config")
        for part in parts:
            with self.subTest(part):
                self.assertTrue(any(part in error for error in errors), errors)
        self.assertEqual(len(parts), len(errors), errors)

    def test_files_without_settings(self):
        for text in ("", "- a list", "a: [", "\udcff"):
            with self.subTest(text):
                self.assertEqual(1, len(self.errors_of(text)))
        self.assertEqual(2, run_process("check", "/nonexistent.yaml").status)

    def test_the_examples_of_both_firms_are_valid_and_have_all_targets(self):
        for path in EXAMPLES:
            settings = check_file(path)
            kinds = [target.kind.value for target in settings.targets]
            zones = {target.zone for target in settings.targets}
            self.assertEqual((6, 3, 3), (kinds.count("model"), kinds.count("service"), len(zones)))
            self.assertEqual(0, run_process("check", str(path)).status)

    def errors_of(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.yaml"
            path.write_bytes(text.encode("utf-8", "surrogateescape"))
            result = run_process("check", str(path))
            self.assertEqual((2, ""), (result.status, result.output))
            errors = result.errors.splitlines()
            self.assertTrue(all(error.startswith(str(path)) for error in errors), errors)
            return errors


class Keys(unittest.TestCase):
    def test_the_printed_lines_are_settings_that_match_the_token(self):
        result = run_process("key", "operator", "ada", "admin")
        token = result.output.splitlines()[1].removeprefix("# ")
        stored = yaml.safe_load(result.output)["operator_keys"][0]
        key = parse_settings(stored, OperatorKey, "test")
        self.assertEqual(Role.ADMIN, key.role)
        self.assertEqual(key, find_key([key], f"Bearer {token}"))
        self.assertNotEqual(hashlib.sha256(token.encode()).hexdigest(), key.sha256)
        caller = run_process("key", "caller", "kettu", "--json")
        self.assertEqual("kettu", caller.json()["caller_keys"][0]["tenant"])


class Arguments(unittest.TestCase):
    def test_wrong_arguments_give_one_line_and_status_2(self):
        for arguments in (("bogus",), ("program", "list", "--limit", "x"), ("check",)):
            with self.subTest(arguments):
                result = run_process(*arguments)
                self.assertEqual((2, ""), (result.status, result.output))
                self.assertEqual(1, len(result.errors.splitlines()))

    def test_version_help_and_completion(self):
        self.assertRegex(run_process("--version").output, r"^\d+\.\d+\.\d+\n$")
        help_text = run_process("--help").output
        for command in ("serve", "check", "program", "config", "status", "drain", "Exit status"):
            self.assertIn(command, help_text)
        self.assertIn("--install-completion", help_text)
