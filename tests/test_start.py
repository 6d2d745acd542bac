"""Modules that a process of the platform loads at its start, which delay it after a restart."""

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


class StartupModules(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.settings = self.folder / "boot.yaml"

    def build_libraries(self) -> Path:
        """Return a folder of libraries that is laid out like a build of the platform."""
        libraries = self.folder / "target" / "deps"
        libraries.parent.mkdir()
        libraries.symlink_to(sysconfig.get_path("purelib"))
        return libraries

    def check_and_load(self, settings: str, libraries: Path | None) -> tuple[int, set[str]]:
        """Check settings and load both process types; return the exit status and all modules."""
        self.settings.write_text(settings)
        environment = dict(os.environ)
        environment.pop("PYTHONPATH", None)
        if libraries is not None:
            environment["PYTHONPATH"] = str(libraries)
        script = LIST_MODULES.format(settings=str(self.settings))
        completed = subprocess.run(
            [sys.executable, "-S", "-c", script],
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            check=True,
        )
        status, modules = json.loads(completed.stdout.splitlines()[-1])
        return status, set(modules)

    def test_json_settings_of_the_platform_need_no_yaml_parser(self) -> None:
        status, modules = self.check_and_load(json.dumps(SETTINGS), self.build_libraries())
        self.assertEqual(status, 0)
        self.assertFalse(modules & {"yaml", "tornado.web", "site"})

    def test_handwritten_settings_are_yaml(self) -> None:
        text = "# Written by hand.\n" + "\n".join(
            f"{name}: {json.dumps(value)}" for name, value in SETTINGS.items()
        )
        status, modules = self.check_and_load(text, self.build_libraries())
        self.assertEqual(status, 0)
        self.assertIn("yaml", modules)

    def test_installed_libraries_are_found(self) -> None:
        status, modules = self.check_and_load(json.dumps(SETTINGS), None)
        self.assertEqual(status, 0)
        self.assertIn("site", modules)

    def test_the_deploy_file_requests_settings_as_json(self) -> None:
        deploy = (ROOT / DEPLOY_FILE).read_text()
        self.assertEqual(deploy.count('template = "deploy/settings.template"'), 2)
        self.assertEqual((ROOT / "deploy/settings.template").read_text().strip(), "{{.|json}}")


if __name__ == "__main__":
    unittest.main()
