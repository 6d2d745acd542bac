"""Entries without callers, logs or targets, several to a process, for `bench.config_spread`.

Peer sockets, heartbeats, the client of the store and the configuration are those of an entry.
The process reads one JSON order a line and writes one JSON answer a line.

    python -m bench.spread_worker
"""

import asyncio
import random
import sys
import time

import msgspec
import zmq.asyncio
from loguru import logger

from waxwingglade.base import ConfigVersion, EntryId, EntryRef, OperatorId, ZoneId, monotonic
from waxwingglade.base.tasks import start_task
from waxwingglade.connection.peer import PeerLinks, PeerServer, Reply
from waxwingglade.connection.peer_messages import FetchConfig, PeerBody
from waxwingglade.connection.store_budget import Purpose
from waxwingglade.process.configuration import Configuration
from waxwingglade.process.entry import Entry
from waxwingglade.process.members import MEMBERS_PER_REMOTE_ZONE, Heartbeats
from waxwingglade.process.peers import answer_peer
from waxwingglade.settings import DurabilitySettings, ProcessSettings, StoreSettings
from waxwingglade.version import (
    Change,
    LevelPath,
    ProposalId,
    SettingName,
    digest_of,
    seed_store,
)

PROPOSER, APPROVER = OperatorId("pekka"), OperatorId("eero")
TREE = {"format": 1, "operators": {PROPOSER: "proposer", APPROVER: "approver"}}
MAX_SOCKETS = 16_000
LOCAL = "127.0.0.1"


class Plan(msgspec.Struct, frozen=True):
    """Entries of one process.

    Parameters
    ----------
    numbers : list of int
        Their numbers.
    zones : int
        Availability zones of the whole system; entry N is in zone N modulo that.
    store_urls : list of str
        The store, as each of the entries reaches it.
    heartbeat_s, suspect_after_s : float
        As in the settings of an entry.
    """

    numbers: list[int]
    zones: int
    store_urls: list[str]
    heartbeat_s: float
    suspect_after_s: float


class Order(msgspec.Struct, frozen=True):
    """What the process is to do next; the first that is given of the fields.

    Parameters
    ----------
    plan : Plan, optional
        Open the entries' sockets.
    refs : list of EntryRef, optional
        Greet these entries and follow the configuration.
    seed : bool
        Whether the first entry makes its tree version 1 before it greets.
    change : int, optional
        Put a change forward at the first entry, and have it approved and accepted.
    """

    plan: Plan | None = None
    refs: list[EntryRef] | None = None
    seed: bool = False
    change: int | None = None


class Usage(msgspec.Struct, frozen=True):
    """What the process and its entries have used since their start.

    `fetches` and `fetch_bytes` are what peers have fetched of the configuration, the requests
    included and without envelopes.
    """

    at: float
    cpu_s: float
    sent_bytes: list[int]
    received_bytes: list[int]
    store_calls: int
    fetches: int
    fetch_bytes: int


class InForce(msgspec.Struct, frozen=True, array_like=True):
    """When a version, or a higher one, came into force at an entry, and from where."""

    entry: EntryId
    version: ConfigVersion
    at: float
    source: str


class Answer(msgspec.Struct, frozen=True):
    """Answer to an order; which fields are filled depends on the order.

    `accepted_at` is when the acceptance was answered, in monotonic seconds; `watchers` follow the
    store, and `watched` is the sum over the entries of the peers that they send heartbeats to.
    """

    usage: Usage | None = None
    refs: list[EntryRef] = []
    in_force: list[InForce] = []
    version: ConfigVersion = ConfigVersion(0)
    accepted_at: float = 0.0
    watchers: int = 0
    watched: int = 0


class LightEntry:
    """One entry."""

    def __init__(self, context: zmq.asyncio.Context, plan: Plan, index: int) -> None:
        number = plan.numbers[index]
        settings = ProcessSettings(
            entry=f"entry-{number:03d}",
            zone=f"zone-{number % plan.zones}",
            store=StoreSettings(urls=[plan.store_urls[index]]),
            durability=DurabilitySettings(
                heartbeat_s=plan.heartbeat_s, suspect_after_s=plan.suspect_after_s
            ),
            config=TREE,
        )
        self.entry = Entry(settings)
        self.entry.context = context
        self.entry.links = PeerLinks(context)
        self.server = PeerServer(context, self.entry.answers_to, self.answer)
        self.entry.set_addresses(self.server.start(LOCAL, 0), "")
        self.configuration = Configuration(self.entry)
        self.entry.configuration = self.configuration
        self.seen: list[InForce] = []
        self.fetches = 0
        self.fetch_bytes = 0
        self.watch = start_task(self.note_versions())

    async def answer(self, body: PeerBody, reply: Reply) -> None:
        """Answer a peer as an entry does."""
        if isinstance(body, FetchConfig):
            answer = self.configuration.answer(body)
            self.fetches += 1
            self.fetch_bytes += sum(len(msgspec.msgpack.encode(each)) for each in (body, answer))
        await answer_peer(self.entry, body, reply)

    async def note_versions(self) -> None:
        """Note when each version comes into force."""
        active = self.entry.config
        while True:
            changed = active.changed
            version, source = active.current.version, active.source.value
            self.seen.append(InForce(self.entry.own.entry, version, monotonic(), source))
            await changed.wait()

    def greet(self, refs: list[EntryRef]) -> None:
        """Learn of some entries of each zone, begin to send heartbeats and follow the store."""
        entry = self.entry
        entry.members.add_reported(known_of(entry.own.zone, refs))
        entry.heartbeats = Heartbeats(
            entry.members, entry.links, [], entry.config.digest, self.configuration.on_peer_digest
        )
        self.configuration.start()

    async def seed(self) -> None:
        """Make the first tree version 1."""
        records = self.configuration.service.config_store
        (await seed_store(records, self.entry.config, self.entry.own)).unwrap()

    async def change(self, number: int) -> Answer:
        """Bring one change from proposal to acceptance."""
        service = self.configuration.service
        change = Change(LevelPath("firm"), SettingName("queue_limit"), 100 + number)
        name = ProposalId(f"change-{number}")
        base = self.entry.config.current.version
        made = (await service.propose(name, PROPOSER, base, [change])).unwrap()
        (await service.approve(name, APPROVER, digest_of(made.text))).unwrap()
        record = (await service.accept(name, PROPOSER)).unwrap()
        return Answer(version=record.version, accepted_at=monotonic())

    def bytes(self) -> tuple[int, int]:
        """Return the bytes sent to and received from peers."""
        ends = [self.server, *self.entry.links.links.values()]
        return sum(end.bytes_sent for end in ends), sum(end.bytes_received for end in ends)

    def store_calls(self) -> int:
        """Return the calls to the store for the configuration."""
        calls = self.entry.store.calls_by_purpose
        return calls[Purpose.CONFIG] + calls[Purpose.WATCH] + calls[Purpose.LEASE]


def known_of(zone: ZoneId, refs: list[EntryRef]) -> list[EntryRef]:
    """Return the entries that one of a zone knows: its own zone, and a few of each other."""
    by_zone: dict[ZoneId, list[EntryRef]] = {}
    for ref in random.sample(refs, len(refs)):
        by_zone.setdefault(ref.zone, []).append(ref)
    few = [
        ref
        for other, there in by_zone.items()
        if other != zone
        for ref in there[:MEMBERS_PER_REMOTE_ZONE]
    ]
    return [*by_zone[zone], *few]


class Worker:
    """The entries of this process."""

    def __init__(self) -> None:
        self.context = zmq.asyncio.Context()
        self.context.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
        self.entries: list[LightEntry] = []

    async def obey(self, order: Order) -> Answer:
        """Carry out an order; one without content asks for what was seen and used."""
        if order.plan is not None:
            plan = order.plan
            random.seed(plan.numbers[0])
            indexes = range(len(plan.numbers))
            self.entries = [LightEntry(self.context, plan, index) for index in indexes]
            return Answer(refs=[each.entry.own for each in self.entries])
        if order.refs is not None:
            if order.seed:
                await self.entries[0].seed()
            for each in self.entries:
                each.greet(order.refs)
            return Answer()
        if order.change is not None:
            return await self.entries[0].change(order.change)
        return self.report()

    def report(self) -> Answer:
        """Return what the entries saw and used."""
        sent, received = zip(*(each.bytes() for each in self.entries), strict=True)
        calls = sum(each.store_calls() for each in self.entries)
        used = Usage(
            monotonic(),
            time.process_time(),
            list(sent),
            list(received),
            calls,
            sum(each.fetches for each in self.entries),
            sum(each.fetch_bytes for each in self.entries),
        )
        seen = [each for entry in self.entries for each in entry.seen]
        watched = sum(len(each.entry.members.watched_since) for each in self.entries)
        watchers = sum(each.configuration.is_watcher() for each in self.entries)
        return Answer(usage=used, in_force=seen, watchers=watchers, watched=watched)


async def main() -> None:
    """Obey until the orders end."""
    logger.remove()
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    worker = Worker()
    while line := await reader.readline():
        answer = await worker.obey(msgspec.json.decode(line, type=Order))
        sys.stdout.write(msgspec.json.encode(answer).decode() + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    asyncio.run(main())
