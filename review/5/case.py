"""Store machines are restarted in turn during a conversation, and later one of them is lost."""

import asyncio
import itertools
import signal
import time
from pathlib import Path

from review.cluster import TROUBLE, Record, SmallCluster, run_case
from tests.platform_cluster import Node

CATCH_UP_S = 4.8
CONTACT_S = 3.0
"""`catch_up_s` and `contact_ms` of the site."""

TRIES_S = 20.0
TRY_INTERVAL_S = 0.5
FINISH_MS = 90_000
"""Time objective of the program, which all tries keep."""


async def stop_in_order(cluster: SmallCluster, node: Node) -> None:
    """Send SIGTERM to a process, and wait until it has ended."""
    node.signal(signal.SIGTERM)
    assert node.process is not None
    await cluster.until(lambda: node.process.poll() is not None)


async def start_again(cluster: SmallCluster, node: Node) -> None:
    """Start a process with its disk as it was, and give it the time that it may take."""
    node.start()
    await cluster.until(lambda: node.has_started)
    await asyncio.sleep(CATCH_UP_S)


async def converse(cluster: SmallCluster, record: Record) -> None:
    """Serve two turns of a conversation, each while another store machine is restarted."""
    previous: dict[str, str] = {}
    for request, node in (("turn-1", cluster.ledgers[1]), ("turn-2", cluster.ledgers[0])):
        if TROUBLE:
            await stop_in_order(cluster, node)
            record(f"{node.name} was stopped by SIGTERM")
        answer = await cluster.turn(
            cluster.entries[0], request, request.encode(), finish_ms=FINISH_MS, **previous
        )
        record(f"{request}: {answer.status}")
        if answer.status != 200:
            raise RuntimeError(f"{request} was not served")
        previous = {"previous_turn": request}
        if TROUBLE:
            await start_again(cluster, node)
            record(f"{node.name} was started again {CATCH_UP_S} s ago, with its disk")


async def play(cluster: SmallCluster, record: Record) -> bool:
    """Return whether the next turn reaches no server, while first turns do."""
    await converse(cluster, record)
    if TROUBLE:
        await asyncio.sleep(CONTACT_S)
        lost = cluster.ledgers[2]
        lost.kill()
        record(f"{lost.name} was killed, and does not come back")
        await asyncio.sleep(CONTACT_S + 1.0)
    began_at = time.monotonic()
    tries = served = first_turns = first_served = 0
    entries = itertools.cycle(cluster.entries)
    while time.monotonic() < began_at + TRIES_S:
        entry = next(entries)
        tries += 1
        request = f"turn-3-try-{tries}"
        answer = await cluster.turn(
            entry, request, b"turn-3", finish_ms=FINISH_MS, previous_turn="turn-2"
        )
        ran = any(run.request == request for each in cluster.engines for run in each.runs)
        served += ran
        record(f"{request} at {entry.name}: {answer.status} {answer.body[:70]!r}, ran: {ran}")
        first_turns += 1
        answer = await cluster.turn(entry, f"first-{tries}", b"new", program_id=f"p-new-{tries}")
        first_served += answer.status == 200
        await asyncio.sleep(TRY_INTERVAL_S)
    record(f"{served} of {tries} tries of turn-3 reached a server")
    record(f"{first_served} of {first_turns} first turns of other programs were served")
    if first_served < 0.9 * first_turns:
        raise RuntimeError("too few first turns were served to judge")
    return tries >= 5 and served == 0


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
