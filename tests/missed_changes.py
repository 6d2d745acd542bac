"""Changes of the configuration and of a target, and whether all entries act on them."""

import unittest

from tests.platform_cluster import HOST, PlatformCluster, configuration

APPLY_S = 2.0
"""Seconds within which a change has to be in force."""

ADDED = {
    "host": HOST,
    "name": "added",
    "path_prefix": "/added/",
    "kind": "safe",
    "service": "notes",
    "timeout_ms": 2000,
    "target_latency_ms": 200,
    "priority": 1,
    "max_attempts": 2,
}


def change_everything(cluster: PlatformCluster) -> None:
    """Add a route, and let a target leave."""
    cluster.store.put("op/config", configuration(4, extra=[ADDED]))
    cluster.notes[0].register("draining")


async def check_changes(test: unittest.TestCase, cluster: PlatformCluster) -> None:
    """Check that the route is served everywhere, and that the leaving target gets nothing."""
    before = len(cluster.notes[0].runs)
    for entry in cluster.entries:
        for path in ("/added/x", "/notes/x") * 3:
            answer = await cluster.call(entry, "POST", path)
            test.assertEqual(200, answer.status, f"{path} at {entry.name}")
    test.assertEqual(before, len(cluster.notes[0].runs))


__all__ = ["APPLY_S", "change_everything", "check_changes"]
