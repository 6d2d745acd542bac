"""A turn that its caller resumed at another entry is continued without its first events."""

import signal
from pathlib import Path

from review.small_cluster import HOST, Client, Cluster, Record, has_trouble, play

EVENTS, EVENT_S = 10, 0.1
SEEN = 5
"""Events that the client has received when the machine of its entry is killed."""

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
            "resumable": True,
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


def data_of(body: bytes) -> bytes:
    """Return the data of a stream's events, each followed by a line feed."""
    lines = [line for line in body.split(b"\n") if line.startswith(b"data: ")]
    return b"".join(line.removeprefix(b"data: ") + b"\n" for line in lines)


async def case(record: Record) -> bool:
    """Return whether the server got the whole conversation."""
    cluster = Cluster(record)
    server = cluster.server("engines", events=EVENTS, event_s=EVENT_S)
    try:
        await cluster.start(CONFIGURATION)
        headers = {
            "X-Waxwingglade-Program-Id": "p1",
            "X-Waxwingglade-Session-Id": "s1",
            "X-Waxwingglade-Finish-Ms": "30000",
            "X-Waxwingglade-Token-Budget": "4608",
            "X-Waxwingglade-Token-Count": "10,390",
        }
        client = Client(record, cluster.entries[0].front)
        last = "turn-1"
        wanted = SEEN if has_trouble() else None
        answer = await client.ask(
            "POST", "/chat/1", last, b"first\n", headers=headers, events_wanted=wanted
        )
        received = answer.body
        if has_trouble():
            cluster.entries[0].signal(signal.SIGKILL)
            client.close()
            last = "turn-1-resumed"
            seen = received.count(b"\n\n")
            resumed = {**headers, "Last-Event-Id": str(seen)}
            client = Client(record, cluster.entries[1].front)
            answer = await client.ask("POST", "/chat/1", last, b"first\n", headers=resumed)
            received += answer.body
        if not answer.whole:
            raise RuntimeError("the first turn was not answered")
        headers["X-Waxwingglade-Previous-Turn"] = last
        client = Client(record, cluster.entries[1].front)
        answer = await client.ask("POST", "/chat/2", "turn-2", b"second\n", headers=headers)
        if not answer.whole:
            raise RuntimeError("the second turn was not answered")
        due = b"first\n" + data_of(received) + b"second\n"
        run = next(run for run in server.runs if run.request == "turn-2")
        record.write(f"due:  {due!r}")
        record.write(f"sent: {run.body!r}")
        return run.body == due
    finally:
        await cluster.stop()


if __name__ == "__main__":
    play(Path(__file__).parent, case)
