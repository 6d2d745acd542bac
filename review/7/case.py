"""Many callers come at once, and the store machines fail together at that moment."""

import asyncio
import os
import random
import signal
import time
from collections import Counter
from pathlib import Path

from review.cluster import TROUBLE, Record, SmallCluster, run_case
from tests.platform_cluster import HOST, Node, PlatformCluster, configuration
from waxwingglade.base import WaxwinggladeError
from waxwingglade.standins.metadata_store import MetadataStore
from waxwingglade.standins.registered_server import RegisteredServer
from waxwingglade.transport import HttpRequest, HttpResponse, open_connection

LEFT_OUT = os.environ.get("LEAVE_OUT", "")
"""``crowd`` or ``fault`` leaves out only this part of the disruption."""

ENTRIES, LEDGERS = 4, 3
SLOTS, QUEUE = 8, 24
"""Turns that an engine runs at once, and those that wait for a slot at most."""

EVENTS, EVENT_S = 9, 0.02
"""Events of a turn, and seconds between them."""

RATE_PER_S = 11.0
"""Programs that begin in a second.  Their turns keep 0.6 of the slots busy."""

CALM_S = 12.0
BURST_FACTOR, BURST_S = 2.3, 4.3
"""Traffic during the burst, as a multiple of the usual one, and its length in seconds."""

CROWD = int((BURST_FACTOR - 1) * BURST_S * RATE_PER_S)
"""Programs that the burst adds; they come at once."""

FAULT_AFTER_S = 1.0
"""Seconds from the arrival of the crowd to the final fault."""

DARK_S = 5.0
RECOVERY_S = 12.0
JUDGED_S = 10.0
"""Seconds after `recovery_s` in which requests are judged."""

CALLER_GAP_S = 2.4
"""Seconds without an event after which callers abandon a stream: eight times the pause."""

DRAFTS = "/drafts/"
ROUTE = {
    "name": "drafts",
    "host": HOST,
    "path_prefix": DRAFTS,
    "kind": "streaming",
    "service": "engines",
    "timeout_ms": 3000,
    "target_latency_ms": 200,
    "target_gap_ms": 300,
    "priority": 1,
    "max_attempts": 2,
    "sticky": True,
}


class Engine(RegisteredServer):
    """An engine that runs as many turns as it has slots, queues some, and refuses others."""

    def __init__(self, store: MetadataStore, service: str, events: int = 0) -> None:
        super().__init__(store, service, EVENTS if events else 0, EVENT_S)
        self.slots = asyncio.Semaphore(SLOTS)
        self.running = 0
        self.waiting = 0

    def _head(self, status: int, request: str) -> str:
        load = f"{self.running},{self.waiting},{SLOTS}"
        return super()._head(status, request).replace(f"{self.active},0,8", load)

    async def _run(self, writer: asyncio.StreamWriter, request: str, body: bytes) -> bool:
        if self.waiting < QUEUE:
            return await super()._run(writer, request, body)
        self.runs.pop()
        writer.write(self._plain(503, request, b"full\n", not_run=True))
        return True

    async def _stream(self, writer: asyncio.StreamWriter, request: str, body: bytes) -> bool:
        self.waiting += 1
        try:
            await self._wait_for_slot(writer)
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            return await super()._stream(writer, request, body)
        finally:
            self.running -= 1
            self.slots.release()

    async def _wait_for_slot(self, writer: asyncio.StreamWriter) -> None:
        """Wait for a slot; drop the request when its connection closes."""
        slot = asyncio.ensure_future(self.slots.acquire())
        closed = asyncio.ensure_future(self._until_closed(writer))
        await asyncio.wait({slot, closed}, return_when=asyncio.FIRST_COMPLETED)
        closed.cancel()
        if slot.done():
            return
        slot.cancel()
        raise ConnectionAbortedError("the connection was closed while its request was in the queue")

    async def _until_closed(self, writer: asyncio.StreamWriter) -> None:
        reader = writer.transport.get_protocol()._stream_reader
        while not writer.transport.is_closing() and not reader.at_eof():
            await asyncio.sleep(0.01)


class BusyCluster(SmallCluster):
    """Four entries, three ledger processes, and two engines with a queue."""

    server_type = Engine

    def __init__(self) -> None:
        PlatformCluster.__init__(self, ENTRIES, LEDGERS)
        self.store.put("op/config", configuration(4, extra=[ROUTE]))


class Callers:
    """Callers that send programs of some turns, as the platform's pages describe them.

    Attributes
    ----------
    sent : list of (float, bool, bool)
        For each client attempt, when it was sent, in seconds of the case; whether it was of the
        first turn of a program; and whether it was served.
    """

    def __init__(self, cluster: SmallCluster, record: Record) -> None:
        self.cluster = cluster
        self.record = record
        self.random = random.Random(7)
        self.sent: list[tuple[float, bool, bool]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.numbers = 0

    def start(self) -> None:
        """Start a program of about 3 turns, or 11 for one in five."""
        mean = 2.3 if self.random.random() < 0.2 else 1.0
        turns = max(1, round(self.random.lognormvariate(mean, 0.4)))
        self.numbers += 1
        task = asyncio.create_task(self._program(f"p{self.numbers}", turns))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def arrive(self) -> None:
        """Start programs at the usual rate."""
        while True:
            self.start()
            await asyncio.sleep(self.random.expovariate(RATE_PER_S))

    async def stop(self) -> None:
        """Stop all programs."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _program(self, program: str, turns: int) -> None:
        for number in range(turns):
            if not await self._turn(program, f"{program}-{number}", is_first=number == 0):
                return
            await asyncio.sleep(self.random.uniform(0.03, 0.2))

    async def _turn(self, program: str, name: str, is_first: bool) -> bool:
        """Send a turn with one retry, and at most twice again from its start."""
        for send in range(3):
            for retry in range(2):
                answer = await self._attempt(program, f"{name}-{send}{retry}", is_first)
                if answer is not None and answer.status == 200:
                    return True
                if answer is None or answer.status not in (429, 503):
                    break
                await asyncio.sleep(min(1.0, float(answer.header("Retry-After") or 0.1)))
            await asyncio.sleep(self.random.uniform(0.1, 0.4))
        return False

    async def _attempt(self, program: str, request: str, is_first: bool) -> HttpResponse | None:
        """Send one client attempt; return None if it got no whole answer."""
        entry = self.random.choice(self.cluster.entries)
        fields = {
            "Request-Id": request,
            "Program-Id": program,
            "Session-Id": program,
            "Token-Budget": "100000",
            "Token-Count": "10,90",
            "Deadline-Ms": "3000",
        }
        headers = [("Host", HOST), *((f"X-Waxwingglade-{k}", v) for k, v in fields.items())]
        sent_at = time.monotonic() - self.record.began_at
        answer = None
        outcome = "stopped with the case"
        try:
            answer = await self._exchange(entry, HttpRequest("POST", DRAFTS, headers, b"input\n"))
            outcome = describe(answer)
        except (WaxwinggladeError, OSError) as error:
            outcome = f"cut: {error}"
        except TimeoutError:
            outcome = "given up"
        finally:
            self.sent.append((sent_at, is_first, answer is not None and answer.status == 200))
            self.record(f"{request}, sent at {sent_at:.3f} to {entry.name}: {outcome}")
        return answer

    async def _exchange(self, entry: Node, request: HttpRequest) -> HttpResponse:
        connection = await open_connection(f"{entry.ip}:{entry.port}", 1.0)
        try:
            async with asyncio.timeout(3.0):
                connection.send(request)
                async with asyncio.timeout(CALLER_GAP_S):
                    answer = await connection.read_head(lambda _: True)
                answer.body = await connection.read_body(1_000_000)
            return answer
        finally:
            connection.close()


def describe(answer: HttpResponse) -> str:
    """Return the status of an answer, and the reason and time to retry of a refusal."""
    if answer.status == 200:
        return "200"
    return f"{answer.status} {answer.body[:60]!r}, Retry-After {answer.header('Retry-After')}"


async def strike(cluster: SmallCluster, record: Record) -> None:
    """Let all store machines fail at once, and be back after a while with their disks."""
    for node in cluster.ledgers:
        node.signal(signal.SIGKILL)
    record("final fault: all store machines are dark")
    await asyncio.sleep(DARK_S)
    for node in cluster.ledgers:
        node.kill()
        node.start()
    record(f"all store machines are back after {DARK_S:.0f} s, with their disks")


def served_share(callers: Callers, since: float, until: float, record: Record) -> float:
    """Return the share of the client attempts of a time that were served."""
    counts: Counter[tuple[bool, bool]] = Counter()
    for sent_at, is_first, served in callers.sent:
        if since <= sent_at < until:
            counts[is_first, served] += 1
    for is_first, name in ((True, "first turns"), (False, "further turns")):
        record(f"{name}: {counts[is_first, True]} served, {counts[is_first, False]} not")
    return (counts[True, True] + counts[False, True]) / max(1, counts.total())


async def play(cluster: SmallCluster, record: Record) -> bool:
    """Return whether less than a quarter is served after `recovery_s`."""
    callers = Callers(cluster, record)
    began_at = time.monotonic() - record.began_at
    arriving = asyncio.create_task(callers.arrive())
    await asyncio.sleep(CALM_S)
    if TROUBLE and LEFT_OUT != "crowd":
        record(f"{CROWD} programs come at once, beside the usual traffic")
        for _ in range(CROWD):
            callers.start()
        await asyncio.sleep(FAULT_AFTER_S)
    fault_at = time.monotonic() - record.began_at
    if TROUBLE and LEFT_OUT != "fault":
        await strike(cluster, record)
    back_at = time.monotonic() - record.began_at
    await asyncio.sleep(RECOVERY_S + JUDGED_S)
    arriving.cancel()
    loads = [(engine.running, engine.waiting) for engine in cluster.engines]
    record(f"running and waiting turns at the engines, of {SLOTS} slots each: {loads}")
    running = [node.name for node in cluster.ledgers if node.process.poll() is None]
    record(f"ledger processes that run: {running}")
    await callers.stop()
    record("client attempts sent before the final fault:")
    before = served_share(callers, began_at, fault_at, record)
    record(f"client attempts sent later than {RECOVERY_S:.0f} s after the machines were back:")
    after = served_share(callers, back_at + RECOVERY_S, float("inf"), record)
    record(f"served before: {before:.2f}, after: {after:.2f}")
    return before >= 0.25 > after


if __name__ == "__main__":
    run_case(Path(__file__).parent, play, cluster_type=BusyCluster)
