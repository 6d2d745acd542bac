"""Turns that an entry accepts late in its grace period, on connections that were kept open."""

import asyncio
import signal
import time
from pathlib import Path

import msgspec

from review.cluster import TROUBLE, Record, SmallCluster, run_case
from tests.platform_cluster import GRACE_S, HOST, STREAM, Node
from waxwingglade.ingress.events import EventSplitter
from waxwingglade.transport import ConnectionBroken, Http1Connection, HttpRequest, open_connection

CONVERSATIONS = 8
FIRST_SENT_S, INTERVAL_S = 3.5, 0.1
"""Seconds after SIGTERM at which the first of the turns is sent, and between them.  The rule leaves
out requests that were sent within 3 s of it."""

EVENTS, EVENT_S = 15, 0.27
"""Events of a turn, and seconds between them; at the site a turn has up to 45 events, and pauses of
up to 0.3 s are on time."""

DEADLINE_MS = 5000
"""Deadline of the clients, and timeout of the route."""

CONTACT_S = 3.0
"""`contact_ms` of the site, which passes without any disruption before the turns begin."""


class Outcome(msgspec.Struct):
    """What a client received in answer to a turn."""

    status: int = 0
    events: int = 0
    is_complete: bool = False
    reason: str = ""


def prepare(cluster: SmallCluster) -> None:
    """Let the turns last for about four of the five seconds that their route allows."""
    for engine in cluster.engines:
        engine.events, engine.event_s = EVENTS, EVENT_S


async def send_turn(connection: Http1Connection, request: str, **headers: str) -> Outcome:
    """Send a turn on a connection, and read its answer to the end."""
    pairs = [
        ("Host", HOST),
        ("X-Waxwingglade-Request-Id", request),
        ("X-Waxwingglade-Token-Budget", "5000"),
        ("X-Waxwingglade-Token-Count", f"10,{10 * EVENTS}"),
        ("X-Waxwingglade-Deadline-Ms", str(DEADLINE_MS)),
        *(("X-Waxwingglade-" + name.replace("_", "-"), value) for name, value in headers.items()),
    ]
    outcome = Outcome()
    splitter = EventSplitter()
    try:
        connection.send(HttpRequest("POST", STREAM + "x", pairs, request.encode()))
        head = await connection.read_head(lambda _: True)
        outcome.status = head.status
        while (piece := await connection.read_piece()) is not None:
            outcome.events += len(splitter.feed(piece))
        outcome.is_complete = True
    except ConnectionBroken as error:
        outcome.reason = str(error)
    return outcome


async def stop_in_order(node: Node, record: Record) -> None:
    """Stop a process as the platform does: SIGTERM, and SIGKILL after the grace period."""
    began_at = time.monotonic()
    node.signal(signal.SIGTERM)
    record(f"SIGTERM for {node.name}")
    assert node.process is not None
    while node.process.poll() is None and time.monotonic() < began_at + GRACE_S:
        await asyncio.sleep(0.02)
    how = "was killed" if node.process.poll() is None else "ended"
    node.kill()
    record(f"{node.name} {how} {time.monotonic() - began_at:.2f} s after SIGTERM")


async def play(cluster: SmallCluster, record: Record) -> bool:
    """Return whether turns that reached a server end with their connection."""
    entry = cluster.entries[0]
    connections = [
        await open_connection(f"{entry.ip}:{entry.port}", 1.0) for _ in range(CONVERSATIONS)
    ]
    programs = [
        {"Program_Id": f"program-{number}", "Session_Id": f"session-{number}"}
        for number in range(CONVERSATIONS)
    ]
    await asyncio.sleep(CONTACT_S)
    began = await asyncio.gather(
        *(
            send_turn(connection, f"turn-1-of-{number}", **programs[number])
            for number, connection in enumerate(connections)
        )
    )
    if not all(outcome.is_complete and outcome.status == 200 for outcome in began):
        raise RuntimeError(f"first turns without the disruption: {began}")
    record(f"the first turns of {len(began)} conversations were answered whole, connections kept")
    stopping = asyncio.create_task(stop_in_order(entry, record)) if TROUBLE else None
    signalled_at = time.monotonic()

    async def continue_conversation(number: int) -> bool:
        """Return whether the second turn has run and ended with its connection."""
        request = f"turn-2-of-{number}"
        await asyncio.sleep(FIRST_SENT_S + number * INTERVAL_S)
        sent_s = time.monotonic() - signalled_at
        outcome = await send_turn(
            connections[number], request, Previous_Turn=f"turn-1-of-{number}", **programs[number]
        )
        ended_s = time.monotonic() - signalled_at
        ran = any(run.request == request for each in cluster.engines for run in each.runs)
        record(
            f"{request}: sent at {sent_s:.2f} s, ended at {ended_s:.2f} s, ran: {ran}, "
            f"status {outcome.status}, {outcome.events} of {EVENTS} events, "
            f"complete: {outcome.is_complete} {outcome.reason}"
        )
        has_time_left = ended_s - sent_s < DEADLINE_MS / 1000
        return ran and not outcome.is_complete and has_time_left

    lost = await asyncio.gather(*map(continue_conversation, range(CONVERSATIONS)))
    if stopping is not None:
        await stopping
    record(f"{sum(lost)} of {len(lost)} turns ran and ended with their connection, before 5 s")
    return any(lost)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play, prepare)
