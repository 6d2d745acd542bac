"""One replica of the ledger: accounts and turns, in memory and on its disk."""

import asyncio
from collections import OrderedDict
from pathlib import Path
from typing import Any

import msgspec
from loguru import logger

from waxwingglade.base import Clock, ProgramId, monotonic, wall
from waxwingglade.decisions.quota import Grants, restore_times
from waxwingglade.follow.model import ClientAccountId, ReplicaSet
from waxwingglade.ledger.confirmations import Confirmations
from waxwingglade.ledger.journal import Journal, Place
from waxwingglade.ledger.messages import (
    NEW_ACCOUNT,
    NO_BALLOT,
    Accept,
    Accepted,
    Account,
    Ballot,
    EndNoted,
    Ends,
    Fetch,
    Fetched,
    Find,
    Found,
    Held,
    Judged,
    JudgeTurns,
    Keep,
    Kept,
    ListEnds,
    ListHeld,
    Look,
    NoteEnd,
    OtherEpoch,
    Prepare,
    Promised,
    Rejected,
    ReplicaRequest,
    Seen,
    Turn,
    TurnId,
)
from waxwingglade.ledger.records import (
    AcceptRecord,
    ConfirmRecord,
    CountingRecord,
    EndRecord,
    GrantRecord,
    MembersRecord,
    PromiseRecord,
    TurnRecord,
    decode,
    encode,
)
from waxwingglade.ledger.unsettled import UnsettledEnds

ACCOUNT_KEPT_S = 600.0
"""Seconds for which the account of a program is kept after its last change; programs that were
stopped return within the retention of their turns, a minute at the sites known."""

EXPIRY_MARGIN_S = 60.0
"""Seconds for which a turn is kept beyond its time; clocks of VMs differ by seconds."""

GRANTS_KEPT_S = 60.0
"""Seconds for which grants stay on the disk, longer than any span in which they are counted."""

SWEEP_S = 5.0
CACHED_BYTES = 16 * 1024 * 1024
"""Turns kept in memory for reading, in bytes; older ones are read from the disk."""

FETCH_BYTES = 1024 * 1024
"""Most bytes of turns in one answer to a replica that catches up."""

CONFIRM_WITHIN_S = 0.01
"""Seconds for which a confirmation may wait for other records to be flushed with; short against the
time that a target takes to its first token."""

CHAIN_LIMIT = 1000
"""Turns of a chain, against a loop in damaged data."""


class Slot(msgspec.Struct):
    """A program's account as this replica has accepted it, and what it has promised."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    account: Account = NEW_ACCOUNT


class TurnPlace(msgspec.Struct):
    """Where a turn lies on the disk, what it continues, and until when it is kept."""

    place: Place
    previous: TurnId | None
    expires_at: float


class Replica:
    """Accounts and turns of one disk.

    Parameters
    ----------
    folder : Path
        Data folder.
    wall_clock : Clock
        Calendar time in seconds.

    Attributes
    ----------
    replicas : ReplicaSet
        The newest set of members that this replica knows; it refuses requests under older ones.
    unsettled : UnsettledEnds
        What this process was told of turns that have ended.
    confirmations : Confirmations
        Turns that this process has begun, and those that it has confirmed.
    grants : dict
        What was granted to each client account lately.
    counts : bool
        Whether this member grants its part of the accounts' limits.
    largest_set : int
        Members of the largest set that the disk held at the start.
    """

    def __init__(self, folder: Path, wall_clock: Clock = wall, clock: Clock = monotonic) -> None:
        self.wall_clock = wall_clock
        self.clock = clock
        self.journal = Journal(folder)
        self.slots: dict[ProgramId, Slot] = {}
        self.turns: dict[TurnId, TurnPlace] = {}
        self.cache: OrderedDict[TurnId, Turn] = OrderedDict()
        self.cached_bytes = 0
        self.replicas = ReplicaSet()
        self.unsettled = UnsettledEnds()
        self.confirmations = Confirmations(self.disk, self._write_confirmed, clock)
        self.grants: dict[ClientAccountId, Grants] = {}
        self.granted_before: list[GrantRecord] = []
        self.granted_in: dict[int, float] = {}
        self.counts = False
        self.largest_set = 0
        self.members_written: asyncio.Future[Place] | None = None
        self.handlers = {
            Prepare: self.prepare,
            Accept: self.accept,
            Look: self.look,
            Keep: self.keep,
            Find: self.find,
            NoteEnd: self.note_end,
            ListEnds: self.list_ends,
            JudgeTurns: self.judge_turns,
            ListHeld: self.list_held,
            Fetch: self.fetch,
        }

    @property
    def disk(self) -> str:
        """Name of the disk's content."""
        return self.journal.disk

    def open(self) -> None:
        """Read the disk and begin to write."""
        for place, content in self.journal.replay():
            self._replay(place, content)
        self._restore_grants()
        self.journal.start()
        logger.bind(
            disk=self.disk,
            turns=len(self.turns),
            accounts=len(self.slots),
            unsettled=len(self.unsettled),
            epoch=self.replicas.epoch,
        ).info("disk read")

    def _replay(self, place: Place, content: bytes) -> None:
        record = decode(content)
        if isinstance(record, TurnRecord):
            self._index(record.turn, place)
        elif isinstance(record, MembersRecord):
            self.replicas = record.replicas
            self.largest_set = max(self.largest_set, len(record.replicas.members))
        elif isinstance(record, GrantRecord):
            self.granted_before.append(record)
        elif isinstance(record, CountingRecord):
            self.counts = record.counts
        elif isinstance(record, EndRecord):
            self.unsettled.add(record.end)
        elif isinstance(record, ConfirmRecord):
            self.confirmations.confirmed.setdefault(record.program, set()).add(record.turn)
        else:
            slot = self.slots.setdefault(record.program, Slot())
            slot.promised = max(slot.promised, record.promised)
            if isinstance(record, AcceptRecord) and record.accepted >= slot.accepted:
                slot.accepted, slot.account = record.accepted, record.account

    def _restore_grants(self) -> None:
        """Count what was granted before the start, as far as it may be recent."""
        now = self.clock()
        records, self.granted_before = self.granted_before, []
        moments = restore_times([record.at for record in records], now)
        for record, at in zip(records, moments, strict=True):
            if at > now - GRANTS_KEPT_S:
                self.grants.setdefault(record.client, Grants()).record(at)

    async def stop(self) -> None:
        """Close the disk."""
        await self.journal.stop()

    async def adopt_members(self, replicas: ReplicaSet) -> None:
        """Go over to a newer set of members, durably."""
        known = (self.replicas.epoch, self.replicas.settled)
        if (replicas.epoch, replicas.settled) > known:
            self.replicas = replicas
            self.members_written = self._write(MembersRecord(replicas))
        if self.members_written is not None:
            # Others rely on the refusal of older sets, which must outlive a loss of power.
            await asyncio.shield(self.members_written)

    async def handle(self, message: ReplicaRequest) -> Any:
        """Answer a request of a coordinator, or of another replica."""
        return await self.handlers[type(message)](message)

    def _write(self, record: Any) -> "asyncio.Future[Place]":
        return self.journal.append(encode(record))

    async def flush(self) -> None:
        """Wait until all that was written before is durable."""
        await self._write(MembersRecord(self.replicas))

    def _refused(self, epoch: int) -> OtherEpoch | None:
        """Refuse a request under another set of members than the one known here."""
        if epoch == self.replicas.epoch:
            return None
        return OtherEpoch(self.replicas)

    # Accounts

    async def prepare(self, message: Prepare) -> Any:
        """Promise to accept nothing below a ballot."""
        if refusal := self._refused(message.epoch):
            return refusal
        slot = self.slots.setdefault(message.program, Slot())
        if message.ballot <= slot.promised:
            return Rejected(slot.promised)
        slot.promised = message.ballot
        answer = Promised(slot.accepted, slot.account)
        await self._write(PromiseRecord(message.program, message.ballot))
        return answer

    async def accept(self, message: Accept) -> Any:
        """Accept an account, unless something newer was promised."""
        if refusal := self._refused(message.epoch):
            return refusal
        slot = self.slots.setdefault(message.program, Slot())
        if message.ballot < slot.promised or message.ballot <= slot.accepted:
            return Rejected(slot.promised)
        # The proposer's next ballot is promised along with this one.  Without that, another's
        # ballot of the same number could be promised elsewhere, and the one that sorts last would
        # win, whether a majority had accepted it or not.
        slot.promised, slot.accepted = message.ballot.next(), message.ballot
        slot.account = message.account
        await self._write(
            AcceptRecord(message.program, slot.promised, message.ballot, message.account)
        )
        return Accepted()

    async def look(self, message: Look) -> Any:
        """Return what was promised and accepted last for a program's account."""
        if refusal := self._refused(message.epoch):
            return refusal
        slot = self.slots.get(message.program) or Slot()
        return Seen(slot.promised, slot.accepted, slot.account)

    # Ends of turns

    async def note_end(self, message: NoteEnd) -> EndNoted:
        """Remember the end of a turn, also over a restart."""
        # An account here that shows it may not be the one that a majority accepts.
        self.unsettled.add(message.end)
        await self._write(EndRecord(message.end))
        return EndNoted()

    async def list_ends(self, message: ListEnds) -> Ends:
        """Return the ends of a program's turns that were noted here."""
        return Ends(self.unsettled.of(message.program))

    # Turns that were begun here

    async def judge_turns(self, message: JudgeTurns) -> Judged:
        """Say which turns that this process began are confirmed, and which never will be."""
        return Judged(*self.confirmations.judge(message.program, message.turns))

    def _write_confirmed(self, program: ProgramId, turn: TurnId) -> "asyncio.Future[Place]":
        return self.journal.append(encode(ConfirmRecord(program, turn)), CONFIRM_WITHIN_S)

    # Limits of client accounts

    def record_grant(self, client: ClientAccountId, at: float) -> "asyncio.Future[Place]":
        """Write down that a request was granted; the future is done once that is durable."""
        self.granted_in[self.journal.active] = at
        return self._write(GrantRecord(client, at))

    def record_counting(self, counts: bool) -> None:
        """Write down whether this member grants its part of the limits."""
        self.counts = counts
        self._write(CountingRecord(counts))

    # Turns

    async def keep(self, message: Keep) -> Any:
        """Keep a turn."""
        if refusal := self._refused(message.epoch):
            return refusal
        await self._store_turn(message.turn)
        # Whoever read this replica under a newer set, while the turn was being written, was not
        # told of it: it must not count as kept under the older one.
        return self._refused(message.epoch) or Kept()

    async def _store_turn(self, turn: Turn) -> None:
        if turn.turn in self.turns:
            return
        place = await self._write(TurnRecord(turn))
        self._index(turn, place)
        self._remember(turn)

    def _index(self, turn: Turn, place: Place) -> None:
        """Enter a turn, and keep those that it continues as long as it."""
        self.turns[turn.turn] = TurnPlace(place, turn.previous, turn.expires_at)
        previous = turn.previous
        for _ in range(CHAIN_LIMIT):
            where = self.turns.get(previous) if previous is not None else None
            if where is None or where.expires_at >= turn.expires_at:
                return
            where.expires_at = turn.expires_at
            previous = where.previous

    async def find(self, message: Find) -> Any:
        """Return the chain up to a turn."""
        if refusal := self._refused(message.epoch):
            return refusal
        return await self.chain(message.turn)

    async def chain(self, turn: TurnId) -> Found:
        """Return the chain up to a turn, as far as it is here."""
        chain: list[Turn] = []
        wanted: TurnId | None = turn
        while wanted is not None and len(chain) < CHAIN_LIMIT:
            found = await self.turn(wanted)
            if found is None:
                break
            chain.append(found)
            wanted = found.previous
        return Found(tuple(reversed(chain)), bool(chain) and wanted is None)

    async def turn(self, turn: TurnId) -> Turn | None:
        """Return a turn, from memory or from the disk."""
        cached = self.cache.get(turn)
        if cached is not None:
            self.cache.move_to_end(turn)
            return cached
        where = self.turns.get(turn)
        if where is None:
            return None
        content = await asyncio.to_thread(self.journal.read, where.place)
        record = decode(content)
        if not isinstance(record, TurnRecord) or record.turn.turn != turn:
            logger.bind(turn=turn).error("turn not where the index says")
            return None
        self._remember(record.turn)
        return record.turn

    def _remember(self, turn: Turn) -> None:
        if turn.turn in self.cache:
            return
        self.cache[turn.turn] = turn
        self.cached_bytes += len(turn.asked) + len(turn.answered)
        while self.cached_bytes > CACHED_BYTES:
            _, old = self.cache.popitem(last=False)
            self.cached_bytes -= len(old.asked) + len(old.answered)

    # Catching up

    async def list_held(self, message: ListHeld) -> Any:
        """Return what is held here, and from now on refuse older sets of members."""
        await self.adopt_members(message.replicas)
        if message.replicas.epoch < self.replicas.epoch:
            return OtherEpoch(self.replicas)
        accounts = {
            program: slot.accepted for program, slot in self.slots.items() if slot.accepted.number
        }
        promised = {
            program: slot.promised
            for program, slot in self.slots.items()
            if slot.promised != slot.accepted.next()
        }
        return Held(tuple(self.turns), accounts, promised)

    async def fetch(self, message: Fetch) -> Any:
        """Return turns and accounts by name, turns up to a size."""
        turns = []
        size = 0
        for name in message.turns:
            turn = await self.turn(name)
            if turn is None:
                continue
            turns.append(turn)
            size += len(turn.asked) + len(turn.answered)
            if size > FETCH_BYTES:
                break
        accounts = {}
        for program in message.programs:
            slot = self.slots.get(program)
            if slot is not None:
                accounts[program] = (slot.accepted, slot.account)
        return Fetched(tuple(turns), accounts)

    async def take_in(self, fetched: Fetched) -> None:
        """Store what another replica holds, as if its proposals had reached this one late."""
        writes = [self._store_turn(turn) for turn in fetched.turns]
        for program, (ballot, account) in fetched.accounts.items():
            slot = self.slots.setdefault(program, Slot())
            if ballot <= slot.accepted:
                continue
            # What was accepted elsewhere is taken even below a promise: it is no vote, and the next
            # round of promises must find it.
            slot.promised, slot.accepted = max(slot.promised, ballot.next()), ballot
            slot.account = account
            writes.append(self._write(AcceptRecord(program, slot.promised, ballot, account)))
        await asyncio.gather(*writes)

    async def take_promises(self, promised: dict[ProgramId, Ballot]) -> None:
        """Promise what another replica has promised.

        A round of promises that counted on a lost disk must not be forgotten with it.
        """
        writes = []
        for program, ballot in promised.items():
            slot = self.slots.setdefault(program, Slot())
            if ballot > slot.promised:
                slot.promised = ballot
                writes.append(self._write(PromiseRecord(program, ballot)))
        await asyncio.gather(*writes)

    # Expiry

    async def sweep_forever(self) -> None:
        """Forget what has expired, and remove segments that hold nothing else."""
        while True:
            await asyncio.sleep(SWEEP_S)
            self.forget_expired()
            await self._drop_segments()

    def forget_expired(self) -> None:
        """Forget turns and accounts whose time is over."""
        now = self.wall_clock()
        for name, where in list(self.turns.items()):
            if where.expires_at + EXPIRY_MARGIN_S < now:
                del self.turns[name]
                cached = self.cache.pop(name, None)
                if cached is not None:
                    self.cached_bytes -= len(cached.asked) + len(cached.answered)
        for program, slot in list(self.slots.items()):
            if slot.accepted.number and slot.account.touched_at + ACCOUNT_KEPT_S < now:
                del self.slots[program]
                self.unsettled.programs.pop(program, None)
                self.confirmations.forget(program)

    def _segments_with_grants(self) -> list[int]:
        """Return the segments from which on grants lie that may still count."""
        since = self.clock() - GRANTS_KEPT_S
        self.granted_in = {each: at for each, at in self.granted_in.items() if at > since}
        return list(self.granted_in)

    async def _drop_segments(self) -> None:
        """Copy what is still needed to the active segment, and remove the older ones."""
        active = self.journal.active
        needed = [where.place.segment for where in self.turns.values()]
        needed += self._segments_with_grants()
        oldest = min(needed, default=active)
        if oldest <= min(self.journal.segments, default=active):
            return
        writes = [self._write(MembersRecord(self.replicas))]
        writes += [self._write(EndRecord(end)) for end in self.unsettled.all()]
        writes += [self._write(ConfirmRecord(*each)) for each in self.confirmations.all_confirmed()]
        writes.append(self._write(CountingRecord(self.counts)))
        for program, slot in self.slots.items():
            writes.append(
                self._write(AcceptRecord(program, slot.promised, slot.accepted, slot.account))
            )
        await asyncio.gather(*writes)
        await self.journal.drop(min(oldest, active))


__all__ = ["Replica"]
