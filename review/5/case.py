"""An order that an entry accepts while it stops, and that outlasts its process."""

import asyncio
import signal
import time
from pathlib import Path

from review.cluster import TROUBLE, Record, SmallCluster, run_case
from tests.platform_cluster import HOST, ORDER, configuration
from waxwingglade.standins.registered_server import answer_to
from waxwingglade.transport import ConnectionBroken, HttpRequest, open_connection

TIMEOUT_MS = 6000
"""Timeout of the route, and how long the client waits."""

SENT_S = 3.5
"""Seconds from SIGTERM to the order, on a connection that was kept open."""

WORK_S = 4.2
"""Seconds that the server works; it has answered before `grace_s`, 8, is over."""

CLIENTS = 5


def prepare(cluster: SmallCluster) -> None:
    """Let the orders' route have its timeout from before the start."""
    content = configuration(4)
    content["routes"][2]["timeout_ms"] = TIMEOUT_MS
    cluster.store.put("op/config", content)


def order(number: str) -> HttpRequest:
    """Return an order with an id of its own."""
    headers = [
        ("Host", HOST),
        ("X-Waxwingglade-Request-Id", f"order-{number}"),
        ("X-Waxwingglade-Affinity-Key", number),
        ("X-Waxwingglade-Deadline-Ms", str(TIMEOUT_MS)),
    ]
    return HttpRequest("POST", ORDER + "x", headers, b"order " + number.encode())


async def play(cluster: SmallCluster, record: Record) -> bool:
    """Return whether accepted orders end without an answer, though their servers answer."""
    entry = cluster.entries[0]
    connections = []
    for number in range(CLIENTS):
        connection = await open_connection(f"{entry.ip}:{entry.port}", 1.0)
        connection.send(order(f"{number}-before"))
        head = await connection.read_head(lambda _: True)
        await connection.read_body(10_000)
        if head.status != 200 or not connection.usable:
            raise RuntimeError(f"an order before: {head.status}")
        connections.append(connection)
    for server in cluster.notes:
        server.event_s = WORK_S
    stopped_at = time.monotonic()
    if TROUBLE:
        entry.signal(signal.SIGTERM)
        record(f"SIGTERM to {entry.name}")
    await asyncio.sleep(SENT_S)
    cut = 0
    waiting = []
    for number, connection in enumerate(connections):
        request = order(str(number))
        if not connection.usable:
            record(f"order-{number} not sent: the entry has closed the connection")
            continue
        connection.send(request)
        record(f"order-{number} sent {time.monotonic() - stopped_at:.2f} s after SIGTERM")
        waiting.append((number, connection, request))
    for number, connection, request in waiting:
        try:
            head = await connection.read_head(lambda _: True)
            body = await connection.read_body(10_000)
        except ConnectionBroken as error:
            ran = any(
                run.request == f"order-{number}" for server in cluster.notes for run in server.runs
            )
            after_s = time.monotonic() - stopped_at
            record(f"order-{number}: no answer, {error}, after {after_s:.2f} s; it ran: {ran}")
            cut += ran
            continue
        whole = body == answer_to(request.body)
        record(f"order-{number}: {head.status}, whole: {whole}")
    return cut > 0


if __name__ == "__main__":
    run_case(Path(__file__).parent, play, prepare)
