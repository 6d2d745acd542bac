"""An entry of another writer that can't be read, and then a new configuration."""

import asyncio
import time
from pathlib import Path
from typing import ClassVar

from review.cluster import TROUBLE, Record, SmallCluster, run_case
from tests.platform_cluster import configuration

FOREIGN_KEY = "servers/of-another-writer"
FOREIGN_VALUE = b'{"note":' + b"[" * 1500
"""Bytes that can't be read as an entry: an array within an array, and so on, cut off."""

QUIET_S = 8.0
"""Twice `contact_ms`: all machines are in touch from then on."""

APPLY_S = 3.0 + 6.0
"""`config_apply_ms`, and `max_extension_ms` on top, which is not due as the store is stable."""

WATCHED_S = 12.0
"""Seconds for which requests are judged after that."""

ADDED = {
    "host": "shop.example",
    "name": "added",
    "path_prefix": "/added/",
    "kind": "safe",
    "service": "notes",
    "timeout_ms": 2000,
    "target_latency_ms": 200,
    "priority": 1,
    "max_attempts": 2,
}


class CofCluster(SmallCluster):
    """A cluster with the bounds of the site."""

    bounds: ClassVar[dict[str, float]] = {
        "contact_ms": 4000,
        "drain_ms": 3000,
        "config_apply_ms": 3000,
        "max_extension_ms": 6000,
        "rollback_slack_ms": 250,
    }


async def play(cluster: SmallCluster, record: Record) -> bool:
    """Return whether a route is refused long after its configuration was acknowledged."""
    if TROUBLE:
        cluster.store.put_bytes(FOREIGN_KEY, FOREIGN_VALUE)
        record(f"another writer wrote {FOREIGN_KEY}, {len(FOREIGN_VALUE)} bytes")
    await asyncio.sleep(QUIET_S)
    cluster.store.put("op/config", configuration(4, extra=[ADDED]))
    acknowledged_at = time.monotonic()
    record("the store acknowledged configuration 4, which adds the route /added/")
    await asyncio.sleep(APPLY_S)
    refused = served = 0
    while time.monotonic() < acknowledged_at + APPLY_S + WATCHED_S:
        for entry in cluster.entries:
            sent_s = time.monotonic() - acknowledged_at
            answer = await cluster.call(entry, "POST", "/added/x", deadline_ms=2000)
            record(
                f"/added/x sent to {entry.name} {sent_s:.1f} s after the acknowledgement: "
                f"{answer.status} {answer.body[:60]!r}"
            )
            refused += answer.status == 404
            served += answer.status == 200
        await asyncio.sleep(1.0)
    record(f"refused with 404 though the route is there: {refused}; served: {served}")
    for node in cluster.ledgers:
        for line in node.logs():
            if line.get("level") == "ERROR":
                cause = line.get("trace", "").strip().rpartition("\n")[2]
                record(f"log of {node.name}: {line['event']}: {cause}")
    return refused > 0


if __name__ == "__main__":
    run_case(Path(__file__).parent, play, cluster_type=CofCluster)
