"""A request that an entry accepts late in its grace period is cut off at a server that runs it."""

import asyncio
import signal
import time
from pathlib import Path

from review.small_cluster import (
    GRACE_S,
    HOST,
    Client,
    Cluster,
    Record,
    has_trouble,
    play,
)

SENT_AFTER_S = (3.3, 3.6, 3.9, 4.2)
"""Seconds from SIGTERM until each client uses its connection again: later than the three seconds in
which a request may still be cut off, and before the entry closes idle connections."""

EVENTS, EVENT_S = 15, 0.28
"""A stream of 4.2 s, whose pauses are below 300 ms; the route's timeout is 5 s."""

NOTICE_S = 0.5
"""Seconds in which a server notices that its connection was closed."""

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "chat",
            "host": HOST,
            "path_prefix": "/chat/",
            "kind": "streaming",
            "timeout_ms": 5000,
            "target_latency_ms": 250,
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
            "max_conns": 210,
            "engine": {"slots": 24, "kv_capacity": 189035, "stride": 30},
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


async def converse(cluster: Cluster, record: Record, number: int, after_s: float) -> bool:
    """Send a turn before SIGTERM and the next one some time after; return whether none was lost."""
    entry = cluster.entries[0]
    client = Client(record, entry.front, f"client-{number}")
    turn = {
        "X-Waxwingglade-Program-Id": f"p{number}",
        "X-Waxwingglade-Session-Id": f"s{number}",
        "X-Waxwingglade-Finish-Ms": "30000",
        "X-Waxwingglade-Token-Budget": "4608",
        "X-Waxwingglade-Token-Count": "10,450",
    }
    first, second = f"turn-{number}-1", f"turn-{number}-2"
    answer = await client.ask("POST", "/chat/1", first, b"first", headers=turn)
    if not answer.whole:
        raise RuntimeError("a turn before the disruption was not answered")
    cluster.answered_first += 1
    while cluster.terminated_at is None:
        await asyncio.sleep(0.005)
    await asyncio.sleep(cluster.terminated_at + after_s - time.monotonic())
    turn["X-Waxwingglade-Previous-Turn"] = first
    answer = await client.ask("POST", "/chat/2", second, b"second", headers=turn)
    await asyncio.sleep(NOTICE_S)
    ran = [run for server in cluster.servers for run in server.runs if run.request == second]
    sent_s = client.sent_at - cluster.terminated_at
    ended = [f"{run.ended_at - cluster.terminated_at:.2f}" for run in ran if run.ended_at]
    record.write(
        f"{second} was sent {sent_s:.2f} s after SIGTERM of {GRACE_S} s grace; runs: {len(ran)}, "
        f"its server worked until {ended} s after it; whole answer: {answer.whole}"
    )
    return answer.whole or not ran


class DrainedCluster(Cluster):
    """A cluster of which one entry is stopped once all clients have had an answer."""

    answered_first = 0
    terminated_at: float | None = None


async def case(record: Record) -> bool:
    """Return whether each request was answered whole, or not run."""
    cluster = DrainedCluster(record)
    cluster.server("engines", events=EVENTS, event_s=EVENT_S)
    try:
        await cluster.start(CONFIGURATION)
        clients = [
            asyncio.create_task(converse(cluster, record, number, after_s))
            for number, after_s in enumerate(SENT_AFTER_S)
        ]
        while cluster.answered_first < len(clients) and not any(each.done() for each in clients):
            await asyncio.sleep(0.01)
        if has_trouble():
            cluster.entries[0].signal(signal.SIGTERM)
        cluster.terminated_at = time.monotonic()
        return all(await asyncio.gather(*clients))
    finally:
        await cluster.stop()


if __name__ == "__main__":
    play(Path(__file__).parent, case)
