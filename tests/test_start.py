"""What a process on the platform loads at its start, which its callers wait for after a restart."""

import json
import os
import subprocess
import sys
import sysconfig
import tempfile
import unittest
from pathlib import Path

from tests.platform_cluster import DEPLOY_FILE, ROOT

LIST_MODULES = """
import json, runpy, sys
sys.argv = ["deploy/start.py", "check", {settings!r}]
sys.path.insert(0, "deploy")
try:
    runpy.run_path("deploy/start.py", run_name="__main__")
except SystemExit as end:
    status = end.code
import waxwingglade.ingress.entry, waxwingglade.ledger.node
print(json.dumps([status, list(sys.modules)]))
"""

SETTINGS = {
    "node_name": "n",
    "serves": ["front"],
    "ip": "127.0.0.1",
    "zone": "z",
    "port_range": [1, 2],
    "provider": {"address": "127.0.0.1:1"},
}


class StartTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.settings = self.folder / "boot.yaml"

    def build(self) -> Path:
        """Return a folder of libraries as the platform builds it."""
        built = self.folder / "target" / "deps"
        built.parent.mkdir()
        built.symlink_to(sysconfig.get_path("purelib"))
        return built

    def loaded(self, settings: str, libraries: Path | None) -> tuple[int, set[str]]:
        """Check settings and load both kinds of processes; return the status and all modules."""
        self.settings.write_text(settings)
        environment = dict(os.environ)
        environment.pop("PYTHONPATH", None)
        if libraries is not None:
            environment["PYTHONPATH"] = str(libraries)
        script = LIST_MODULES.format(settings=str(self.settings))
        ended = subprocess.run(
            [sys.executable, "-S", "-c", script],
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            check=True,
        )
        status, modules = json.loads(ended.stdout.splitlines()[-1])
        return status, set(modules)

    def test_settings_as_the_platform_writes_them_need_no_parser_of_yaml(self) -> None:
        status, modules = self.loaded(json.dumps(SETTINGS), self.build())
        self.assertEqual(status, 0)
        self.assertFalse(modules & {"yaml", "tornado.web", "site"})

    def test_settings_written_by_hand_are_yaml(self) -> None:
        text = "# Written by hand.\n" + "\n".join(
            f"{name}: {json.dumps(value)}" for name, value in SETTINGS.items()
        )
        status, modules = self.loaded(text, self.build())
        self.assertEqual(status, 0)
        self.assertIn("yaml", modules)

    def test_libraries_that_are_installed_are_found_as_well(self) -> None:
        status, modules = self.loaded(json.dumps(SETTINGS), None)
        self.assertEqual(status, 0)
        self.assertIn("site", modules)

    def test_the_deploy_file_asks_for_settings_as_json(self) -> None:
        deploy = (ROOT / DEPLOY_FILE).read_text()
        self.assertEqual(deploy.count('template = "deploy/settings.template"'), 2)
        self.assertEqual((ROOT / "deploy/settings.template").read_text().strip(), "{{.|json}}")


if __name__ == "__main__":
    unittest.main()
