"""Cost of making a turn durable in three ways, compared in one run.

    python -m bench.durable_turn [--turns 300] [--programs 32]

The ways are: in memory only; on a majority of three copies at other entries, as the product does;
and one write to the store for each record.  Entries and the store are tasks of one process
that communicate over the loopback address.  A turn consists of two records of 2 kB.
"""

import argparse
import asyncio
import json
import statistics
import time
from collections.abc import Awaitable, Callable

import zmq.asyncio

from waxwingglade.base import (
    CallId,
    EntryId,
    EntryRef,
    Epoch,
    Incarnation,
    LogId,
    ModelName,
    ProgramId,
    ZoneId,
)
from waxwingglade.connection.peer import PeerLinks, PeerServer
from waxwingglade.connection.peer_messages import AppendRecords
from waxwingglade.connection.store import StoreClient
from waxwingglade.process.copies import Copies
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.program import (
    Amount,
    CallEnded,
    CallStarted,
    Done,
    Message,
    MessageRole,
    ModelCall,
)
from waxwingglade.settings import DurabilitySettings, StoreSettings
from waxwingglade.standins import StoreLimits, StoreStandin

LOG = LogId("z.e.i.home0")
TEXT = "x" * 2000
UNLIMITED_CALLS_PER_S = 1_000_000.0

Turn = Callable[[int], Awaitable[None]]


def records_of(number: int) -> list:
    """Return the two records of one turn."""
    message = Message(MessageRole.USER, TEXT)
    call = ModelCall(CallId(f"c{number}"), ModelName("m"), [message])
    started = CallStarted(call, Amount(), None, 0.0)
    ended = CallEnded(call.call, Done(TEXT), Amount(), 0.0)
    return [started, ended]


async def measure(turn: Turn, turns: int, programs: int) -> dict[str, float]:
    """Return the latency of sequential turns, and the rate of turns with concurrent programs."""
    latencies = []
    for number in range(turns):
        started_at = time.perf_counter()
        await turn(number)
        latencies.append(time.perf_counter() - started_at)

    async def run_program(first: int) -> None:
        for number in range(first, first + turns):
            await turn(number)

    started_at = time.perf_counter()
    await asyncio.gather(*(run_program(turns * (1 + index)) for index in range(programs)))
    elapsed = time.perf_counter() - started_at
    return {
        "p50_ms": 1000 * statistics.median(latencies),
        "p99_ms": 1000 * statistics.quantiles(latencies, n=100)[98],
        "turns_per_s": turns * programs / elapsed,
    }


async def with_copies(holders: int, turns: int, programs: int) -> dict[str, float]:
    """Measure a log with a number of copy holders besides its owner."""
    context = zmq.asyncio.Context()
    owner = EntryRef(EntryId("e0"), Incarnation("i0"), ZoneId("z"), "")
    links = PeerLinks(context)
    servers, refs = [], [owner]
    for number in range(1, holders + 1):
        copies = Copies(lambda _: None, lambda _: None)

        async def answer(body, reply, copies=copies) -> None:
            if isinstance(body, AppendRecords):
                await reply(copies.append(body), True)

        incarnation = Incarnation(f"i{number}")
        server = PeerServer(context, incarnation.__eq__, answer)
        address = server.start("127.0.0.1", 0)
        servers.append(server)
        refs.append(EntryRef(EntryId(f"e{number}"), incarnation, ZoneId("z"), address))
    owned = OwnedLog(
        log=LOG,
        epoch=Epoch(1),
        own=owner,
        copies=refs,
        records=[],
        links=links,
        settings=DurabilitySettings(),
        alive=lambda _: True,
    )
    owned.start()

    async def turn(number: int) -> None:
        for body in records_of(number):
            (await owned.append(ProgramId(f"{LOG}.p"), body)).unwrap()

    result = await measure(turn, turns, programs)
    result["bytes_sent_per_turn"] = sum(link.bytes_sent for link in links.links.values()) / (
        turns * (programs + 1)
    )
    await owned.stop()
    await links.close()
    for server in servers:
        await server.stop()
    return result


async def with_store(turns: int, programs: int) -> dict[str, float]:
    """Measure one write to the store for each record."""
    standin = StoreStandin(StoreLimits(UNLIMITED_CALLS_PER_S, UNLIMITED_CALLS_PER_S))
    await standin.start()
    settings = StoreSettings(urls=[standin.url], calls_per_second=UNLIMITED_CALLS_PER_S)
    store = StoreClient(settings)

    async def turn(number: int) -> None:
        for index, _ in enumerate(records_of(number)):
            (await store.put_if(f"turns/{number}/{index}", TEXT.encode(), 0)).unwrap()

    result = await measure(turn, turns, programs)
    result["store_calls_per_turn"] = sum(store.calls_by_purpose.values()) / (turns * (programs + 1))
    await store.close()
    await standin.stop()
    return result


async def run(turns: int, programs: int) -> dict:
    """Measure the three ways and return their results and ratios."""
    memory = await with_copies(0, turns, programs)
    copies = await with_copies(2, turns, programs)
    store = await with_store(max(20, turns // 10), programs)
    return {
        "memory": memory,
        "majority_of_three": copies,
        "store_write": store,
        "ratios": {
            "store_to_copies_p50": store["p50_ms"] / copies["p50_ms"],
            "copies_to_store_turns_per_s": copies["turns_per_s"] / store["turns_per_s"],
        },
    }


def main() -> None:
    """Run the benchmark and print the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--turns", type=int, default=300)
    parser.add_argument("--programs", type=int, default=32)
    arguments = parser.parse_args()
    result = asyncio.run(run(arguments.turns, arguments.programs))
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
