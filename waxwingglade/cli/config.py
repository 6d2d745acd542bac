"""``waxwingglade config``: show and change the configuration in force."""

from typing import Annotated
from urllib.parse import quote

import typer
import yaml

from waxwingglade.cli.exits import ExitStatus, stop
from waxwingglade.cli.output import Json, as_time, print_fields, print_json, print_table
from waxwingglade.cli.remote import IdOnly, TokenFile, Url, query_string, request
from waxwingglade.connection.operator_messages import (
    ApproveBody,
    ConfigView,
    ExplanationList,
    ProposalList,
    ProposalView,
    ProposeBody,
    RejectBody,
    VersionList,
)
from waxwingglade.version import Change, ConfigStatus, Proposal

config_app = typer.Typer(help="See and change the configuration.", no_args_is_help=True)

ProposalName = Annotated[str, typer.Argument(metavar="PROPOSAL", help="Id of the proposal.")]


@config_app.command("show")
def show(url: Url = "", token_file: TokenFile = None, as_json: Json = False) -> None:
    """Show the version in force and its tree."""
    view = request(url, token_file, "GET", "/v1/config", ConfigView)
    if as_json:
        print_json(view)
        return
    confirmed = "confirmed" if view.confirmed else "not yet confirmed by the store"
    typer.echo(f"# version {view.version}, from {view.source}, {confirmed}")
    typer.echo(yaml.safe_dump(view.tree, sort_keys=False, allow_unicode=True).rstrip())


@config_app.command("explain")
def explain(
    tenant: Annotated[str, typer.Argument(help="Customer.")],
    program_class: Annotated[str, typer.Argument(metavar="CLASS", help="Program class.")],
    program: Annotated[str, typer.Argument(help="Name of the agent program.")] = "",
    zone: Annotated[str, typer.Option(help="Zone; that of the asked entry if not given.")] = "",
    url: Url = "",
    token_file: TokenFile = None,
    as_json: Json = False,
) -> None:
    """Show each value of a program's policy, and the level that it comes from."""
    arguments = query_string(tenant=tenant, program=program, zone=zone, **{"class": program_class})
    found = request(url, token_file, "GET", f"/v1/config/explain{arguments}", ExplanationList)
    if as_json:
        print_json(found)
        return
    rows = [[each.setting, each.value, each.level] for each in found.values]
    print_table(["SETTING", "VALUE", "FROM"], rows)


@config_app.command("propose")
def propose(
    level: Annotated[str, typer.Argument(help="firm, zone:NAME, tenant:NAME[/CLASS[/PROGRAM]], …")],
    changes: Annotated[
        list[str], typer.Argument(metavar="SETTING=VALUE…", help="Without a value: inherit again.")
    ],
    id_only: IdOnly = False,
    base: Annotated[int, typer.Option(help="Version that you had before you.", min=-1)] = -1,
    url: Url = "",
    token_file: TokenFile = None,
    as_json: Json = False,
) -> None:
    """Put a change of one level forward; others have to approve it."""
    body = ProposeBody(
        [read_change(level, each) for each in changes], base_version=None if base < 0 else base
    )
    view = request(url, token_file, "POST", "/v1/config/proposals", ProposalView, body)
    if id_only:
        typer.echo(view.proposal.id)
        return
    show_proposal(view, as_json)


@config_app.command("approve")
def approve(
    proposal: ProposalName, url: Url = "", token_file: TokenFile = None, as_json: Json = False
) -> None:
    """Approve a proposal as it reads now; it takes effect once nothing more is missing."""
    before = request(url, token_file, "GET", _path(proposal), ProposalView)
    body = ApproveBody(before.text_digest)
    view = request(url, token_file, "POST", f"{_path(proposal)}/approve", ProposalView, body)
    show_proposal(view, as_json)


@config_app.command("accept")
def accept(
    proposal: ProposalName, url: Url = "", token_file: TokenFile = None, as_json: Json = False
) -> None:
    """Put an approved proposal in force, where the hours did not allow it at its approval."""
    view = request(url, token_file, "POST", f"{_path(proposal)}/accept", ProposalView)
    show_proposal(view, as_json)


@config_app.command("reject")
def reject(
    proposal: ProposalName,
    reason: Annotated[str, typer.Option(help="Kept with the proposal.")] = "",
    url: Url = "",
    token_file: TokenFile = None,
    as_json: Json = False,
) -> None:
    """Close a proposal for good."""
    body = RejectBody(reason)
    view = request(url, token_file, "POST", f"{_path(proposal)}/reject", ProposalView, body)
    show_proposal(view, as_json)


@config_app.command("withdraw")
def withdraw(
    proposal: ProposalName, url: Url = "", token_file: TokenFile = None, as_json: Json = False
) -> None:
    """Take your own proposal back."""
    view = request(url, token_file, "POST", f"{_path(proposal)}/withdraw", ProposalView)
    show_proposal(view, as_json)


@config_app.command("status")
def status(url: Url = "", token_file: TokenFile = None, as_json: Json = False) -> None:
    """Show which version each entry has in force, and the open proposals."""
    found = request(url, token_file, "GET", "/v1/config/status", ConfigStatus)
    listed = request(url, token_file, "GET", "/v1/config/proposals?state=open", ProposalList)
    if as_json:
        print_json({"status": found, "open_proposals": listed.proposals})
        return
    print_fields([("version", found.version), ("from", found.source.value)])
    rows = [
        [each.entry, each.digest.version, each.digest.hash[:12], f"{each.age_s:.1f} s ago"]
        for each in found.entries
    ]
    print_table(["ENTRY", "VERSION", "CONTENT", "HEARD"], rows)
    if listed.proposals:
        print_table(["OPEN PROPOSAL", "BY", "APPROVED BY", "CHANGE"], _proposal_rows(listed))


@config_app.command("history")
def history(
    limit: Annotated[int, typer.Option(min=1, max=1000, help="Versions shown at most.")] = 20,
    url: Url = "",
    token_file: TokenFile = None,
    as_json: Json = False,
) -> None:
    """Show the last versions, newest first: what, by whom and when."""
    found = request(url, token_file, "GET", f"/v1/config/history?limit={limit}", VersionList)
    if as_json:
        print_json(found)
        return
    rows = [
        [
            each.version,
            as_time(each.accepted_at_s),
            each.proposer,
            [approval.operator for approval in each.approvals],
            "; ".join(f"{c.level} {c.setting}={c.value}" for c in each.changes),
        ]
        for each in found.versions
    ]
    print_table(["VERSION", "ACCEPTED (UTC)", "PROPOSED BY", "APPROVED BY", "CHANGE"], rows)


def read_change(level: str, text: str) -> Change:
    """Return the change described by ``SETTING=VALUE``; the value is parsed as YAML."""
    setting, equals, value = text.partition("=")
    if not equals or not setting:
        raise stop(ExitStatus.USAGE, f"`{text}` is not like SETTING=VALUE")
    try:
        return Change(level, setting, yaml.safe_load(value) if value else None)
    except yaml.YAMLError as error:
        raise stop(ExitStatus.USAGE, f"`{text}`: the value is not valid: {error}") from error


def show_proposal(view: ProposalView, as_json: bool) -> None:
    """Print a proposal."""
    if as_json:
        print_json(view)
        return
    proposal = view.proposal
    print_fields(
        [
            ("proposal", proposal.id),
            ("state", _state(proposal)),
            ("by", proposal.proposer),
            ("approved by", [each.operator for each in proposal.approvals]),
            ("waits for", view.waits_for or None),
        ]
    )
    typer.echo(proposal.text)


def _state(proposal: Proposal) -> str:
    if proposal.version is None:
        return f"{proposal.state.value} {proposal.reason}"
    return f"{proposal.state.value} as version {proposal.version}"


def _proposal_rows(listed: ProposalList) -> list[list[object]]:
    return [
        [each.id, each.proposer, [given.operator for given in each.approvals], each.text]
        for each in listed.proposals
    ]


def _path(proposal: str) -> str:
    return f"/v1/config/proposals/{quote(proposal, safe='')}"
