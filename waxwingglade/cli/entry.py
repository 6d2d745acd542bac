"""``waxwingglade status`` and ``drain``: show or drain one entry."""

import typer

from waxwingglade.cli.output import Json, print_fields, print_json, print_table
from waxwingglade.cli.remote import TokenFile, Url, request
from waxwingglade.connection.operator_messages import Accepted, EntryStatus


def status(url: Url = "", token_file: TokenFile = None, as_json: Json = False) -> None:
    """Show an entry, its peers, its logs and the targets as it sees them."""
    found = request(url, token_file, "GET", "/v1/status", EntryStatus)
    if as_json:
        print_json(found)
        return
    print_fields(
        [
            ("entry", f"{found.entry} in {found.zone}, {found.state}"),
            ("release", found.version),
            ("configuration", f"version {found.config_version}"),
            ("requests", found.requests),
        ]
    )
    rows = [
        [each.entry, each.zone, each.state if each.alive else "silent", each.heard_s_ago]
        for each in found.peers
    ]
    print_table(["PEER", "ZONE", "STATE", "HEARD S AGO"], rows)
    print_table(
        ["LOG", "EPOCH", "HELD BY", "OPEN", "ENDED"],
        [
            [each.log, each.epoch, each.holders, each.open_programs, each.ended_programs]
            for each in found.logs
        ],
    )
    print_table(
        ["TARGET", "KIND", "ZONE", "LOAD", "SLOTS", "LEAVING"],
        [
            [each.target, each.kind, each.zone, each.load, each.slots, each.leaving]
            for each in found.targets
        ],
    )


def drain(url: Url = "", token_file: TokenFile = None, as_json: Json = False) -> None:
    """Let an entry leave: no new programs, streams finish, ownership is handed over."""
    answer = request(url, token_file, "POST", "/v1/drain", Accepted)
    if as_json:
        print_json(answer)
        return
    typer.echo("the entry is leaving; its process ends with status 0")
