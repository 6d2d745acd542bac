"""Application of the command line."""

import sys
from typing import Annotated

import typer

import waxwingglade
from waxwingglade.base import FormatError, SettingsError
from waxwingglade.cli import bench, demo, entry, explain, serve, settings
from waxwingglade.cli.config import config_app
from waxwingglade.cli.exits import ExitStatus
from waxwingglade.cli.held import held_app
from waxwingglade.cli.programs import program_app
from waxwingglade.cli.targets import target_app

NAME = "waxwingglade"

EPILOG = (
    "Exit status: 0 done, 1 failed, 2 wrong settings or arguments, 3 no entry answered, 4 denied, "
    "5 not found, 6 conflict, 7 try later, 8 may have taken effect."
)

app = typer.Typer(
    help="A scheduler for agent programs.",
    epilog=EPILOG,
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)
app.command("serve")(serve.serve)
app.command("demo")(demo.demo)
app.command("bench")(bench.bench)
app.command("check")(settings.check)
app.add_typer(settings.key_app, name="key")
app.add_typer(program_app, name="program")
app.add_typer(config_app, name="config")
app.add_typer(target_app, name="target")
app.add_typer(held_app, name="held")
app.command("status")(entry.status)
app.command("drain")(entry.drain)
app.command("explain")(explain.explain)
app.add_typer(serve.standin_app, name="standin")


def _print_version(is_requested: bool) -> None:
    if is_requested:
        typer.echo(waxwingglade.__version__)
        raise typer.Exit


@app.callback()
def options(
    version: Annotated[
        bool,
        typer.Option("--version", callback=_print_version, is_eager=True, help="Show the version."),
    ] = False,
) -> None:
    """A scheduler for agent programs."""


def main() -> None:
    """Run the command line; each error is printed in one line."""
    try:
        status = app(prog_name=NAME, standalone_mode=False)
    except (SettingsError, FormatError) as error:
        typer.echo(str(error), err=True)
        sys.exit(ExitStatus.USAGE)
    except Exception as error:
        # Wrong arguments.  The types of these exceptions differ between releases of typer, but all
        # of them have this method.
        if not hasattr(error, "format_message"):
            raise
        text = error.format_message()
        typer.echo(text if text.startswith("Usage:") else f"error: {text}", err=True)
        sys.exit(ExitStatus.USAGE)
    sys.exit(status or ExitStatus.OK)
