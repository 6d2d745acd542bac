"""Entries without callers, logs or targets, several per process, for `bench.config_spread`.

They use the peer sockets, heartbeats, store client and configuration of a real entry.  The process
reads one command as a line of JSON and writes the answer as a line of JSON.

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
        Numbers of the entries.
    zones : int
        Number of availability zones in the whole system; entry N is in zone N modulo `zones`.
    store_urls : list of str
        URL of the store for each of the entries.
    heartbeat_s, suspect_after_s : float
        As in the settings of an entry.
    """

    numbers: list[int]
    zones: int
    store_urls: list[str]
    heartbeat_s: float
    suspect_after_s: float


class Command(msgspec.Struct, frozen=True):
    """Next step of the process; the first field that is set is carried out.

    Parameters
    ----------
    plan : Plan, optional
        Open the sockets of these entries.
    refs : list of EntryRef, optional
        Contact these entries and follow the configuration.
    seed : bool
        Whether the first entry stores its tree as version 1 before it contacts the others.
    change : int, optional
        Propose a change at the first entry, and have it approved and accepted.
    """

    plan: Plan | None = None
    refs: list[EntryRef] | None = None
    seed: bool = False
    change: int | None = None


class Usage(msgspec.Struct, frozen=True):
    """Resources used by the process and its entries since the start.

    `fetches` and `fetch_bytes` count the fetches of the configuration by peers, including requests
    and excluding envelopes.
    """

    at: float
    cpu_s: float
    sent_bytes: list[int]
    received_bytes: list[int]
    store_calls: int
    fetches: int
    fetch_bytes: int


class InForce(msgspec.Struct, frozen=True, array_like=True):
    """Time at which a version came into force at an entry, and its source."""

    entry: EntryId
    version: ConfigVersion
    at: float
    source: str


class Answer(msgspec.Struct, frozen=True):
    """Answer to a command, which determines the fields that are set.

    `accepted_at` is the time of the answer to the acceptance, in monotonic seconds.  `watchers` is
    the number of entries that follow the store, and `watched` the sum over all entries of the peers
    to which they send heartbeats.
    """

    usage: Usage | None = None
    refs: list[EntryRef] = []
    in_force: list[InForce] = []
    version: ConfigVersion = ConfigVersion(0)
    accepted_at: float = 0.0
    watchers: int = 0
    watched: int = 0


class LightEntry:
    """One entry without callers, logs and targets."""

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
        self.versions_seen: list[InForce] = []
        self.fetches = 0
        self.fetch_bytes = 0
        self.watch = start_task(self.record_versions())

    async def answer(self, body: PeerBody, reply: Reply) -> None:
        """Answer a peer as an entry does."""
        if isinstance(body, FetchConfig):
            answer = self.configuration.answer(body)
            self.fetches += 1
            self.fetch_bytes += sum(len(msgspec.msgpack.encode(each)) for each in (body, answer))
        await answer_peer(self.entry, body, reply)

    async def record_versions(self) -> None:
        """Record the time at which each version comes into force."""
        active = self.entry.config
        while True:
            changed = active.changed
            version, source = active.current.version, active.source.value
            self.versions_seen.append(InForce(self.entry.own.entry, version, monotonic(), source))
            await changed.wait()

    def join(self, refs: list[EntryRef]) -> None:
        """Add some entries of each zone as members, start heartbeats and follow the store."""
        entry = self.entry
        entry.members.add_reported(initially_known(entry.own.zone, refs))
        entry.heartbeats = Heartbeats(
            entry.members, entry.links, [], entry.config.digest, self.configuration.on_peer_digest
        )
        self.configuration.start()

    async def seed(self) -> None:
        """Store the initial tree as version 1."""
        records = self.configuration.service.config_store
        (await seed_store(records, self.entry.config, self.entry.own)).unwrap()

    async def change(self, number: int) -> Answer:
        """Propose, approve and accept one change."""
        service = self.configuration.service
        change = Change(LevelPath("firm"), SettingName("queue_limit"), 100 + number)
        proposal_id = ProposalId(f"change-{number}")
        base = self.entry.config.current.version
        proposal = (await service.propose(proposal_id, PROPOSER, base, [change])).unwrap()
        (await service.approve(proposal_id, APPROVER, digest_of(proposal.text))).unwrap()
        record = (await service.accept(proposal_id, PROPOSER)).unwrap()
        return Answer(version=record.version, accepted_at=monotonic())

    def bytes(self) -> tuple[int, int]:
        """Return the bytes sent to and received from peers."""
        ends = [self.server, *self.entry.links.links.values()]
        return sum(end.bytes_sent for end in ends), sum(end.bytes_received for end in ends)

    def store_calls(self) -> int:
        """Return the calls to the store for the configuration."""
        calls = self.entry.store.calls_by_purpose
        return calls[Purpose.CONFIG] + calls[Purpose.WATCH] + calls[Purpose.LEASE]


def initially_known(zone: ZoneId, refs: list[EntryRef]) -> list[EntryRef]:
    """Return the entries that a member of a zone knows: its own zone, and a few of each other."""
    by_zone: dict[ZoneId, list[EntryRef]] = {}
    for ref in random.sample(refs, len(refs)):
        by_zone.setdefault(ref.zone, []).append(ref)
    few = [
        ref
        for other, zone_refs in by_zone.items()
        if other != zone
        for ref in zone_refs[:MEMBERS_PER_REMOTE_ZONE]
    ]
    return [*by_zone[zone], *few]


class Worker:
    """The entries of this process."""

    def __init__(self) -> None:
        self.context = zmq.asyncio.Context()
        self.context.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
        self.entries: list[LightEntry] = []

    async def execute(self, command: Command) -> Answer:
        """Carry out a command; one without content requests the report."""
        if command.plan is not None:
            plan = command.plan
            random.seed(plan.numbers[0])
            indexes = range(len(plan.numbers))
            self.entries = [LightEntry(self.context, plan, index) for index in indexes]
            return Answer(refs=[each.entry.own for each in self.entries])
        if command.refs is not None:
            if command.seed:
                await self.entries[0].seed()
            for each in self.entries:
                each.join(command.refs)
            return Answer()
        if command.change is not None:
            return await self.entries[0].change(command.change)
        return self.report()

    def report(self) -> Answer:
        """Return the versions seen and the resources used by the entries."""
        sent, received = zip(*(each.bytes() for each in self.entries), strict=True)
        calls = sum(each.store_calls() for each in self.entries)
        usage = Usage(
            monotonic(),
            time.process_time(),
            list(sent),
            list(received),
            calls,
            sum(each.fetches for each in self.entries),
            sum(each.fetch_bytes for each in self.entries),
        )
        versions_seen = [each for entry in self.entries for each in entry.versions_seen]
        watched = sum(len(each.entry.members.watched_since) for each in self.entries)
        watchers = sum(each.configuration.is_watcher() for each in self.entries)
        return Answer(usage=usage, in_force=versions_seen, watchers=watchers, watched=watched)


async def main() -> None:
    """Execute commands until the input ends."""
    logger.remove()
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    worker = Worker()
    while line := await reader.readline():
        answer = await worker.execute(msgspec.json.decode(line, type=Command))
        sys.stdout.write(msgspec.json.encode(answer).decode() + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    asyncio.run(main())
