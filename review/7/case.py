"""Conversations are lost with one ledger machine, after the two others were restarted in turn.

A ledger process that was stopped while a turn was kept never gets that turn.  After two planned
restarts, one of the two processes has the earlier turn and the other one the later turn.  If the
third machine is then removed for good, no process puts the two parts together.
"""

import asyncio
import signal
import time
from pathlib import Path

from review.small_cluster import (
    BOUNDS,
    HOST,
    Answer,
    Client,
    Cluster,
    Process,
    Record,
    has_trouble,
    play,
)

CONVERSATIONS = 4
TRIES = 6
"""Tries of each turn after the removal; five are needed to break the rule."""

TRY_DEADLINE_S = 3.0
AIM_S = 60.0
"""Seconds from its first turn in which each program should end."""

PAUSE_S = 0.3
"""Seconds before a client tries again, unless it is told to wait longer."""

FIRST_TURNS = 10
"""First turns of new programs that are sent beside the tries."""

START_TIMEOUT_S = 10.0

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "chat",
            "host": HOST,
            "path_prefix": "/chat/",
            "kind": "streaming",
            "timeout_ms": 3000,
            "target_latency_ms": 200,
            "target_gap_ms": 300,
            "priority": 1,
            "service": "engines",
            "max_attempts": 2,
            "retain": True,
            "retention_s": 60.0,
            "sticky": True,
            "resumable": False,
        }
    ],
    "services": [
        {
            "name": "engines",
            "health_path": "/health",
            "max_conns": 170,
            "engine": {"slots": 16, "kv_capacity": 513719, "stride": 30},
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


def headers_of(program: str, previous: str | None, left_s: float) -> dict[str, str]:
    """Return the headers of a program's turn."""
    headers = {
        "X-Waxwingglade-Program-Id": program,
        "X-Waxwingglade-Session-Id": f"session-{program}",
        "X-Waxwingglade-Finish-Ms": str(int(left_s * 1000)),
        "X-Waxwingglade-Token-Budget": "9000",
        "X-Waxwingglade-Token-Count": "10,90",
    }
    if previous is not None:
        headers["X-Waxwingglade-Previous-Turn"] = previous
    return headers


class TimedCluster(Cluster):
    """A cluster that knows when each program began."""

    began_at: dict[str, float]


async def take_turn(
    cluster: TimedCluster, name: str, program: str, previous: str | None, attempt: int = 0
) -> Answer:
    """Send a turn of a program to an entry."""
    entry = cluster.entries[attempt % len(cluster.entries)]
    client = Client(cluster.record, entry.front, program)
    body = f"input of {program}\n".encode()
    began_at = cluster.began_at.setdefault(program, time.monotonic())
    left_s = began_at + AIM_S - time.monotonic()
    headers = headers_of(program, previous, left_s)
    answer = await client.ask("POST", "/chat/1", name, body, TRY_DEADLINE_S, headers)
    client.close()
    return answer


async def take_turns(cluster: TimedCluster, number: int) -> None:
    """Send the next turn of all conversations; each has to be answered whole."""
    previous = f"-turn-{number - 1}"
    answered = await asyncio.gather(
        *(
            take_turn(
                cluster,
                f"p{each}-turn-{number}",
                f"p{each}",
                f"p{each}{previous}" if number > 1 else None,
                each,
            )
            for each in range(CONVERSATIONS)
        )
    )
    if not all(answer.whole for answer in answered):
        raise RuntimeError(f"turn {number} was not answered before the loss")


async def restart_during_turn(cluster: TimedCluster, ledger: Process, number: int) -> None:
    """Stop a ledger process as planned work does, take a turn, and start the process again."""
    assert ledger.process is not None
    if not has_trouble():
        await take_turns(cluster, number)
        return
    ledger.signal(signal.SIGTERM)
    await asyncio.to_thread(ledger.process.wait)
    cluster.record.write(f"{ledger.name} has ended, status {ledger.process.returncode}")
    await take_turns(cluster, number)
    starts = ledger.starts
    ledger.start()
    end_at = time.monotonic() + START_TIMEOUT_S
    while ledger.starts == starts:
        if time.monotonic() > end_at:
            raise RuntimeError(f"{ledger.name} did not start again")
        await asyncio.sleep(0.05)
    cluster.record.write(f"{ledger.name} is back")
    # The machine counts as lost for this time after it is back.
    await asyncio.sleep(BOUNDS["catch_up_s"] + 1.0)


async def try_turn(cluster: TimedCluster, each: int) -> int:
    """Try the turn after the loss several times; return how many tries reached a server."""
    reached = 0
    for attempt in range(TRIES):
        name = f"p{each}-turn-4-try-{attempt}"
        answer = await take_turn(cluster, name, f"p{each}", f"p{each}-turn-3", attempt)
        reached += any(run.request == name for server in cluster.servers for run in server.runs)
        await asyncio.sleep(max(PAUSE_S, float(answer.headers.get("retry-after", 0))))
    return reached


async def case(record: Record) -> bool:
    """Return whether each conversation went on."""
    cluster = TimedCluster(record)
    cluster.began_at = {}
    cluster.server("engines", events=3, event_s=0.01)
    first, second, third = cluster.ledgers
    try:
        await cluster.start(CONFIGURATION)
        await take_turns(cluster, 1)
        await restart_during_turn(cluster, first, 2)
        await restart_during_turn(cluster, second, 3)
        if has_trouble():
            third.signal(signal.SIGTERM)
            record.write(f"{third.name} is removed for good")
        await asyncio.sleep(BOUNDS["contact_ms"] / 1000 + 1.0)
        tries = [asyncio.create_task(try_turn(cluster, each)) for each in range(CONVERSATIONS)]
        begun = [
            (await take_turn(cluster, f"new-{each}-turn-1", f"new-{each}", None, each)).whole
            for each in range(FIRST_TURNS)
        ]
        reached = await asyncio.gather(*tries)
        record.write(f"first turns answered: {sum(begun)} of {FIRST_TURNS}")
        record.write(f"tries that reached a server, of {TRIES} in each conversation: {reached}")
        if not all(begun):
            raise RuntimeError("first turns were not answered")
        return all(reached)
    finally:
        await cluster.stop()


if __name__ == "__main__":
    play(Path(__file__).parent, case)
