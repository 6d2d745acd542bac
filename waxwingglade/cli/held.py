"""``waxwingglade held``: requests that are held back, as targets ended or broke off under them."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Annotated, Any

import msgspec
import typer
import zmq

from waxwingglade.base import Fingerprint, wall
from waxwingglade.cli.exits import ExitStatus, stop
from waxwingglade.cli.output import Json, as_time, print_json, print_table
from waxwingglade.ledger.messages import (
    Failures,
    KnownFailures,
    LedgerMessage,
    ListFailures,
    MergeFailures,
)
from waxwingglade.ledger.target_failures import TargetFailures, expires_at
from waxwingglade.transport.links import Codec, Link, LinkFailed, Links

TIMEOUT_S = 5.0

held_app = typer.Typer(
    help="See and release requests that are held back, as targets ended or broke off under them.",
    no_args_is_help=True,
)

Address = Annotated[
    str, typer.Argument(metavar="IP:PORT", help="Address of a member of the ledger.")
]


class HeldRequest(msgspec.Struct, frozen=True):
    """A request under which targets ended or broke off; times in seconds since 1970."""

    fingerprint: Fingerprint
    route: str
    held: bool
    failed: list[str]
    pending: list[str]
    changed_at: float
    forgotten_at: float


@held_app.command("list")
def list_requests(
    address: Address,
    every: Annotated[
        bool, typer.Option("--all", help="Also those that are still sent to targets.")
    ] = False,
    as_json: Json = False,
) -> None:
    """List the requests that are held back, the last one first."""
    records = asyncio.run(_list(address))
    rows = [_row(fingerprint, record) for fingerprint, record in records.items()]
    rows = [row for row in rows if row.held or (every and (row.failed or row.pending))]
    rows.sort(key=lambda row: -row.changed_at)
    if as_json:
        print_json(rows)
        return
    headers = ("FINGERPRINT", "ROUTE", "HELD", "FAILED TARGETS", "SINCE", "UNTIL")
    print_table(
        headers,
        [
            [
                row.fingerprint,
                row.route,
                row.held,
                row.failed,
                as_time(row.changed_at),
                as_time(row.forgotten_at),
            ]
            for row in rows
        ],
    )


@held_app.command("release")
def release(
    address: Address,
    fingerprint: Annotated[str, typer.Argument(help="As listed, and in the logs of entries.")],
) -> None:
    """Release a request: it may again be sent to targets, and end three more."""
    name = Fingerprint(fingerprint)
    record = asyncio.run(_list(address)).get(name)
    if record is None or not record.tried_targets:
        raise stop(ExitStatus.NOT_FOUND, f"{address} knows no failed targets of {fingerprint!r}")
    asyncio.run(_ask(address, MergeFailures(name, record.all_released(wall())), KnownFailures))
    typer.echo(f"{fingerprint} is released; the other members are told within seconds")


def _row(fingerprint: Fingerprint, record: TargetFailures) -> HeldRequest:
    return HeldRequest(
        fingerprint,
        record.route,
        record.is_held,
        sorted({trial.target for trial in record.failed}),
        sorted({trial.target for trial in record.pending}),
        record.changed_at,
        expires_at(fingerprint, record),
    )


async def _list(address: str) -> dict[Fingerprint, TargetFailures]:
    return (await _ask(address, ListFailures(), Failures)).records


async def _ask(address: str, message: Any, expected: type) -> Any:
    """Send a request to a ledger process; end the command if it gives no such answer."""
    with _link_to(address) as link:
        try:
            answer = await link.request(message, TIMEOUT_S)
        except LinkFailed as error:
            raise stop(ExitStatus.UNREACHED, str(error)) from error
    if not isinstance(answer, expected):
        raise stop(ExitStatus.FAILED, f"{address} answered with {type(answer).__name__}")
    return answer


@contextlib.contextmanager
def _link_to(address: str) -> Iterator[Link]:
    context = zmq.Context()
    links = Links(context, Codec(LedgerMessage))
    try:
        yield links.to(f"tcp://{address}")
    except zmq.ZMQError as error:
        raise stop(ExitStatus.USAGE, f"{address!r} is not IP:PORT: {error}") from error
    finally:
        links.close()
        context.destroy(linger=0)


__all__ = ["held_app"]
