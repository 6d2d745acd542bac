"""Run the command line in tests."""

import asyncio
import json
import subprocess
import sys
from typing import Any

import msgspec
from typer.testing import CliRunner

from waxwingglade.cli.app import app
from waxwingglade.settings import Role

OPERATORS = {"petra": Role.PROPOSER, "amos": Role.APPROVER, "adam": Role.ADMIN}


class CommandResult(msgspec.Struct):
    """Output and exit status of a command."""

    status: int
    output: str
    errors: str

    def json(self) -> Any:
        """Return the output as JSON."""
        return json.loads(self.output)


class CommandLine:
    """The command line, as used by one operator with one entry of an embedded system."""

    def __init__(self, running: Any, operator: str = "adam", entry: int = 0) -> None:
        self.environment = {
            "WAXWINGGLADE_URL": running.daemons[entry].operator_url,
            "WAXWINGGLADE_TOKEN": running.operator_tokens[operator],
        }

    async def run(self, *arguments: str) -> CommandResult:
        """Run a command in a thread, since it has an event loop of its own."""
        return await asyncio.to_thread(self._run, arguments)

    async def json(self, *arguments: str) -> Any:
        """Run a command with ``--json`` and return its decoded output."""
        result = await self.run(*arguments, "--json")
        assert result.status == 0, result
        return result.json()

    def _run(self, arguments: tuple[str, ...]) -> CommandResult:
        result = CliRunner().invoke(app, list(arguments), env=self.environment)
        return CommandResult(result.exit_code, result.stdout, result.stderr)


def run_process(*arguments: str) -> CommandResult:
    """Run a command in a new process."""
    command = [sys.executable, "-m", "waxwingglade", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    return CommandResult(done.returncode, done.stdout, done.stderr)
