"""Routes whose calls may be repeated, though not by the entry: each is sent to one target only."""

from tests.platform_cluster import HOST, ROUTE_S

DRAFTS, READS = "/drafts/", "/reads/"

_COMMON = {
    "host": HOST,
    "timeout_ms": int(1000 * ROUTE_S),
    "target_latency_ms": 200,
    "max_attempts": 1,
}

ROUTES = [
    {
        **_COMMON,
        "name": "drafts",
        "path_prefix": DRAFTS,
        "kind": "streaming",
        "service": "engines",
        "resumable": True,
        "sticky": True,
    },
    {**_COMMON, "name": "reads", "path_prefix": READS, "kind": "safe", "service": "notes"},
]
"""A resumable stream that is not retained, and a plain call."""

__all__ = ["DRAFTS", "READS", "ROUTES"]
