"""Faults of a soak run in which others write to the store what no process can use.

Sound changes are made beside them: routes, servers that leave, and orders to retire VMs.
"""

import asyncio
import json
import random
import time

from tests.soak.faults import Faults
from tests.soak.kinds import FaultKind
from tests.soak.store_gaps import ODD_S, StoreGaps
from waxwingglade.standins.metadata_store import MAX_KEY_BYTES

ORDER_PREFIX, STATE_PREFIX = "op/retire/", "status/retire/"
DEADLINE_S = 5
"""Seconds within which a VM without a member of the ledger is reported as completed."""

LARGE_BYTES = 1_000_000
LARGE_ITEMS = (4, 6)
"""Number of items written at once, the least and the most.  Those of several occurrences may be
more than one answer of the store can bring."""

POLL_S = 0.05


class ForeignWrites:
    """Injects these faults, among those of a run.

    Parameters
    ----------
    faults : Faults
        The faults of the run, of which these become a part.
    gaps : StoreGaps
        Makes the changes beside them.
    rng : random.Random
        Determines what is written; separate from that of the faults.

    Attributes
    ----------
    ordered : list of str
        VMs of valid orders to retire.
    """

    def __init__(self, faults: Faults, gaps: StoreGaps, rng: random.Random) -> None:
        self.faults = faults
        self.gaps = gaps
        self.rng = rng
        self.store = faults.cluster.store
        self.ordered: list[str] = []
        self.numbers = iter(range(1, 10_000))
        faults.actions |= {
            FaultKind.ODD_ORDERS: self._order_oddly,
            FaultKind.LARGE_ITEMS: self._write_large_items,
        }

    async def _order_oddly(self, _lasts_s: float) -> None:
        """Order to retire a VM whose state has no valid key, and another one."""
        occurrence = self.faults.begin(FaultKind.ODD_ORDERS, "store")
        number = next(self.numbers)
        longest = MAX_KEY_BYTES - len(ORDER_PREFIX)
        shortest = MAX_KEY_BYTES - len(STATE_PREFIX) + 1
        name = f"{number}-".ljust(self.rng.randint(shortest, longest), "x")
        for vm in self.rng.sample([name, f"gone-{number}"], 2):
            self.store.put(ORDER_PREFIX + vm, {"deadline_s": DEADLINE_S})
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        self.ordered.append(f"gone-{number}")
        self.faults.end(occurrence)

    async def _write_large_items(self, _lasts_s: float) -> None:
        """Write large items at once, make changes beside them, and remove them."""
        occurrence = self.faults.begin(FaultKind.LARGE_ITEMS, "store")
        prefix = self.rng.choice(["other/", "servers/"])
        keys = [
            f"{prefix}large-{next(self.numbers)}" for _ in range(self.rng.randint(*LARGE_ITEMS))
        ]
        for key in keys:
            self.store.put_bytes(key, bytes(LARGE_BYTES))
        await self.gaps.change()
        await asyncio.sleep(self.rng.uniform(*ODD_S))
        for key in keys:
            self.store.remove(key)
        self.faults.end(occurrence)

    async def check(self) -> list[str]:
        """Return the VMs that are not reported in time, once all faults have ended."""
        end_at = time.monotonic() + DEADLINE_S
        while (missing := self._unreported()) and time.monotonic() < end_at:
            await asyncio.sleep(POLL_S)
        return [f"{vm} is not reported as completed" for vm in missing]

    def _unreported(self) -> list[str]:
        return [
            vm
            for vm in self.ordered
            if json.loads(self.store.value(STATE_PREFIX + vm) or b"{}").get("state") != "completed"
        ]


__all__ = ["ForeignWrites"]
