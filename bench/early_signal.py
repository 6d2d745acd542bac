"""Measure how long after its start a process can still be terminated by SIGHUP.

    python -m bench.early_signal [--starts 20] [--sleep] [--only WORD]

SIGHUP announces changed settings.  Each way of starting is tested with the signal at several delays
after the start, and the table counts the processes that were terminated.  The signal is ignored by
the first line of the script, or earlier by the program that embeds the interpreter.  The process
then sleeps until the benchmark kills it.

A process cannot run before the kernel gives it a processor.  The benchmark keeps its own processor
busy between start and signal, or leaves it idle with ``--sleep``.  The last ways show what
remains: a program that ignores the signal in its first instructions, and one in which a library
does so before the C library is loaded.
"""

import platform
import shutil
import signal
import subprocess
import sys
import sysconfig
import tempfile
import time
from pathlib import Path
from typing import Annotated

import msgspec
import typer

DELAYS_MS = (0.02, 0.1, 0.2, 0.3, 0.5, 0.7, 1, 2, 3, 4, 8, 12, 16, 20, 30, 60)
STARTER = Path(__file__).parent.parent / "deploy" / "starter.c"
LIBRARY = Path(sysconfig.get_config_var("LIBDIR"), sysconfig.get_config_var("INSTSONAME"))
STATIC_LIBRARY = Path(sysconfig.get_config_var("LIBPL"), sysconfig.get_config_var("LIBRARY"))
MINIMAL_PROGRAM = """
#include <signal.h>
#include <unistd.h>
int main(void) { signal(SIGHUP, SIG_IGN); sleep(60); return 0; }
"""
IGNORE_BY_SYSTEM_CALL = """
struct action { void *handler; unsigned long flags; void *restorer; unsigned long mask; };
static void ignore_sighup(void)
{
    struct action ignore = {(void *)1, 0, 0, 0};
    register long size __asm__("r10") = sizeof ignore.mask;
    long result;
    __asm__ volatile("syscall" : "=a"(result)
                     : "a"(13L), "D"(1L), "S"(&ignore), "d"(0L), "r"(size)
                     : "rcx", "r11", "memory");
}
"""
"""Ignores SIGHUP without the C library, by `rt_sigaction` on x86-64."""

NO_LIBRARY_PROGRAM = f"""{IGNORE_BY_SYSTEM_CALL}
void _start(void)
{{
    long result;
    ignore_sighup();
    for (;;)
        __asm__ volatile("syscall" : "=a"(result) : "a"(34L) : "rcx", "r11", "memory");
}}
"""
AUDIT_LIBRARY = f"""{IGNORE_BY_SYSTEM_CALL}
unsigned int la_version(unsigned int version) {{ ignore_sighup(); return version; }}
"""
"""Library that the dynamic loader runs before it loads the libraries of the program."""

LIBRARY_OPTIONS = ("-O2", "-shared", "-fPIC", "-nostdlib", "-fno-stack-protector")
WAIT = "\nimport time\ntime.sleep(60)\n"
IGNORE = "import signal\nsignal.signal(signal.SIGHUP, signal.SIG_IGN)\n"
IGNORE_BUILTIN = "import _signal\n_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)\n"
ENDED_S = 0.15
"""Seconds after the signal within which a terminated process has exited, also under load."""


class Way(msgspec.Struct):
    """A way of starting.

    Parameters
    ----------
    options : tuple of str
        Options of the interpreter.
    lines : str
        First lines of the script.
    compiled : tuple of str
        Compiler options for the program that embeds the interpreter; empty for the interpreter's
        own executable.
    source : str
        Source of another program to compile, which does not run Python.
    audit : str
        Source of an audit library of the program, if it has one.
    """

    name: str
    options: tuple[str, ...]
    lines: str
    as_module: bool = False
    compiled: tuple[str, ...] = ()
    source: str = ""
    audit: str = ""


WAYS = (
    Way("-m package.module", (), IGNORE, as_module=True),
    Way("file", (), IGNORE),
    Way("-S -m, _signal", ("-S",), IGNORE_BUILTIN, as_module=True),
    Way("-S file", ("-S",), IGNORE),
    Way("-S file, _signal", ("-S",), IGNORE_BUILTIN),
    Way("-I -S file, _signal", ("-I", "-S"), IGNORE_BUILTIN),
    Way("embeds, library shared", ("-S",), "", compiled=("-O2", str(LIBRARY))),
    Way(
        "embeds, linked in",
        ("-S",),
        "",
        compiled=("-O2", str(STATIC_LIBRARY), "-Wl,--export-dynamic", "-lm", "-ldl"),
    ),
    Way(
        "embeds, linked in, no PIE",
        ("-S",),
        "",
        compiled=("-O2", "-no-pie", str(STATIC_LIBRARY), "-Wl,--export-dynamic", "-lm", "-ldl"),
    ),
    Way(
        "embeds, library loaded",
        ("-S",),
        "",
        compiled=("-O2", "-no-pie", f'-DLIBPYTHON="{LIBRARY}"', "-ldl"),
    ),
    Way("C program", (), "", compiled=("-O2", "-no-pie"), source=MINIMAL_PROGRAM),
    Way("static C program", (), "", compiled=("-O2", "-static"), source=MINIMAL_PROGRAM),
    Way(
        "C program, audit library",
        (),
        "",
        compiled=("-O2", "-no-pie"),
        source=MINIMAL_PROGRAM,
        audit=AUDIT_LIBRARY,
    ),
    Way(
        "no C library",
        (),
        "",
        compiled=("-O2", "-static", "-nostdlib", "-fno-stack-protector"),
        source=NO_LIBRARY_PROGRAM,
    ),
)


def compiled(way: Way, folder: Path) -> str:
    """Compile the program of a way and return its path."""
    source = STARTER
    if way.source:
        source = folder / "program.c"
        source.write_text(way.source)
    program = folder / "program"
    command = ["cc", str(source), "-o", str(program), *way.compiled]
    if way.audit:
        library_source = folder / "audit.c"
        library_source.write_text(way.audit)
        library = folder / "audit.so"
        subprocess.run(["cc", *LIBRARY_OPTIONS, library_source, "-o", library], check=True)
        command.append(f"-Wl,--audit={library}")
    if not way.source:
        command.append(f"-Wl,-rpath,{LIBRARY.parent}")
    subprocess.run(command, check=True)
    return str(program)


def command(way: Way, folder: Path) -> list[str]:
    """Create the files of a way in a folder, and return its command line."""
    if not way.as_module:
        (folder / "start.py").write_text(way.lines + WAIT)
        program = compiled(way, folder) if way.compiled else sys.executable
        return [program, *way.options, str(folder / "start.py")]
    package = folder / "started" / "inner"
    package.mkdir(parents=True, exist_ok=True)
    (folder / "started" / "__init__.py").write_text('__version__ = "0"\n')
    (package / "__init__.py").write_text("")
    (package / "__main__.py").write_text(way.lines + WAIT)
    return [sys.executable, *way.options, "-m", "started.inner"]


def is_ended(arguments: list[str], folder: Path, delay_ms: float, idle: bool) -> bool:
    """Start a process, send the signal after a delay, and return whether the process exited."""
    process = subprocess.Popen(arguments, cwd=folder)
    started_at = time.perf_counter()
    try:
        if idle:
            time.sleep(delay_ms / 1e3)
        while time.perf_counter() - started_at < delay_ms / 1e3:
            pass  # Busy wait: a sleep takes longer than the shortest delays.
        process.send_signal(signal.SIGHUP)
        time.sleep(ENDED_S)
        return process.poll() is not None
    finally:
        process.kill()
        process.wait()


def main(
    starts: Annotated[int, typer.Option(help="starts for each delay")] = 20,
    sleep: Annotated[bool, typer.Option(help="sleep until the signal is sent")] = False,
    only: Annotated[str, typer.Option(help="only ways whose names contain this")] = "",
) -> None:
    """Print the number of terminated processes for each way and delay."""
    print(f"ended of {starts}; ms after the start:")
    print(" " * 26 + " ".join(f"{delay_ms:4}" for delay_ms in DELAYS_MS))
    for way in WAYS:
        if only not in way.name:
            continue
        if IGNORE_BY_SYSTEM_CALL in way.source + way.audit and platform.machine() != "x86_64":
            print(f"{way.name:26}for x86-64 only")
            continue
        if way.compiled and shutil.which("cc") is None:
            print(f"{way.name:26}no C compiler")
            continue
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            arguments = command(way, folder)
            counts = [
                sum(is_ended(arguments, folder, delay_ms, sleep) for _ in range(starts))
                for delay_ms in DELAYS_MS
            ]
        print(f"{way.name:26}" + " ".join(f"{count:4}" for count in counts), flush=True)


if __name__ == "__main__":
    typer.run(main)
