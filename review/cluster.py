"""Runs a case: the built daemons as separate processes on loopback, with stand-ins around them."""

import asyncio
import os
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import ClassVar

from tests import platform_cluster
from tests.platform_cluster import ROOT, PlatformCluster

platform_cluster.STARTER = ROOT / "target" / "waxwingglade"
"""The program that the deploy file builds and starts."""

LONGEST_RUN_S = 116.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit statuses: the rule held, the rule was broken, the case could not run."""

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption of the case happens."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.began_at:8.3f}  {text}\n")
        self.file.flush()


class SmallCluster(PlatformCluster):
    """Two entries and three ledger processes, with the bounds of a small deployment."""

    bounds: ClassVar[dict[str, float]] = {
        "contact_ms": 3000,
        "drain_ms": 2000,
        "config_apply_ms": 2000,
        "max_extension_ms": 5000,
        "rollback_slack_ms": 250,
    }


Case = Callable[[SmallCluster, Record], Awaitable[bool]]
"""Plays a case on a started cluster; returns whether the rule was broken."""


def prepare_nothing(_cluster: SmallCluster) -> None:
    """Leave a cluster as it is before its start."""


async def _play(
    record: Record,
    case: Case,
    prepare: Callable[[SmallCluster], None],
    cluster_type: type[SmallCluster],
) -> bool:
    cluster = cluster_type()
    try:
        prepare(cluster)
        async with asyncio.timeout(LONGEST_RUN_S):
            await cluster.start()
            record(f"started, with{'' if TROUBLE else 'out'} the disruption")
            return await case(cluster, record)
    finally:
        await cluster.stop()


def run_case(
    folder: Path,
    case: Case,
    prepare: Callable[[SmallCluster], None] = prepare_nothing,
    cluster_type: type[SmallCluster] = SmallCluster,
) -> None:
    """Run a case and exit with its status."""
    record = Record(folder / "record.txt")
    try:
        broken = asyncio.run(_play(record, case, prepare, cluster_type))
    except Exception:
        record(f"could not run: {traceback.format_exc()}")
        traceback.print_exc()
        sys.exit(NOT_RUN)
    record("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)


__all__ = ["TROUBLE", "Record", "SmallCluster", "run_case"]
