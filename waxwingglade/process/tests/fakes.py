"""A fake network, store and entries in one event loop, with injected faults.

They drive the real code of logs, copies, takeovers and changes of holders.
"""

import asyncio
import itertools
import random

from waxwingglade.base import (
    CallId,
    ClassName,
    ConfigVersion,
    EntryId,
    EntryRef,
    Epoch,
    ErrorCode,
    Incarnation,
    LogId,
    Ok,
    ProgramId,
    TenantId,
    ZoneId,
    may_have_run,
    not_run,
)
from waxwingglade.connection.peer_messages import (
    AppendRecords,
    DropCopy,
    FindLog,
    LogFound,
    Refused,
    SealCopy,
)
from waxwingglade.connection.store_messages import KeyValue
from waxwingglade.process.copies import Copies
from waxwingglade.process.directory import Directory
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.process.reconfigure import change_copies, register
from waxwingglade.process.takeover import TakeoverContext, take_over
from waxwingglade.program import Created, decode_record
from waxwingglade.settings import DurabilitySettings, ProgramPolicy

SETTINGS = DurabilitySettings(append_timeout_s=0.05, suspect_after_s=0.02)
MIN_COPIES = 2
LOG = LogId("z0.e0.i0.home0")


class FakeStore:
    """A store that can be unavailable, and whose writes may take effect but lose their answer."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.values: dict[str, tuple[bytes, int]] = {}
        self.revision = 0
        self.down = False
        self.lost_answer_rate = 0.0

    async def get(self, key, purpose=None):
        await asyncio.sleep(0)
        if self.down:
            return not_run(ErrorCode.STORE_UNAVAILABLE, "down")
        if key not in self.values:
            return Ok(None)
        value, revision = self.values[key]
        return Ok(KeyValue(key, value, revision, revision, 1, 0))

    async def put_if(self, key, value, expected, lease=0, purpose=None):
        await asyncio.sleep(0)
        if self.down:
            return not_run(ErrorCode.STORE_UNAVAILABLE, "down")
        present = self.values.get(key, (b"", 0))[1]
        if present != expected:
            return not_run(ErrorCode.CONFLICT, "changed")
        self.revision += 1
        self.values[key] = (value, self.revision)
        if self.rng.random() < self.lost_answer_rate:
            return may_have_run(ErrorCode.STORE_UNAVAILABLE, "answer lost")
        return Ok(self.revision)


class Network:
    """Delivers requests between nodes, except to and from partitioned or stopped nodes."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.nodes: dict[Incarnation, Node] = {}
        self.partitioned: set[frozenset[Incarnation]] = set()
        self.delay_s: dict[Incarnation, float] = {}

    def reachable(self, one: Incarnation, other: Incarnation) -> bool:
        """Return whether two nodes are alive and connected."""
        if not (self.nodes[one].alive and self.nodes[other].alive):
            return False
        return frozenset((one, other)) not in self.partitioned

    async def deliver(self, sender: Incarnation, to: Incarnation, body, timeout_s: float):
        """Deliver a request and its answer; either may be lost."""
        await asyncio.sleep(self.delay_s.get(to, 0))
        for _ in range(self.rng.randrange(4)):
            await asyncio.sleep(0)
        if not self.reachable(sender, to):
            await asyncio.sleep(timeout_s)
            return may_have_run(ErrorCode.UNAVAILABLE, "partitioned")
        answer = self.nodes[to].answer(body)
        for _ in range(self.rng.randrange(4)):
            await asyncio.sleep(0)
        if not self.reachable(sender, to):
            await asyncio.sleep(timeout_s)
            return may_have_run(ErrorCode.UNAVAILABLE, "answer lost")
        if isinstance(answer, Refused):
            return not_run(answer.failure.code, answer.failure.message)
        return Ok(answer)


class FakeLink:
    """The part of a connection that an owned log uses."""

    def __init__(self, network: Network, sender: Incarnation, to: Incarnation) -> None:
        self.network = network
        self.sender = sender
        self.receiver = to

    async def request(self, body, timeout_s: float):
        return await self.network.deliver(self.sender, self.receiver, body, timeout_s)


class Node:
    """One entry with its copies, and with the log if it owns it."""

    def __init__(self, number: int, zone: str, network: Network, store: FakeStore) -> None:
        self.ref = EntryRef(
            EntryId(f"e{number}"), Incarnation(f"i{number}"), ZoneId(zone), f"a{number}"
        )
        self.network = network
        self.store = store
        self.alive = True
        self.owned: OwnedLog | None = None
        self.copies = Copies(self.owned_epoch, self._seal_owned)
        network.nodes[self.ref.incarnation] = self

    def to(self, _address: str, incarnation: Incarnation) -> FakeLink:
        """Return the connection to a peer, as `PeerLinks` does."""
        return FakeLink(self.network, self.ref.incarnation, incarnation)

    def answer(self, body):
        """Answer a request of a peer."""
        if isinstance(body, AppendRecords):
            if self.owned is not None and body.epoch > self.owned.epoch:
                self.owned.fence(body.epoch)
                self._demote()
            return self.copies.append(body)
        if isinstance(body, SealCopy):
            return self.copies.seal(body)
        if isinstance(body, DropCopy):
            return self.copies.drop(body)
        assert isinstance(body, FindLog)
        return LogFound(None, Epoch(0), owner_gone=True)

    def owned_epoch(self, _log: LogId) -> Epoch | None:
        """Return the epoch at which this node owns the log."""
        return None if self.owned is None else self.owned.epoch

    def _seal_owned(self, body: SealCopy):
        assert self.owned is not None
        answer = self.owned.seal(body)
        if self.owned.fenced:
            self._demote()
        return answer

    def _demote(self) -> None:
        assert self.owned is not None
        self.copies.retain_demoted(self.owned)
        self.owned = None

    def build_log(self, log: LogId, epoch: Epoch, records: list[bytes], copies=None) -> OwnedLog:
        """Return a started log with holders among the reachable nodes."""
        owned = OwnedLog(
            log=log,
            epoch=epoch,
            own=self.ref,
            copies=copies or self.choose_copies(),
            records=records,
            links=self,
            settings=SETTINGS,
            alive=lambda ref: self.network.reachable(self.ref.incarnation, ref.incarnation),
        )
        owned.start()
        return owned

    def choose_copies(self) -> list[EntryRef]:
        """Return this node and two random reachable others."""
        own = self.ref.incarnation
        others = [
            node.ref
            for name, node in self.network.nodes.items()
            if name != own and self.network.reachable(own, name)
        ]
        self.network.rng.shuffle(others)
        return [self.ref, *others[:2]]

    async def ask(self, ref: EntryRef, message):
        """Send a request to a node, which may be this one."""
        if ref.incarnation == self.ref.incarnation:
            answer = self.answer(message)
            return not_run(ErrorCode.NOT_FOUND, "") if isinstance(answer, Refused) else Ok(answer)
        return await self.network.deliver(
            self.ref.incarnation, ref.incarnation, message, SETTINGS.suspect_after_s
        )

    async def try_takeover(self):
        """Try to take the log over."""
        takeover = TakeoverContext(
            self.ref,
            Directory(self.store),
            self.ask,
            self.build_log,
            self.copies.retain_demoted,
            MIN_COPIES,
        )
        taken = await take_over(takeover, LOG, None)
        if taken.is_ok():
            self.owned = taken.ok_value
            self.copies.logs.pop(LOG, None)
        return taken

    async def register(self):
        """Register the log in the store, once its copies exist."""
        if self.owned is not None:
            await self.owned.confirm_ownership()
            return await register(self.owned, Directory(self.store))
        return None

    async def change_holders(self):
        """Change the holders of the log."""
        if self.owned is not None and self.owned.store_revision:
            copies = self.owned.next_copies or self.choose_copies()
            if len(copies) < MIN_COPIES:
                return None
            return await change_copies(self.owned, copies, Directory(self.store))
        return None


_numbers = itertools.count()


def new_record() -> tuple[ProgramId, Created]:
    """Return a record that differs from all others."""
    program = ProgramId(f"{LOG}.p{next(_numbers)}")
    body = Created(
        TenantId("t"), ClassName("c"), ProgramPolicy(), ConfigVersion(1), 0.0, CallId("r")
    )
    return program, body


def programs_in(records: list[bytes]) -> list[ProgramId]:
    """Return the programs of records, in order."""
    decoded = (decode_record(data) for data in records)
    return [record.program for record in decoded if record.program is not None]
