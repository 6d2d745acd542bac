"""Callers that use connections to stopping entries for as long as they can, and their checks.

Their requests take a random time at their targets.  Whatever an entry accepts and sends to a target
before it exits must be answered; it has to refuse what it could not complete.
"""

import asyncio
import itertools
import random
from collections.abc import Sequence

from tests.platform_cluster import CALL, GRACE_S, HOST, ORDER, ROUTE_S, STREAM, Node
from tests.soak.cluster import SoakCluster
from tests.soak.faults import Faults
from tests.soak.kinds import FaultKind, FaultOccurrence
from tests.soak.workload import Attempt, Callers

QUICK = "/quick/"
QUICK_S = 1.0
"""Path of a route whose calls may not be repeated, and its timeout in seconds."""

ROUTE = {
    "name": "quick",
    "path_prefix": QUICK,
    "kind": "unsafe",
    "service": "notes",
    "host": HOST,
    "timeout_ms": int(1000 * QUICK_S),
    "target_latency_ms": 200,
    "max_attempts": 2,
}

WORK_MS = (0, 50, 300, 1500, 2500, 4200, 4700)
"""Milliseconds for which targets work on a request."""

MAX_PAUSE_S = 0.4
ROUTES_WAIT_S = 10.0
COMPLETE_S = 10.0
"""Seconds within which all members of the ledger have the same turns once nothing changes."""

EXCUSED_SENT_S = 3.0
EXCUSED_SHARE = 5 / 6
"""A request that was sent at most this many seconds after SIGTERM may be cut off in the rest of the
grace period after this share."""


async def put_route(cluster: SoakCluster, callers: Callers, faults: Faults) -> None:
    """Put the quick route into force, and wait until all entries serve it."""
    faults.add_routes([ROUTE])
    async with asyncio.timeout(ROUTES_WAIT_S):
        for entry in cluster.entries:
            while (attempt := await callers.send(QUICK, b"ready?", entry=entry)).status != 200:
                # The route is not in force yet, which must not count as a denied request.
                callers.attempts.remove(attempt)
                await asyncio.sleep(0.1)


class StopCallers:
    """Callers of requests that take long, which run until the other callers stop.

    Parameters
    ----------
    callers : Callers
        Sends the requests, on connections that are kept open.
    rng : random.Random
        Determines the requests; separate from that of the callers, whose requests are unaffected.
    """

    def __init__(self, callers: Callers, rng: random.Random) -> None:
        self.callers = callers
        self.rng = rng

    async def run(self, count: int) -> None:
        """Run callers concurrently."""
        await asyncio.gather(*(self._requests(index) for index in range(count)))

    async def _requests(self, index: int) -> None:
        previous: str | None = None
        for number in itertools.count():
            await asyncio.sleep(self.rng.uniform(0.0, MAX_PAUSE_S))
            if self.callers.stopping:
                return
            path = self.rng.choice((CALL, ORDER, QUICK, STREAM))
            work_ms = self.rng.choice([each for each in WORK_MS if each < 1000 * timeout_of(path)])
            body = f"stop {index} {number} takes {work_ms} ms".encode()
            if path != STREAM:
                await self.callers.send(path, body)
                continue
            attempt = await self.callers.send(path, body, previous, f"stop-{index}", 1_000_000)
            if attempt.status == 200 and attempt.whole:
                previous = attempt.request


def timeout_of(path: str) -> float:
    """Return the timeout in seconds of the route of a path."""
    return QUICK_S if path == QUICK else ROUTE_S


def check_planned_stops(
    attempts: Sequence[Attempt], ran: set[str], occurrences: Sequence[FaultOccurrence]
) -> list[str]:
    """Return the requests that ran and were cut off by the planned stop of their entry.

    Parameters
    ----------
    ran : set of str
        Requests that targets ran.
    """
    stops = (FaultKind.STOP_ENTRY, FaultKind.SIGNAL_STOPPING)
    violations = []
    for stop in (each for each in occurrences if each.kind in stops):
        for attempt in attempts:
            if (
                attempt.entry == stop.where
                and attempt.request in ran
                and not attempt.framed
                and attempt.sent_at <= stop.ended_at
                and attempt.ended_at >= stop.began_at
                and not _is_excused(attempt, stop, occurrences)
            ):
                sent_s, cut_s = (at - stop.began_at for at in (attempt.sent_at, attempt.ended_at))
                violations.append(
                    f"{attempt.request} ({attempt.path}): sent {sent_s:.2f} s after SIGTERM to "
                    f"{stop.where}, cut off {cut_s:.2f} s after it"
                )
    return violations


def _is_excused(
    attempt: Attempt, stop: FaultOccurrence, occurrences: Sequence[FaultOccurrence]
) -> bool:
    """Return whether something else than the stop ended a request, or it may have."""
    if attempt.ended_at - attempt.sent_at >= timeout_of(attempt.path):
        return True
    since_stop_s = attempt.ended_at - stop.began_at
    sent_early = attempt.sent_at <= stop.began_at + EXCUSED_SENT_S
    if sent_early and since_stop_s >= EXCUSED_SHARE * GRACE_S:
        return True
    planned = (
        FaultKind.STOP_ENTRY,
        FaultKind.SIGNAL_STOPPING,
        FaultKind.STOP_LEDGER,
        FaultKind.HUP,
        FaultKind.CONFIGURE,
        FaultKind.CHANGE_ROUTES,
        FaultKind.EMPTY_LEDGER,
    )
    return any(
        each.kind not in planned
        and each.overlaps(attempt.sent_at - EXCUSED_SENT_S, attempt.ended_at)
        and (each.affects(attempt.entry) or _is_ledger(each))
        for each in occurrences
    )


def _is_ledger(occurrence: FaultOccurrence) -> bool:
    return "storage" in occurrence.where


async def check_members_complete(cluster: SoakCluster) -> list[str]:
    """Return a violation if the members of the ledger do not have the same turns after a while.

    Expired turns are left out, since each member removes them at times of its own.
    """
    turns: dict[str, str] = {}
    try:
        async with asyncio.timeout(COMPLETE_S):
            while True:
                members = set(cluster.members())
                nodes = [node for node in cluster.ledgers if node.name in members]
                turns = {node.name: await _turns(cluster, node) for node in nodes}
                if turns and len(set(turns.values())) == 1:
                    return []
                await asyncio.sleep(0.2)
    except TimeoutError:
        return [f"members of the ledger stay without some turns: {turns}"]


async def _turns(cluster: SoakCluster, node: Node) -> str:
    lines = (await cluster.page(node)).splitlines()
    wanted = ('{name="unexpired_turns"}', '{name="turn_gaps"}')
    return " ".join(
        line.rpartition(" ")[2] for line in lines if any(each in line for each in wanted)
    )


__all__ = ["StopCallers", "check_members_complete", "check_planned_stops", "put_route"]
