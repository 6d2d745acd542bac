"""Restarts processes that end by themselves, as the platform does."""

import asyncio
import signal
from subprocess import Popen

from tests.platform_cluster import Node
from tests.soak.cluster import SoakCluster

POLL_S = 0.05
RESTART_DELAY_S = 0.5
"""Seconds after which a process is restarted; the platform documents "a short delay"."""

FAULT_STATUSES = (0, -signal.SIGKILL)
"""Exit statuses of processes that a fault stops or kills, and restarts itself."""


class Supervisor:
    """Watches the processes of a cluster.

    Parameters
    ----------
    cluster : SoakCluster
        The cluster.
    restarts : bool
        Whether processes that ended by themselves are restarted.

    Attributes
    ----------
    violations : list of str
        Processes that ended by themselves.
    """

    def __init__(self, cluster: SoakCluster, restarts: bool = True) -> None:
        self.cluster = cluster
        self.restarts = restarts
        self.violations: list[str] = []
        self.watch_tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start watching."""
        self.watch_tasks = [asyncio.create_task(self._watch(node)) for node in self.cluster.nodes()]

    async def stop(self) -> None:
        """Stop watching; raise an error that occurred in a watching task."""
        for task in self.watch_tasks:
            task.cancel()
        for outcome in await asyncio.gather(*self.watch_tasks, return_exceptions=True):
            if not isinstance(outcome, asyncio.CancelledError):
                raise outcome

    async def _watch(self, node: Node) -> None:
        reported: Popen | None = None
        while True:
            await asyncio.sleep(POLL_S)
            process = node.process
            if process is None or process is reported or not _ended_by_itself(process):
                continue
            reported = process
            self.violations.append(f"{node.name} ended by itself with status {process.returncode}")
            await asyncio.sleep(RESTART_DELAY_S)
            if node.process is process and self.restarts:
                node.start()


def _ended_by_itself(process: Popen) -> bool:
    status = process.poll()
    return status is not None and status not in FAULT_STATUSES


__all__ = ["Supervisor"]
