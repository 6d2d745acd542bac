"""Callers of a soak run whose requests end servers, and the check of where these were sent."""

import asyncio
import itertools
import random
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from tests.fatal_requests import MARK, MAX_ENDED, PAUSE_S
from tests.platform_cluster import CALL, STREAM, Node
from tests.soak.cluster import SoakServer
from tests.soak.interrupted_turns import is_majority_lost
from tests.soak.kinds import FaultKind, FaultOccurrence
from tests.soak.workload import Attempt, Callers
from waxwingglade.standins.registered_server import Crash, Run

HELD = b"ended or broke off under this request"
"""Part of the answer to a request that is held back."""

VISIBLE_CRASHES = tuple(kind for kind in Crash if kind is not Crash.UNFRAMED)
"""Ways in which servers end so that callers do not take an answer for complete, and come back."""

PATIENCE_S = 2.0
"""Seconds after which a caller gives up."""

FINAL_STATUSES = (200, 400, 401, 402, 403, 404, 413)
"""Statuses after which callers do not repeat a request."""

RETRIES = {STREAM: 1, CALL: 2}
"""Immediate retries of a caller, at another entry."""

ROUNDS = {STREAM: 3, CALL: 1}
"""Times that a caller sends a request with its retries, the first time included."""

WORK_PAUSE_S = (0.5, 3.0)
"""Shortest and longest pause between two requests that end servers."""

COPIES = (1, 1, 1, 3)
"""Numbers of copies of a request that callers may send at once."""

ANY_ZONE_SHARE = 0.3
"""Share of requests whose attempts reach entries of all zones."""

BUDGET = 400

REPORT_S = 0.3
"""Seconds after an end within which a fault may keep the entry from recording it."""

KILLING_KINDS = (FaultKind.KILL_ENTRY, FaultKind.KILL_ALL)
"""Faults that may end the only process that knows of an end of a server."""

HIDING_KINDS = (
    *KILLING_KINDS,
    FaultKind.PAUSE_ENTRY,
    FaultKind.SERVER_LINK,
    FaultKind.SILENT_LINKS,
)
"""Faults that may keep the entry from seeing an end of a server, or from recording it."""

RECORDED_S = 0.5
"""Seconds after which an end is recorded, so that no copy that a caller then sends is passed on."""

RECONNECT_S = 0.5
"""Seconds that entries need to reach a majority of the ledger again, once it is back."""


class FatalWork(msgspec.Struct):
    """A request that ends servers, with the ids of all its attempts."""

    body: bytes
    copies: int
    requests: set[str] = set()


class End(msgspec.Struct, frozen=True):
    """A server that ended under a request."""

    server: str
    at: float
    request: str


class FatalCallers:
    """Callers of requests that end servers, which run until the other callers stop.

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
        self.works: list[FatalWork] = []

    async def run(self, callers: int) -> None:
        """Run callers concurrently."""
        await asyncio.gather(*(self._requests(index) for index in range(callers)))

    async def _requests(self, index: int) -> None:
        for number in itertools.count():
            await asyncio.sleep(self.rng.uniform(*WORK_PAUSE_S))
            if self.callers.stopping:
                return
            name = f"f{index}-{number}"
            path = self.rng.choice((STREAM, CALL))
            work = FatalWork(MARK + name.encode(), self.rng.choice(COPIES))
            self.works.append(work)
            # Plain calls belong to a program or to none.
            program = name if path == STREAM or self.rng.random() < 0.5 else None
            entries = self._entries()
            copies = (self._repeat(work, path, program, entries) for _ in range(work.copies))
            await asyncio.gather(*copies)

    def _entries(self) -> list[Node]:
        """Return the entries that a caller reaches: those of its zone, or sometimes any."""
        entries = self.callers.cluster.entries
        zone = self.rng.choice(entries).zone
        if self.rng.random() < ANY_ZONE_SHARE:
            return entries
        return [entry for entry in entries if entry.zone == zone]

    async def _repeat(
        self, work: FatalWork, path: str, program: str | None, entries: Sequence[Node]
    ) -> None:
        """Send a request until it is answered or its retries are used up."""
        budget = BUDGET if program is not None else 0
        for number in range(ROUNDS[path]):
            if number:
                await asyncio.sleep(self.rng.uniform(*PAUSE_S))
            for _ in range(1 + RETRIES[path]):
                entry = self.rng.choice(entries)
                attempt = await self.callers.send(
                    path, work.body, None, program, budget, entry, patience_s=PATIENCE_S
                )
                work.requests.add(attempt.request)
                if attempt.status in FINAL_STATUSES:
                    return


def ends_of(servers: Iterable[SoakServer]) -> list[End]:
    """Return the servers that ended under requests."""
    return [
        End(server.name, server.crashed_at, server.crashed_by)
        for server in servers
        if server.crashed_at is not None
    ]


def check_fatal_requests(
    works: Sequence[FatalWork],
    attempts: Sequence[Attempt],
    runs: Sequence[Run],
    ends: Sequence[End],
    occurrences: Sequence[FaultOccurrence],
    ledgers: Sequence[str],
    hiding: Sequence[FaultKind] = HIDING_KINDS,
) -> list[str]:
    """Return the requests that were sent on after three servers had ended, over all their ids.

    An end does not count while one of the `hiding` faults affects the entry or the server, or the
    majority of the ledger is lost: the entry may not have seen or recorded it.

    Parameters
    ----------
    runs : sequence of Run
        Arrivals of requests at servers.
    occurrences : sequence of FaultOccurrence
        All faults of the run.
    ledgers : sequence of str
        Names of the ledger processes.
    """
    by_id = {attempt.request: attempt for attempt in attempts}
    runs_by_id: defaultdict[str, list[Run]] = defaultdict(list)
    for run in runs:
        runs_by_id[run.request].append(run)
    violations = []
    for work in works:
        counted = [
            end
            for end in sorted(ends, key=lambda each: each.at)
            if end.request in work.requests
            and not _is_excused(end, by_id[end.request], occurrences, ledgers, hiding)
        ]
        if len(counted) < MAX_ENDED:
            continue
        third_at = counted[MAX_ENDED - 1].at
        sent = [run for request in work.requests for run in runs_by_id[request]]
        late = [
            run
            for run in sent
            if _is_late(run, by_id[run.request], third_at, work.copies)
            and not _lacks_ledger(by_id[run.request].sent_at, run.began_at, occurrences, ledgers)
        ]
        if late:
            violations.append(
                f"{sorted(work.requests)}: {len(late)} sends after {MAX_ENDED} servers had ended, "
                f"the first {late[0].began_at - third_at:.3f} s later by "
                f"{by_id[late[0].request].entry}; {len(counted)} ended, {work.copies} copies"
            )
        if len(counted) > MAX_ENDED + work.copies - 1:
            violations.append(
                f"{sorted(work.requests)}: {len(counted)} servers ended, {work.copies} copies"
            )
    return violations + _wrongly_held(works, attempts)


def _is_late(run: Run, attempt: Attempt, third_at: float, copies: int) -> bool:
    if copies == 1:
        return run.began_at > third_at
    # Copies that were on their way may arrive until the end is recorded.
    return attempt.sent_at > third_at + RECORDED_S


def _is_excused(
    end: End,
    attempt: Attempt,
    occurrences: Sequence[FaultOccurrence],
    ledgers: Sequence[str],
    hiding: Sequence[FaultKind],
) -> bool:
    """Return whether a fault may have kept the entry from seeing or recording an end."""
    overlapping = [
        each
        for each in occurrences
        if each.kind in hiding and each.is_active(end.at, end.at + REPORT_S)
    ]
    if any(each.affects(attempt.entry) or each.affects(end.server) for each in overlapping):
        return True
    return _lacks_ledger(end.at, end.at + REPORT_S, occurrences, ledgers)


def _lacks_ledger(
    begin: float, end: float, occurrences: Sequence[FaultOccurrence], ledgers: Sequence[str]
) -> bool:
    """Return whether a majority of the ledger was lost at a moment of a time span or before it."""
    begin -= RECONNECT_S
    overlapping = [each for each in occurrences if each.is_active(begin, end)]
    moments = [max(begin, each.began_at) for each in overlapping]
    return any(is_majority_lost(overlapping, moment, ledgers) for moment in moments)


def _wrongly_held(works: Sequence[FatalWork], attempts: Sequence[Attempt]) -> list[str]:
    """Return the requests that were held back though they end no server and are not repeated."""
    fatal: Mapping[str, FatalWork] = {name: work for work in works for name in work.requests}
    return [
        f"{attempt.request}: held back, though it ends no server: {attempt.answer.decode()}"
        for attempt in attempts
        if attempt.request not in fatal and HELD in attempt.answer
    ]


__all__ = [
    "HIDING_KINDS",
    "KILLING_KINDS",
    "MARK",
    "VISIBLE_CRASHES",
    "End",
    "FatalCallers",
    "FatalWork",
    "check_fatal_requests",
    "ends_of",
]
