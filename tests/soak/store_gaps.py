"""Faults of a soak run that keep changes of the store from its followers, or lists from being read.

Changes are made during each of them: a route is added, which is sent to all entries once it has to
be in force, and servers leave.
"""

import asyncio
import random
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable, Sequence
from enum import Enum

import msgspec

from tests.platform_cluster import HOST, Node
from tests.soak.cut_heads import draw_cut
from tests.soak.faults import Faults
from tests.soak.gap_allowance import allowance_s
from tests.soak.kinds import FaultKind, FaultOccurrence
from tests.soak.leaving_targets import ENTRY_PREFIX, is_excused
from tests.soak.odd_entries import ODD_TEXTS
from tests.soak.workload import NO_ANSWER, Callers
from waxwingglade.standins.metadata_store import PAGE_ITEMS, ListingCut

APPLY_S = 2.0
"""Seconds after the store has accepted a route, after which all entries serve it.  This is the
platform's ``config_apply_ms``."""

SERVE_S = 3.0
"""Seconds from then on within which a route has to be served."""

CONTACT_S = 3.0
"""Seconds for which a process must have been without a fault.  This is the platform's
``contact_ms``."""

GAP_S = (0.3, 1.5)
SILENT_S = 1.0
PAUSE_S = (0.0, 2.0)
"""Seconds between the faults of a series, the shortest and the longest."""

ODD_S = (1.0, 4.0)
"""Seconds after which an odd entry is removed, the shortest and the longest."""

SMALL_PAGE = 3
POLL_S = 0.05
MISSING, SERVED = 404, 200

HARMLESS = (
    FaultKind.HIDDEN_CHANGES,
    FaultKind.SILENT_WATCHES,
    FaultKind.CUT_LISTINGS,
    FaultKind.ODD_ENTRIES,
    FaultKind.ODD_ORDERS,
    FaultKind.LARGE_ITEMS,
    FaultKind.CONFIGURE,
    FaultKind.SERVER_LEAVES,
    FaultKind.SERVER_DEREGISTERS,
    FaultKind.STORE_COMPACT,
    FaultKind.STORE_REFUSES,
    FaultKind.HUP,
)
"""Faults beside which an added route is served."""


class Ending(Enum):
    """What becomes of changes that watches did not show."""

    KEPT = "later watches show them"
    DROPPED = "the history is dropped"
    NEVER_SHOWN = "no watch ever shows them, but later ones"


class Probe(msgspec.Struct, frozen=True):
    """A request to an added route, once the route had to be in force.

    Parameters
    ----------
    path : str
        Path of the route.
    added_at, sent_at, ended_at : float
        When the store had accepted the route, when the request was sent and when it was answered,
        in monotonic seconds.
    """

    path: str
    entry: str
    added_at: float
    sent_at: float
    ended_at: float
    status: int


class StoreGaps:
    """Injects these faults, among those of a run.

    Parameters
    ----------
    faults : Faults
        The faults of the run, of which these become a part.
    callers : Callers
        Sends the requests to added routes.
    rng : random.Random
        Determines the changes; separate from that of the faults.

    Attributes
    ----------
    probes : list of Probe
        Requests to added routes.
    """

    def __init__(self, faults: Faults, callers: Callers, rng: random.Random) -> None:
        self.faults = faults
        self.callers = callers
        self.rng = rng
        self.cluster = faults.cluster
        self.store = faults.cluster.store
        self.probes: list[Probe] = []
        self.lock = asyncio.Lock()
        self.numbers = iter(range(1, 10_000))
        self.probe_tasks: set[asyncio.Task] = set()
        self.cluster.relays.passes_resets = FaultKind.CUT_HEADS in faults.kinds
        faults.actions |= {
            FaultKind.HIDDEN_CHANGES: lambda _: self._in_series(self._hide_changes),
            FaultKind.SILENT_WATCHES: lambda _: self._in_series(self._silence_watches),
            FaultKind.CUT_LISTINGS: lambda _: self._in_series(self._cut_listings),
            FaultKind.ODD_ENTRIES: self._write_odd_entries,
            FaultKind.CUT_HEADS: self._cut_heads,
        }

    async def wait(self) -> None:
        """Wait until all added routes have been probed; raise an error that occurred meanwhile."""
        await asyncio.gather(*self.probe_tasks)

    # Changes

    async def change(self) -> None:
        """Add a route, and mostly let a server leave."""
        self._add_route()
        if self.rng.random() < 0.7:
            reports = self.rng.random() < 0.7
            await self.cluster.replace_server(self.rng, reports)

    def _add_route(self) -> None:
        path = f"/gap{next(self.numbers)}/"
        route = {"name": path, "host": HOST, "path_prefix": path, "kind": "safe"}
        self.faults.add_routes([{**route, "service": "notes", "max_attempts": 1}])
        added_at = time.monotonic()
        for entry in self.cluster.entries:
            self.probe_tasks.add(asyncio.create_task(self._probe(path, entry, added_at)))

    async def _probe(self, path: str, entry: Node, added_at: float) -> None:
        """Send requests to an added route until it is served, from when it has to be in force."""
        while time.monotonic() <= self._due_at(added_at):
            await asyncio.sleep(POLL_S)
        end_at = time.monotonic() + SERVE_S
        status = NO_ANSWER
        while status != SERVED and time.monotonic() < end_at:
            body = f"{path} at {entry.name} {end_at - time.monotonic()}".encode()
            attempt = await self.callers.send(path, body, entry=entry)
            status = attempt.status if attempt.whole else NO_ANSWER
            self.probes.append(
                Probe(path, entry.name, added_at, attempt.sent_at, attempt.ended_at, status)
            )
            if attempt.status == MISSING:
                # Whether it counts is determined from the probe.
                self.callers.attempts.remove(attempt)
            if status != SERVED:
                await asyncio.sleep(POLL_S)

    def _due_at(self, added_at: float) -> float:
        return added_at + APPLY_S + allowance_s(self.faults.occurrences, added_at, APPLY_S)

    # Faults

    async def _in_series(self, gap: Callable[[], Awaitable[None]]) -> None:
        """Inject a fault up to three times, unless another of these series is in progress."""
        if self.lock.locked():
            return
        async with self.lock:
            for _ in range(self.rng.randint(1, 3)):
                await gap()
                await asyncio.sleep(self.rng.uniform(*PAUSE_S))

    async def _hide_changes(self) -> None:
        """Hide changes from all watches, or from those of some processes."""
        nodes = self.cluster.nodes()
        blind = self.rng.choice([[], self.rng.sample(nodes, self.rng.randrange(1, len(nodes)))])
        names = [node.name for node in blind] or ["store"]
        occurrence = self.faults.begin(FaultKind.HIDDEN_CHANGES, *names)
        ending = self.rng.choice(list(Ending))
        self.store.blind = {self.cluster.store_address(node.name) for node in blind}
        self.store.hides_changes = True
        await self._change_within(self.rng.uniform(*GAP_S))
        self.store.hides_changes = False
        if ending is Ending.DROPPED:
            self.store.compact()
        if ending is Ending.KEPT:
            self.store.hidden.clear()
            self.store.hidden_from.clear()
        self.faults.end(occurrence)

    async def _silence_watches(self) -> None:
        occurrence = self.faults.begin(FaultKind.SILENT_WATCHES, "store")
        self.store.silences_watches = True
        await self._change_within(SILENT_S)
        self.store.compact()
        self.store.cut_watches()
        self.faults.end(occurrence)

    async def _cut_listings(self) -> None:
        """Cut listings while all processes need one."""
        occurrence = self.faults.begin(FaultKind.CUT_LISTINGS, "store")
        self.store.listing_cut = self.rng.choice(list(ListingCut))
        self.store.page_items = SMALL_PAGE
        self._add_route()
        self.store.compact()
        await self._change_within(self.rng.uniform(*GAP_S))
        self.store.listing_cut = None
        self.store.page_items = PAGE_ITEMS
        self.faults.end(occurrence)

    async def _change_within(self, seconds: float) -> None:
        """Make changes at a random moment of a time span."""
        before_s = self.rng.random() * seconds
        await asyncio.sleep(before_s)
        await self.change()
        await asyncio.sleep(seconds - before_s)

    async def _write_odd_entries(self, _lasts_s: float) -> None:
        """Leave odd entries, make changes beside them, and remove them."""
        occurrence = self.faults.begin(FaultKind.ODD_ENTRIES, "store")
        names = self.rng.sample(list(ODD_TEXTS), self.rng.randint(1, 2))
        keys = [f"servers/odd-{next(self.numbers)}" for _ in names]
        for key, name in zip(keys, names, strict=True):
            self.store.put_text(key, ODD_TEXTS[name])
        await asyncio.sleep(self.rng.uniform(*PAUSE_S))
        await self.change()
        await asyncio.sleep(self.rng.uniform(*ODD_S))
        for key in keys:
            self.store.remove(key)
        self.faults.end(occurrence)

    async def _cut_heads(self, lasts_s: float) -> None:
        """Let a server close in the middle of the heads of its answers."""
        server = self.rng.choice([*self.cluster.engines, *self.cluster.notes])
        occurrence = self.faults.begin(FaultKind.CUT_HEADS, server.name)
        end_at = time.monotonic() + lasts_s / 2
        while time.monotonic() < end_at:
            server.head_cut = draw_cut(self.rng)
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        server.head_cut = None
        self.faults.end(occurrence)


def check_added_routes(
    probes: Iterable[Probe], faults: Sequence[FaultOccurrence], ledgers: Iterable[str]
) -> list[str]:
    """Return the entries that did not serve an added route when they had to.

    An entry that denies the route is excused only by faults that kept it from learning of changes;
    one that does not serve it for other reasons also by any harm.

    Parameters
    ----------
    faults : sequence of FaultOccurrence
        Faults of the run.
    ledgers : iterable of str
        Names of the ledger processes.
    """
    ledgers = tuple(ledgers)
    by_place: defaultdict[tuple[str, str], list[Probe]] = defaultdict(list)
    for probe in probes:
        by_place[probe.path, probe.entry].append(probe)
    violations = []
    for (path, entry), sent in by_place.items():
        denied = [
            each
            for each in sent
            if each.status == MISSING
            and not is_excused(entry, each.added_at, each.sent_at, faults, ledgers)
        ]
        if denied:
            late_s = denied[0].sent_at - denied[0].added_at
            violations.append(
                f"{path} missing at {entry} {late_s:.2f} s after it was added, {len(denied)} times"
            )
        last = sent[-1]
        if last.status not in (SERVED, MISSING) and not _is_harmed(last, faults):
            late_s = last.ended_at - last.added_at
            violations.append(
                f"{path} not served by {entry} {late_s:.2f} s after it was added: "
                f"status {last.status}"
            )
    return violations


def _is_harmed(probe: Probe, faults: Iterable[FaultOccurrence]) -> bool:
    return any(
        each.is_active(probe.ended_at - SERVE_S - CONTACT_S, probe.ended_at)
        for each in faults
        if each.kind not in HARMLESS and not _is_of_other_entries(each, probe.entry)
    )


def _is_of_other_entries(fault: FaultOccurrence, entry: str) -> bool:
    return all(name.startswith(ENTRY_PREFIX) and name != entry for name in fault.where.split())


__all__ = ["MISSING", "SERVED", "Probe", "StoreGaps", "check_added_routes"]
