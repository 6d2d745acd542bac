"""SIGHUP, which reloads the settings, while a process starts.

Guards against a SIGHUP that ends a starting process.  The package ignores the signal from its first
line on, but on a busy machine Python needs 20 to 40 ms to get there: it loads and initialises the
interpreter, then loads `site` and the package.  Such a process exits with status -1 and logs
nothing.  ``python -m bench.early_signal`` counts the starts that a signal ends, by its delay in ms.
"""

import asyncio
import os
import signal
import sysconfig
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from tests.platform_cluster import Node, PlatformCluster

BLOCKING_SITECUSTOMIZE = """
import os
with open(os.environ["HELD_AT"], "rb") as pipe:
    pipe.read()
"""
"""Module that `site` loads in these tests; it waits until the other end of a pipe is closed."""

SIGNALS = 20
EARLY_EXITS = 3
BUDGET = 80
"""Tokens, enough for two turns of 40."""


class EarlySignal(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = PlatformCluster(entries=1)
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "sitecustomize.py").write_text(BLOCKING_SITECUSTOMIZE)
        self.pipe = self.folder / "pipe"
        os.mkfifo(self.pipe)

    async def signal_before_the_interpreter_runs(self, node: Node) -> None:
        """Restart a process, and signal it before the interpreter can run any line.

        An interpreter first reads the file ``pyvenv.cfg`` beside its program, here a pipe.
        """
        node.kill()
        program, *arguments = node.command()
        linked = self.folder / "start"
        linked.symlink_to(program)
        os.mkfifo(self.folder / "pyvenv.cfg")
        node.libraries = Path(sysconfig.get_path("purelib"))
        with mock.patch.object(node, "command", lambda: [str(linked), *arguments]):
            node.start()
        with await asyncio.to_thread((self.folder / "pyvenv.cfg").open, "wb"):
            for _ in range(SIGNALS):
                node.signal(signal.SIGHUP)

    async def test_sighup_does_not_end_an_entry_while_its_interpreter_loads(self) -> None:
        entry = self.cluster.entries[0]
        await self.signal_before_the_interpreter_runs(entry)
        await self.cluster.until_ready(entry)

    async def test_sighup_does_not_end_a_ledger_process_while_its_interpreter_loads(self) -> None:
        ledger = self.cluster.ledgers[0]
        await self.signal_before_the_interpreter_runs(ledger)
        await self.cluster.until(lambda: ledger.has_started)

    async def signal_while_site_is_loaded(self, node: Node) -> None:
        """Restart a process, and signal it while `site` is loaded, before any package."""
        node.kill()
        changed = {"PYTHONPATH": str(self.folder), "HELD_AT": str(self.pipe)}
        with mock.patch.dict(os.environ, changed):
            node.start()
        # Opening the pipe blocks until the process opens it, too.
        with await asyncio.to_thread(self.pipe.open, "wb"):
            for _ in range(SIGNALS):
                node.signal(signal.SIGHUP)

    async def test_sighup_does_not_end_an_entry_while_site_loads(self) -> None:
        entry = self.cluster.entries[0]
        await self.signal_while_site_is_loaded(entry)
        await self.cluster.until_ready(entry)

    async def test_sighup_does_not_end_a_ledger_process_while_site_loads(self) -> None:
        ledger = self.cluster.ledgers[0]
        await self.signal_while_site_is_loaded(ledger)
        await self.cluster.until(lambda: ledger.has_started)

    async def test_processes_that_end_before_they_run_any_line_lose_no_data(self) -> None:
        """A process cannot handle so early a signal; the platform restarts the process."""
        entry = self.cluster.entries[0]
        await self.cluster.turn(entry, "t1", b"asks", token_budget=BUDGET)
        for node in [*self.cluster.ledgers, entry]:
            node.kill()
            for _ in range(EARLY_EXITS):
                node.start()
                node.signal(signal.SIGHUP)
                node.kill()
            self.assertFalse(node.has_started)
            node.start()
        await self.cluster.until_ready(entry)
        continuation = {"previous_turn": "t1", "token_budget": BUDGET}
        answer = await self.cluster.turn(entry, "t2", b"goes on", **continuation)
        self.assertEqual(200, answer.status)
        answer = await self.cluster.turn(entry, "t3", b"goes on", **continuation)
        self.assertEqual(402, answer.status, "both turns count, and no other")


if __name__ == "__main__":
    unittest.main()
