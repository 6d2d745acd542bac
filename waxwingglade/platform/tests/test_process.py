"""Handling of signals while a process starts."""

import asyncio
import os
import signal
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import uvloop
import yaml
from loguru import logger

from waxwingglade.platform import process
from waxwingglade.platform.settings import NodeSettings, Purpose, load_node_settings

SETTINGS = {
    "node_name": "front-1",
    "serves": ["front"],
    "ip": "127.0.0.1",
    "zone": "zone-a",
    "zones": {"zone-a": "north"},
    "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
    "port_range": [3, 3],
    "bootstrap": True,
    "data_dir": None,
    "bounds": {"grace_s": 8},
    "fault_tolerance": {"machines": 1, "zones": 1},
    "provider": {"address": "127.0.0.1:4"},
}
LOG_TIMEOUT_S = 2.0


class SignalsWhileStarting(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "boot.yaml"
        self.write(SETTINGS)
        # The program that starts a process ignores SIGHUP, too.
        before = signal.signal(signal.SIGHUP, signal.SIG_IGN)
        self.addCleanup(signal.signal, signal.SIGHUP, before)
        self.logged: list[dict] = []
        sink = logger.add(lambda line: self.logged.append(dict(line.record["extra"])))
        self.addCleanup(logger.remove, sink)

    def write(self, settings: dict) -> None:
        self.path.write_text(yaml.safe_dump(settings))

    def load(self, path: Path) -> NodeSettings:
        """Read the settings; right after the first read, change the file and send SIGHUP."""
        settings = load_node_settings(path)
        if settings.bootstrap:
            self.write({**SETTINGS, "bootstrap": False})
            os.kill(os.getpid(), signal.SIGHUP)
        return settings

    async def run_until_logged(self, settings: NodeSettings, _stop: asyncio.Event) -> None:
        async with asyncio.timeout(LOG_TIMEOUT_S):
            while not self.logged:
                await asyncio.sleep(0.01)

    def test_settings_that_change_right_after_they_were_read_are_noticed(self) -> None:
        """Guards against a signal that arrives between reading the file and setting its handler."""
        with (
            mock.patch.object(process, "settings_path", lambda: self.path),
            mock.patch.object(process, "load_node_settings", self.load),
            mock.patch.dict(process.RUNNERS, {Purpose.ENTRY: self.run_until_logged}),
        ):
            asyncio.run(process.run(Purpose.ENTRY))
        self.assertEqual(["bootstrap"], self.logged[0]["changed"])


class SignalsWhileExiting(unittest.TestCase):
    def test_signals_that_arrive_after_a_stop_do_not_end_the_process(self) -> None:
        # Guards against a process that a late SIGHUP or SIGTERM ends with status -1 or -15, after
        # it has stopped as planned and before its logs are written.
        numbers = (signal.SIGTERM, signal.SIGHUP)
        for number in numbers:
            self.addCleanup(signal.signal, number, signal.getsignal(number))

        async def stopped(_settings: NodeSettings, _stop: asyncio.Event) -> None:
            pass

        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.yaml"
            path.write_text(yaml.safe_dump(SETTINGS))
            with (
                mock.patch.object(process, "settings_path", lambda: path),
                mock.patch.dict(process.RUNNERS, {Purpose.ENTRY: stopped}),
            ):
                uvloop.run(process.run(Purpose.ENTRY))
        for number in numbers:
            self.assertEqual(signal.getsignal(number), signal.SIG_IGN)
            os.kill(os.getpid(), number)


if __name__ == "__main__":
    unittest.main()
