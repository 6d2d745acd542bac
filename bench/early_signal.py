"""Measure until when a signal of changed settings still ends a process that starts.

    python -m bench.early_signal [--starts 20]

Each way of starting is tried with the signal some milliseconds after the start, and the table
counts the processes that it ended.  The first line ignores the signal, and the process then waits
to be ended by this one.
"""

import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Annotated

import msgspec
import typer

DELAYS_MS = (0, 1, 4, 8, 12, 16, 20, 25, 30, 40, 60)
WAIT = "\nimport time\ntime.sleep(60)\n"
IGNORE = "import signal\nsignal.signal(signal.SIGHUP, signal.SIG_IGN)\n"
IGNORE_BUILTIN = "import _signal\n_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)\n"
ENDED_S = 0.15
"""Seconds after the signal by which a process that it ends is gone, beside load."""


class Way(msgspec.Struct):
    """A way of starting: the interpreter's options, and the first lines of what it runs."""

    name: str
    options: tuple[str, ...]
    lines: str
    as_module: bool = False


WAYS = (
    Way("-m package.module", (), IGNORE, as_module=True),
    Way("file", (), IGNORE),
    Way("-S -m, _signal", ("-S",), IGNORE_BUILTIN, as_module=True),
    Way("-S file", ("-S",), IGNORE),
    Way("-S file, _signal", ("-S",), IGNORE_BUILTIN),
    Way("-I -S file, _signal", ("-I", "-S"), IGNORE_BUILTIN),
)


def command(way: Way, folder: Path) -> list[str]:
    """Return the command line of a way, with its file or package in a folder."""
    if not way.as_module:
        (folder / "start.py").write_text(way.lines + WAIT)
        return [sys.executable, *way.options, str(folder / "start.py")]
    package = folder / "started" / "inner"
    package.mkdir(parents=True, exist_ok=True)
    (folder / "started" / "__init__.py").write_text('__version__ = "0"\n')
    (package / "__init__.py").write_text("")
    (package / "__main__.py").write_text(way.lines + WAIT)
    return [sys.executable, *way.options, "-m", "started.inner"]


def is_ended(arguments: list[str], folder: Path, delay_ms: float) -> bool:
    """Start a process, signal it after a delay, and return whether that ended it."""
    process = subprocess.Popen(arguments, cwd=folder)
    try:
        time.sleep(delay_ms / 1e3)
        process.send_signal(signal.SIGHUP)
        time.sleep(ENDED_S)
        return process.poll() is not None
    finally:
        process.kill()
        process.wait()


def main(starts: Annotated[int, typer.Option(help="starts for each delay")] = 20) -> None:
    """Print for each way and delay how many of the starts were ended."""
    print(f"ended of {starts}; ms after the start: " + " ".join(map(str, DELAYS_MS)))
    for way in WAYS:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            arguments = command(way, folder)
            counts = [
                sum(is_ended(arguments, folder, delay_ms) for _ in range(starts))
                for delay_ms in DELAYS_MS
            ]
        print(f"{way.name:22}" + " ".join(f"{count:3}" for count in counts), flush=True)


if __name__ == "__main__":
    typer.run(main)
