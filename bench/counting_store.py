"""The stand-in of the store, which also counts its calls.

python -m bench.counting_store
"""

import asyncio
from collections import Counter

import msgspec

from waxwingglade.standins import StoreStandin
from waxwingglade.standins.store_calls import Reply, is_write
from waxwingglade.standins.store_faults import CallRates, StoreLimits

COUNTS_PATH = "/v3/bench/counts"
NO_LIMIT = 1e9


class StoreCounts(msgspec.Struct, frozen=True):
    """Calls so far by path, the writes among them, and the open watches."""

    calls: dict[str, int]
    writes: int
    watches: int


class CountingRates(CallRates):
    """Store limits that also count open watches."""

    def __init__(self) -> None:
        super().__init__(StoreLimits(NO_LIMIT, NO_LIMIT))
        self.waiting = 0

    def open_watch(self) -> bool:
        """Count an opened watch."""
        self.waiting += 1
        return super().open_watch()

    def close_watch(self) -> None:
        """Count a closed watch."""
        self.waiting -= 1
        super().close_watch()


class CountingStore(StoreStandin):
    """The stand-in with a count of all calls that it runs."""

    def __init__(self) -> None:
        super().__init__()
        self.rates: CountingRates = CountingRates()
        self.calls: Counter[str] = Counter()
        self.writes = 0

    def run(self, path: str, body: bytes) -> Reply:
        """Run a call and count it."""
        if path == COUNTS_PATH:
            counts = StoreCounts(dict(self.calls), self.writes, self.rates.waiting)
            return Reply(200, msgspec.json.encode(counts))
        self.calls[path] += 1
        self.writes += is_write(path, body)
        return super().run(path, body)


async def serve() -> None:
    """Print the address and serve until the process is killed."""
    store = CountingStore()
    await store.start()
    print(store.url, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve())
