"""Determine whether open connections to a peer still carry bytes, by requests that cost it little.

A connection on which no bytes arrive looks the same whether its peer pauses, is slow, or no longer
gets through on it.  Only in the last case is nothing lost by closing it.  Two requests tell: one on
an idle connection that was open already, and one on a new connection.  A peer that pauses answers
neither, and one that is slow with a single response answers both.  If it answers only on the new
connection, open connections no longer carry bytes.
"""

import asyncio
from contextlib import suppress
from enum import Enum

import msgspec

from waxwingglade.transport.http1 import (
    ConnectionBroken,
    Http1Connection,
    NotConnected,
    open_connection,
)
from waxwingglade.transport.messages import HttpRequest

ANSWER_TIMEOUT_S = 0.5
"""Seconds to wait for the first of the two answers."""

SPREAD_S = 0.3
"""Greatest time in seconds between the two answers of a peer that is reached on both connections.
It received the request on the open connection first, or after a packet was lost: Linux sends it
again after 0.2 s and a round trip."""

BODY_TIMEOUT_S = 0.05
MAX_BODY_BYTES = 64 * 1024
"""Seconds and bytes for the body of an answer, after which its connection is not reused."""


class Finding(Enum):
    """What a probe found out about the connections that were open before it."""

    WORKING = "open connections work"
    DEAD = "only new connections work"
    UNANSWERED = "no answer on any connection"
    NO_WITNESS = "no idle connection to ask on"


class ProbeResult(msgspec.Struct, frozen=True):
    """Finding of a probe.

    Parameters
    ----------
    worked_at : float
        If the finding is `DEAD`, a moment at which the open connections still worked, in monotonic
        seconds.
    """

    finding: Finding
    worked_at: float = float("inf")

    def is_dead(self, opened_at: float) -> bool:
        """Return whether a connection that was opened at a moment is dead, too.

        One that was opened later may have been opened after the others died.
        """
        return self.finding is Finding.DEAD and opened_at <= self.worked_at


async def probe(
    witness: Http1Connection, request: HttpRequest, connect_timeout_s: float
) -> tuple[ProbeResult, list[Http1Connection]]:
    """Send a request on an idle connection and on a new one to the same peer.

    Returns
    -------
    ProbeResult
        The finding.
    list of Http1Connection
        Connections that can be reused; all others are closed.
    """
    heard_at = witness.last_received_at
    new: list[Http1Connection] = []

    async def connect_and_ask() -> bool:
        try:
            new.append(await open_connection(witness.address, connect_timeout_s))
        except NotConnected:
            return False
        return await _is_answered(new[0], request)

    on_open = asyncio.create_task(_is_reached(witness, request))
    on_new = asyncio.create_task(connect_and_ask())
    try:
        await asyncio.wait(
            (on_open, on_new), timeout=ANSWER_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
        )
        if _has_succeeded(on_new) and not on_open.done():
            await asyncio.wait((on_open,), timeout=SPREAD_S)
        if _has_succeeded(on_open):
            result = ProbeResult(Finding.WORKING)
        elif _has_succeeded(on_new):
            result = ProbeResult(Finding.DEAD, heard_at)
        else:
            result = ProbeResult(Finding.UNANSWERED)
        await _cancel(on_open, on_new)
        asked = [(witness, on_open), *((each, on_new) for each in new)]
        return result, [each for each, task in asked if await _is_reusable(each, task)]
    except asyncio.CancelledError:
        for connection in (witness, *new):
            connection.close()
        raise
    finally:
        await _cancel(on_open, on_new)


async def _cancel(*tasks: asyncio.Task[bool]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _has_succeeded(task: asyncio.Task[bool]) -> bool:
    return task.done() and not task.cancelled() and task.result()


async def _is_answered(connection: Http1Connection, request: HttpRequest) -> bool:
    """Return whether the head of an answer arrived, rather than the end of the connection."""
    try:
        connection.send(request)
        await connection.read_head(lambda _: True)
    except ConnectionBroken:
        return False
    return True


async def _is_reached(connection: Http1Connection, request: HttpRequest) -> bool:
    """Return whether anything arrived from the peer: an answer, or the end of the connection."""
    if await _is_answered(connection, request):
        return True
    return connection.lost_at is not None and not isinstance(connection.error, TimeoutError)


async def _is_reusable(connection: Http1Connection, asking: asyncio.Task[bool]) -> bool:
    """Read the rest of an answer; close the connection unless it can be reused then."""
    if _has_succeeded(asking):
        with suppress(ConnectionBroken, TimeoutError):
            async with asyncio.timeout(BODY_TIMEOUT_S):
                await connection.read_body(MAX_BODY_BYTES)
    if connection.in_use or not connection.usable:
        connection.close()
    return connection.usable


__all__ = ["Finding", "ProbeResult", "probe"]
