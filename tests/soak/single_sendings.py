"""Callers of a soak run whose calls an entry may send once only, and the check of their answers."""

import asyncio
import itertools
import random
from collections.abc import Mapping, Sequence

from tests.one_sending import DRAFTS, READS, ROUTES
from tests.soak.cluster import SoakCluster
from tests.soak.faults import Faults
from tests.soak.kinds import EVERYWHERE, FaultKind, FaultOccurrence
from tests.soak.workload import Attempt, Callers

MAX_PAUSE_S = 0.6
"""Longest pause between two requests of a caller, so that entries are idle at times."""

ROUTES_WAIT_S = 10.0
CONTACT_S = 3.0
"""Seconds after the end of a fault within which a process may still be affected."""

NO_EXCUSES = (
    FaultKind.SERVER_PAUSES,
    FaultKind.CHANGE_ROUTES,
    FaultKind.CONFIGURE,
    FaultKind.HUP,
    FaultKind.STOP_ENTRY,
)
"""Planned work, and pauses of sound servers, which may cut no answer."""


async def put_routes(cluster: SoakCluster, callers: Callers, faults: Faults) -> None:
    """Put the routes into force, and wait until all entries serve them."""
    faults.add_routes(ROUTES)
    async with asyncio.timeout(ROUTES_WAIT_S):
        for entry in cluster.entries:
            for path in (DRAFTS, READS):
                while True:
                    attempt = await callers.send(path, b"is in force", entry=entry)
                    if attempt.status == 200:
                        break
                    # The route is not in force yet, which must not count as a denied request.
                    callers.attempts.remove(attempt)
                    await asyncio.sleep(0.1)


class SingleCallers:
    """Callers of these routes, which run until the other callers stop.

    Parameters
    ----------
    callers : Callers
        Sends the requests.
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
        for number in itertools.count():
            await asyncio.sleep(self.rng.uniform(0.0, MAX_PAUSE_S))
            if self.callers.stopping:
                return
            path = self.rng.choice((DRAFTS, DRAFTS, READS))
            account = self.callers.draw_account()
            await self.callers.send(path, f"single {index} {number}".encode(), account=account)


def check_single_sendings(
    attempts: Sequence[Attempt], servers: Mapping[str, str], occurrences: Sequence[FaultOccurrence]
) -> list[str]:
    """Return the requests that a sound server ran and whose caller got no complete answer.

    Parameters
    ----------
    servers : mapping
        Server that ran each request.
    """
    violations = []
    for attempt in attempts:
        server = servers.get(attempt.request)
        is_answered = attempt.status == 200 and attempt.whole
        if attempt.path not in (DRAFTS, READS) or server is None or is_answered:
            continue
        if not _is_excused(attempt, server, occurrences):
            violations.append(
                f"{attempt.request} ({attempt.path} at {attempt.entry}): status {attempt.status}, "
                f"{attempt.events} events after {attempt.ended_at - attempt.sent_at:.2f} s, "
                f"though {server} was sound"
            )
    return violations


def _is_excused(attempt: Attempt, server: str, occurrences: Sequence[FaultOccurrence]) -> bool:
    return any(
        each.kind not in NO_EXCUSES
        and each.overlaps(attempt.sent_at - CONTACT_S, attempt.ended_at)
        and (each.affects(attempt.entry) or each.affects(server) or each.where == EVERYWHERE)
        for each in occurrences
    )


__all__ = ["SingleCallers", "check_single_sendings", "put_routes"]
