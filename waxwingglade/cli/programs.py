"""``waxwingglade program``: show, create and cancel programs of all tenants."""

from typing import Annotated
from urllib.parse import quote

import typer

from waxwingglade.base import Failure
from waxwingglade.cli.output import Json, as_time, print_fields, print_json, print_table
from waxwingglade.cli.remote import IdOnly, TokenFile, Url, query_string, request
from waxwingglade.connection.operator_messages import CancelBody, History, NewTenantProgram
from waxwingglade.connection.peer_messages import ProgramFilter, ProgramListing, ProgramView
from waxwingglade.program import Done

program_app = typer.Typer(help="See, create and cancel programs.", no_args_is_help=True)

Program = Annotated[str, typer.Argument(help="Id of the program.")]


@program_app.command("create")
def create(
    tenant: Annotated[str, typer.Argument(help="Tenant that the program works for.")],
    program_class: Annotated[str, typer.Argument(metavar="CLASS", help="Program class.")],
    name: Annotated[str, typer.Option(help="Name of the agent program, if it has one.")] = "",
    id_only: IdOnly = False,
    url: Url = "",
    token_file: TokenFile = None,
    as_json: Json = False,
) -> None:
    """Create a program for a tenant."""
    body = NewTenantProgram(tenant, program_class, name=name or None)
    view = request(url, token_file, "POST", "/v1/programs", ProgramView, body)
    if id_only:
        typer.echo(view.program)
        return
    show_view(view, as_json)


@program_app.command("list")
def list_programs(
    tenant: Annotated[str, typer.Option(help="Only programs of this tenant.")] = "",
    state: Annotated[ProgramFilter, typer.Option(help="Which programs.")] = ProgramFilter.OPEN,
    after: Annotated[str, typer.Option(help="Continue a listing after this id.")] = "",
    limit: Annotated[int, typer.Option(min=1, max=1000, help="Programs shown at most.")] = 100,
    url: Url = "",
    token_file: TokenFile = None,
    as_json: Json = False,
) -> None:
    """List programs, wherever they are."""
    arguments = query_string(tenant=tenant, state=state.value, after=after, limit=limit)
    listing = request(url, token_file, "GET", f"/v1/programs{arguments}", ProgramListing)
    if as_json:
        print_json(listing)
        return
    show_listing(listing)


def show_listing(listing: ProgramListing) -> None:
    """Print a page of programs; on standard error, print what is missing from it."""
    print_table(
        ["PROGRAM", "TENANT", "CLASS", "STATE", "TURNS", "ENTRY", "CREATED (UTC)"],
        [
            [
                each.program,
                each.tenant,
                each.program_class,
                each.state,
                each.turns,
                each.entry,
                as_time(each.created_at),
            ]
            for each in listing.programs
        ],
    )
    if listing.unanswered:
        typer.echo(f"without those of entries that did not answer: {listing.unanswered}", err=True)
    if listing.next_after:
        typer.echo(f"there may be more: --after {listing.next_after}", err=True)


@program_app.command("show")
def show(
    program: Program, url: Url = "", token_file: TokenFile = None, as_json: Json = False
) -> None:
    """Show a program's state, budget and calls, without what was said in it."""
    show_view(request(url, token_file, "GET", _path(program), ProgramView), as_json)


@program_app.command("history")
def history(
    program: Program, url: Url = "", token_file: TokenFile = None, as_json: Json = False
) -> None:
    """Show what was said in a program; this needs the role admin."""
    found = request(url, token_file, "GET", f"{_path(program)}/history", History)
    if as_json:
        print_json(found)
        return
    for message in found.messages:
        typer.echo(f"[{message.role.value}] {message.content}")


@program_app.command("cancel")
def cancel(
    program: Program,
    reason: Annotated[str, typer.Option(help="Kept with the program.")] = "",
    url: Url = "",
    token_file: TokenFile = None,
    as_json: Json = False,
) -> None:
    """End a program and its sub-agents."""
    body = CancelBody(reason) if reason else CancelBody()
    view = request(url, token_file, "POST", f"{_path(program)}/cancel", ProgramView, body)
    show_view(view, as_json)


def show_view(view: ProgramView, as_json: bool) -> None:
    """Print a program."""
    if as_json:
        print_json(view)
        return
    budget = view.budget
    print_fields(
        [
            ("program", view.program),
            ("tenant", view.tenant),
            ("class", view.program_class),
            ("state", f"{view.state} {view.end_reason}"),
            ("created", f"{as_time(view.created_at)} UTC"),
            ("configuration", f"version {view.config_version}"),
            ("turns", f"{view.turns} of {budget.turns}"),
            ("tokens", f"{view.tokens_spent} and {view.tokens_reserved} reserved, {budget.tokens}"),
            ("parent", view.parent),
            ("sub-agents", view.children),
        ]
    )
    if view.calls:
        rows = [[each.call, each.kind, _outcome(each.outcome)] for each in view.calls]
        print_table(["CALL", "KIND", "OUTCOME"], rows)


def _outcome(outcome: Done | Failure | None) -> str:
    if outcome is None:
        return "running"
    if isinstance(outcome, Failure):
        return f"{outcome.code.value} ({outcome.verdict.value})"
    return "done"


def _path(program: str) -> str:
    return f"/v1/programs/{quote(program, safe='')}"
