"""Build the program that starts platform processes: ``python3 deploy/build_starter.py OUTPUT``.

The program embeds the interpreter that runs this script.  Where there is no compiler, or no usable
library of that interpreter, the output is a symbolic link to the interpreter.  The link starts
processes, too, but leaves them exposed to SIGHUP, the signal of changed settings, for longer.
"""

import os
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

SOURCE = Path(__file__).with_name("starter.c")
COMPILERS = ("cc", "gcc", "clang")

# A program at a fixed address with lazy binding has few relocations to process at startup, so it
# reaches its first statement sooner.
OPTIONS = ("-O2", "-no-pie", "-Wl,-z,lazy")


def library_options() -> list[list[str]]:
    """Return the compiler options for each library of the interpreter that is installed.

    The shared library comes first, because the program loads it after its first statement.
    """
    variables = sysconfig.get_config_vars()
    shared = Path(variables["LIBDIR"], variables.get("INSTSONAME") or variables["LDLIBRARY"])
    static = Path(variables["LIBPL"], variables["LIBRARY"])
    options = []
    if shared.suffix != ".a" and shared.exists():
        options.append([f'-DLIBPYTHON="{shared}"', "-ldl"])
    if static.exists():
        link_options = f"{variables['LIBS']} {variables['SYSLIBS']}".split()
        # Extension modules use the interpreter's symbols.
        options.append([str(static), "-Wl,--export-dynamic", *link_options])
    return options


def runs_python(program: Path) -> bool:
    """Return whether a program runs this version of Python."""
    command = [program, "-S", "-c", "import sys; print(sys.version)"]
    try:
        completed = subprocess.run(command, capture_output=True, text=True, check=False)
    except OSError:
        return False
    return completed.returncode == 0 and completed.stdout.strip() == sys.version


def compile_starter(output: Path) -> str:
    """Compile the program; return a description of the error, or an empty string on success."""
    compiler = next(filter(None, map(shutil.which, COMPILERS)), None)
    if compiler is None:
        return "no C compiler"
    error = "no library of the interpreter"
    for options in library_options():
        command = [compiler, *OPTIONS, str(SOURCE), "-o", str(output), *options]
        completed = subprocess.run(command, capture_output=True, text=True, check=False)
        if completed.returncode == 0 and runs_python(output):
            return ""
        error = completed.stderr.strip() or "the program does not run Python"
    return error


def main() -> None:
    """Build the program, or link to the interpreter instead."""
    if len(sys.argv) != 2:
        sys.exit("usage: python3 deploy/build_starter.py OUTPUT")
    output = Path(sys.argv[1])
    output.parent.mkdir(parents=True, exist_ok=True)
    # The file is replaced and not overwritten, because running processes still use the old one.
    new_output = output.with_name(f"{output.name}.new")
    new_output.unlink(missing_ok=True)
    if error := compile_starter(new_output):
        sys.stderr.write(f"{output} is a link to the interpreter: {error}\n")
        new_output.unlink(missing_ok=True)
        new_output.symlink_to(sys.executable)
    os.replace(new_output, output)


if __name__ == "__main__":
    main()
