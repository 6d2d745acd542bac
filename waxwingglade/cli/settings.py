"""``waxwingglade check`` and ``key``: check settings files and make keys for them."""

from pathlib import Path
from typing import Annotated

import typer

from waxwingglade.base import SettingsError
from waxwingglade.cli.exits import ExitStatus
from waxwingglade.cli.output import Json, print_json
from waxwingglade.connection.keys import NewKey, new_key
from waxwingglade.process.check import check_file
from waxwingglade.settings import Role

key_app = typer.Typer(help="Make bearer tokens.", no_args_is_help=True)


def check(
    settings: Annotated[Path, typer.Argument(help="YAML settings of an entry.")],
    as_json: Json = False,
) -> None:
    """Check a settings file; every error is named with file, path and reason."""
    try:
        checked = check_file(settings)
    except SettingsError as error:
        errors = str(error).splitlines()
        if as_json:
            print_json({"errors": errors})
        else:
            typer.echo("\n".join(errors), err=True)
        raise typer.Exit(int(ExitStatus.USAGE)) from error
    if as_json:
        print_json({"errors": []})
        return
    targets = len(checked.targets)
    typer.echo(f"{settings}: good; entry {checked.entry} in {checked.zone}, {targets} targets")


@key_app.command("caller")
def key_caller(tenant: str, as_json: Json = False) -> None:
    """Make a token for a tenant, and the lines that its entries' settings need."""
    _print_key(new_key(), "caller_keys", {"tenant": tenant}, as_json)


@key_app.command("operator")
def key_operator(operator: str, role: Role, as_json: Json = False) -> None:
    """Make a token for an operator, and the lines that the entries' settings need."""
    _print_key(new_key(), "operator_keys", {"operator": operator, "role": role.value}, as_json)


def _print_key(key: NewKey, section: str, names: dict[str, str], as_json: bool) -> None:
    stored = {**names, "salt": key.salt, "sha256": key.sha256}
    if as_json:
        print_json({"token": key.token, section: [stored]})
        return
    typer.echo("# The token, shown only now; the settings hold its salted hash:")
    typer.echo(f"# {key.token}")
    typer.echo(f"{section}:")
    quoted = [f'{name}: "{value}"' for name, value in stored.items()]
    typer.echo("  - " + "\n    ".join(quoted))
