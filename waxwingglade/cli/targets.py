"""``waxwingglade target``: the desired and the actual state of model engines."""

from typing import Annotated
from urllib.parse import quote

import typer

from waxwingglade.cli.output import Json, as_time, print_fields, print_json, print_table
from waxwingglade.cli.remote import TokenFile, Url, query_string, request
from waxwingglade.connection.operator_messages import (
    DesiredList,
    DesiredView,
    OrdersStatus,
    SetTargetBody,
)

target_app = typer.Typer(
    help="See and change what model engines should have loaded.", no_args_is_help=True
)

TargetName = Annotated[str, typer.Argument(metavar="TARGET", help="Name of the model engine.")]
Base = Annotated[int, typer.Option("--base", help="Version that you had before you.", min=-1)]
NO_BASE = -1


@target_app.command("list")
def list_targets(url: Url = "", token_file: TokenFile = None, as_json: Json = False) -> None:
    """List the model engines of all zones with what is wanted of them."""
    found = request(url, token_file, "GET", "/v1/targets", DesiredList)
    if as_json:
        print_json(found)
        return
    rows = [[each.target, each.zone, *_desired_cells(each), each.version] for each in found.targets]
    print_table(["TARGET", "ZONE", "MODELS", "ADAPTERS", "ROLE", "VERSION"], rows)


@target_app.command("show")
def show(
    target: TargetName, url: Url = "", token_file: TokenFile = None, as_json: Json = False
) -> None:
    """Show what is wanted of one model engine."""
    print_view(request(url, token_file, "GET", _path(target), DesiredView), as_json)


@target_app.command("set")
def set_target(
    target: TargetName,
    model: Annotated[list[str], typer.Option(help="Model to have loaded; repeat for more.")],
    adapter: Annotated[
        list[str] | None, typer.Option(help="Adapter to have loaded; repeat for more.")
    ] = None,
    role: Annotated[str, typer.Option(help="Role; left as it is if not given.")] = "",
    base: Base = NO_BASE,
    url: Url = "",
    token_file: TokenFile = None,
    as_json: Json = False,
) -> None:
    """Ask for a whole state: what is loaded and not named here is unloaded."""
    body = SetTargetBody(model, adapter or [], role, None if base == NO_BASE else base)
    print_view(request(url, token_file, "PUT", _path(target), DesiredView, body), as_json)


@target_app.command("unset")
def unset(
    target: TargetName,
    base: Base = NO_BASE,
    url: Url = "",
    token_file: TokenFile = None,
    as_json: Json = False,
) -> None:
    """Ask for nothing any more: the engine stays as it is and gets calls as by the settings."""
    path = _path(target) + query_string(base_version=None if base == NO_BASE else base)
    print_view(request(url, token_file, "DELETE", path, DesiredView), as_json)


@target_app.command("status")
def status(url: Url = "", token_file: TokenFile = None, as_json: Json = False) -> None:
    """Show what the engines of the asked entry's zone have loaded, and what is waited for."""
    found = request(url, token_file, "GET", "/v1/orders", OrdersStatus)
    if as_json:
        print_json(found)
        return
    print_fields([("zone", found.zone), ("orders given by", found.holder)])
    rows = [
        [each.target, each.agrees, each.models, each.adapters, each.role, each.serving, each.note]
        for each in found.targets
    ]
    headers = ["TARGET", "AS WANTED", "MODELS", "ADAPTERS", "ROLE", "GETS CALLS FOR", "NOTE"]
    print_table(headers, rows)


def print_view(view: DesiredView, as_json: bool) -> None:
    """Print the desired state of one model engine."""
    if as_json:
        print_json(view)
        return
    models, adapters, role = _desired_cells(view)
    changed = as_time(view.changed_at) if view.version else None
    print_fields(
        [
            ("target", f"{view.target} in {view.zone}"),
            ("models", models),
            ("adapters", adapters),
            ("role", role),
            ("version", view.version),
            ("last change", f"{changed} by {view.proposer}" if changed else None),
        ]
    )


def _desired_cells(view: DesiredView) -> tuple[object, object, object]:
    """Return desired models, adapters and role as cells; None without a desired state."""
    if view.desired is None:
        return None, None, None
    return view.desired.models, view.desired.adapters, view.desired.role or None


def _path(target: str) -> str:
    return f"/v1/targets/{quote(target, safe='')}"
