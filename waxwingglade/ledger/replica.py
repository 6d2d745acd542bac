"""One replica of the ledger: accounts and turns, in memory and on disk."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from loguru import logger

from waxwingglade.base import Clock, Fingerprint, ProgramId, monotonic, wall
from waxwingglade.decisions.quota import Grants
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
    CompareTurns,
    DifferentTurns,
    EndNoted,
    Ends,
    Failures,
    Fetch,
    Fetched,
    Find,
    Found,
    Held,
    Judged,
    JudgeTurns,
    Keep,
    Kept,
    KnownFailures,
    ListEnds,
    ListFailures,
    ListHeld,
    Look,
    MergeFailures,
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
    ClockRecord,
    ConfirmRecord,
    CountingRecord,
    EndRecord,
    FailuresRecord,
    GrantRecord,
    MembersRecord,
    PromiseRecord,
    TurnRecord,
    decode,
    encode,
)
from waxwingglade.ledger.stored_grants import StoredGrants
from waxwingglade.ledger.target_failures import FailureTable, TargetFailures
from waxwingglade.ledger.turn_index import TurnIndex, TurnPlace
from waxwingglade.ledger.unresolved_ends import UnresolvedEnds

ACCOUNT_RETENTION_S = 600.0
"""Seconds for which the account of a program is retained after its last change.  Stopped programs
resume within the retention of their turns, which is a minute at the known sites."""

GRANT_RETENTION_S = 60.0
"""Seconds for which grants stay on disk; longer than any period over which they are counted."""

SWEEP_INTERVAL_S = 5.0
MAX_CACHED_BYTES = 16 * 1024 * 1024
"""Most bytes of turns that are cached in memory; other turns are read from the disk."""

MAX_FETCH_BYTES = 1024 * 1024
"""Bytes of turns after which an answer to a replica that catches up is complete."""

CONFIRM_MAX_DELAY_S = 0.01
"""Seconds for which a confirmation may wait to be flushed together with other records.  Much
shorter than the time to the first token of a target."""

MAX_CHAIN_LENGTH = 1000
"""Most turns of a chain; guards against loops in damaged data."""


class Slot(msgspec.Struct):
    """The account of a program that this replica has accepted, and its ballots."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    account: Account = NEW_ACCOUNT


class Replica:
    """Stores the accounts and turns of one disk.

    Parameters
    ----------
    folder : Path
        Data folder.
    wall_clock : Clock
        Calendar time in seconds.
    clock : Clock
        Monotonic seconds.

    Attributes
    ----------
    replicas : ReplicaSet
        The newest set of members that this replica knows; requests under older ones are refused.
    unresolved_ends : UnresolvedEnds
        Ends of turns that were reported to this process.
    confirmations : Confirmations
        Turns that this process has begun, and those that it has confirmed.
    failures : FailureTable
        Targets that failed requests.
    failures_changed : callable
        Called after each change of `failures`.
    grants : dict
        Recent grants of each client account.
    counts : bool
        Whether this member grants its share of the limits of client accounts.
    largest_set : int
        Number of members of the largest set on disk at the start.
    """

    def __init__(self, folder: Path, wall_clock: Clock = wall, clock: Clock = monotonic) -> None:
        self.wall_clock = wall_clock
        self.clock = clock
        self.journal = Journal(folder)
        self.slots: dict[ProgramId, Slot] = {}
        self.index = TurnIndex()
        self.cache: OrderedDict[TurnId, Turn] = OrderedDict()
        self.cached_bytes = 0
        self.replicas = ReplicaSet()
        self.unresolved_ends = UnresolvedEnds()
        self.confirmations = Confirmations(self.disk, self._write_confirmed, clock)
        self.failures = FailureTable(wall_clock)
        self.failures_changed: Callable[[], None] = lambda: None
        self.grants: dict[ClientAccountId, Grants] = {}
        self.stored_grants = StoredGrants()
        self.last_granted_at: dict[int, float] = {}
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
            CompareTurns: self.compare_turns,
            ListFailures: self.list_failures,
        }

    @property
    def turns(self) -> dict[TurnId, TurnPlace]:
        """The turns that are stored, by name."""
        return self.index.places

    @property
    def disk(self) -> str:
        """Name of the content of the disk."""
        return self.journal.disk

    def open(self) -> None:
        """Read the disk and start the journal."""
        for place, content in self.journal.replay():
            self._replay(place, content)
        self._restore_grants()
        self.journal.start()
        self._write(ClockRecord(self.clock(), is_first=True))
        logger.bind(
            disk=self.disk,
            turns=len(self.turns),
            accounts=len(self.slots),
            unsettled=len(self.unresolved_ends),
            epoch=self.replicas.epoch,
            grants=sum(len(grants.times) for grants in self.grants.values()),
        ).info("disk read")

    def _replay(self, place: Place, content: bytes) -> None:
        record = decode(content)
        if isinstance(record, TurnRecord):
            self.index.add(record.turn, place, self.wall_clock())
        elif isinstance(record, MembersRecord):
            self.replicas = record.replicas
            self.largest_set = max(self.largest_set, len(record.replicas.members))
        elif isinstance(record, GrantRecord | ClockRecord):
            self.stored_grants.add(record, place.segment)
        elif isinstance(record, CountingRecord):
            self.counts = record.counts
        elif isinstance(record, FailuresRecord):
            self.failures.merge(record.fingerprint, record.failures)
        elif isinstance(record, EndRecord):
            self.unresolved_ends.add(record.end)
        elif isinstance(record, ConfirmRecord):
            self.confirmations.confirmed.setdefault(record.program, set()).add(record.turn)
        else:
            slot = self.slots.setdefault(record.program, Slot())
            slot.promised = max(slot.promised, record.promised)
            if isinstance(record, AcceptRecord) and record.accepted >= slot.accepted:
                slot.accepted, slot.account = record.accepted, record.account

    def _restore_grants(self) -> None:
        """Count grants from before the start that may still be recent."""
        now = self.clock()
        for grant in self.stored_grants.restore(now):
            if grant.at > now - GRANT_RETENTION_S:
                self.grants.setdefault(grant.client, Grants()).record(grant.at)
                self.last_granted_at[grant.segment] = grant.at
        self.stored_grants = StoredGrants()

    async def stop(self) -> None:
        """Close the disk."""
        await self.journal.stop()

    async def adopt_members(self, replicas: ReplicaSet) -> None:
        """Switch to a set of members if it is newer, and wait until the switch is durable."""
        known = (self.replicas.epoch, self.replicas.settled)
        if (replicas.epoch, replicas.settled) > known:
            self.replicas = replicas
            self.members_written = self._write(MembersRecord(replicas))
        if self.members_written is not None:
            # Other replicas rely on the refusal of older sets, which must survive a loss of power.
            await asyncio.shield(self.members_written)

    async def handle(self, message: ReplicaRequest) -> Any:
        """Answer a request of a coordinator or of another replica.

        Raises
        ------
        JournalFailed
            If the journal has failed: what is in memory may not be durable.
        """
        if self.journal.failure is not None:
            raise self.journal.failure
        return await self.handlers[type(message)](message)

    def _write(self, record: Any) -> "asyncio.Future[Place]":
        return self.journal.append(encode(record))

    async def flush(self) -> None:
        """Wait until all earlier writes are durable."""
        await self._write(MembersRecord(self.replicas))

    def _refused(self, epoch: int) -> OtherEpoch | None:
        """Return a refusal if a request is for another set of members than the current one."""
        if epoch == self.replicas.epoch:
            return None
        return OtherEpoch(self.replicas)

    # Accounts

    async def prepare(self, message: Prepare) -> Any:
        """Promise to accept no proposal below a ballot."""
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
        """Accept an account, unless a higher ballot was promised."""
        if refusal := self._refused(message.epoch):
            return refusal
        slot = self.slots.setdefault(message.program, Slot())
        if message.ballot < slot.promised or message.ballot <= slot.accepted:
            return Rejected(slot.promised)
        # The proposer's next ballot is promised along with this one.  Otherwise the ballot of
        # another process with the same number could be promised elsewhere, and the one that sorts
        # last would win, whether or not a majority had accepted it.
        slot.promised, slot.accepted = message.ballot.next(), message.ballot
        slot.account = message.account
        await self._write(
            AcceptRecord(message.program, slot.promised, message.ballot, message.account)
        )
        return Accepted()

    async def look(self, message: Look) -> Any:
        """Return the last promised ballot and the last accepted account of a program."""
        if refusal := self._refused(message.epoch):
            return refusal
        slot = self.slots.get(message.program) or Slot()
        return Seen(slot.promised, slot.accepted, slot.account)

    # Ends of turns

    async def note_end(self, message: NoteEnd) -> EndNoted:
        """Record the end of a turn durably."""
        # Even if the account here includes the end, the one that a majority accepts may not.
        self.unresolved_ends.add(message.end)
        await self._write(EndRecord(message.end))
        return EndNoted()

    async def list_ends(self, message: ListEnds) -> Ends:
        """Return the ends of a program's turns that are recorded here."""
        return Ends(self.unresolved_ends.of(message.program))

    # Targets that failed requests

    async def merge_failures(self, message: MergeFailures) -> KnownFailures:
        """Merge a record of failed targets, and return the one here once it is durable."""
        # The clock of the entry that reports may differ.
        failures = msgspec.structs.replace(message.failures, changed_at=self.wall_clock())
        await self.store_failures({message.fingerprint: failures})
        return KnownFailures(self.failures.get(message.fingerprint))

    async def store_failures(self, records: dict[Fingerprint, TargetFailures]) -> None:
        """Merge records of failed targets into those here, and wait until they are durable."""
        changed = [
            fingerprint
            for fingerprint, failures in records.items()
            if self.failures.merge(fingerprint, failures)
        ]
        if not changed:
            return
        self.failures_changed()
        await asyncio.gather(
            *(self._write(FailuresRecord(each, self.failures.get(each))) for each in changed)
        )

    async def list_failures(self, _message: ListFailures) -> Failures:
        """Return all records of failed targets."""
        return Failures(dict(self.failures.records))

    # Turns that were begun here

    async def judge_turns(self, message: JudgeTurns) -> Judged:
        """Return which turns that this process began are confirmed, and which have expired."""
        return Judged(*self.confirmations.classify(message.program, message.turns))

    def _write_confirmed(self, program: ProgramId, turn: TurnId) -> "asyncio.Future[Place]":
        return self.journal.append(encode(ConfirmRecord(program, turn)), CONFIRM_MAX_DELAY_S)

    # Limits of client accounts

    def record_grant(self, client: ClientAccountId, at: float) -> "asyncio.Future[Place]":
        """Record the grant of a request; the future is done once it is durable."""
        self.last_granted_at[self.journal.active] = at
        return self._write(GrantRecord(client, at))

    def record_counting(self, counts: bool) -> None:
        """Record whether this member grants its share of the limits."""
        self.counts = counts
        self._write(CountingRecord(counts))

    # Turns

    async def keep(self, message: Keep) -> Any:
        """Store a turn durably."""
        if refusal := self._refused(message.epoch):
            return refusal
        await self._store_turn(message.turn)
        # If another replica read this one under a newer set while the turn was being written, it
        # did not receive the turn, which then must not count as stored under the older set.
        return self._refused(message.epoch) or Kept()

    async def _store_turn(self, turn: Turn, retain_until: float = 0.0) -> None:
        if turn.turn in self.turns:
            return
        place = await self._write(TurnRecord(turn))
        self.index.add(turn, place, self.wall_clock(), retain_until)
        self._add_to_cache(turn)

    async def find(self, message: Find) -> Any:
        """Return the chain up to a turn, or a refusal under another set of members."""
        if refusal := self._refused(message.epoch):
            return refusal
        return await self.chain(message.turn)

    async def chain(self, turn: TurnId) -> Found:
        """Return the part of the chain up to a turn that is stored here."""
        chain: list[Turn] = []
        wanted: TurnId | None = turn
        while wanted is not None and len(chain) < MAX_CHAIN_LENGTH:
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
            logger.bind(turn=turn).error("record at the indexed location is not the turn")
            return None
        self._add_to_cache(record.turn)
        return record.turn

    def _add_to_cache(self, turn: Turn) -> None:
        if turn.turn in self.cache:
            return
        self.cache[turn.turn] = turn
        self.cached_bytes += len(turn.asked) + len(turn.answered)
        while self.cached_bytes > MAX_CACHED_BYTES:
            _, old = self.cache.popitem(last=False)
            self.cached_bytes -= len(old.asked) + len(old.answered)

    # Requests of replicas that catch up

    async def list_held(self, message: ListHeld) -> Any:
        """Return the names of the stored data, and refuse older sets of members from now on."""
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
        return Held(tuple(self.turns), accounts, promised, dict(self.failures.records))

    async def fetch(self, message: Fetch) -> Any:
        """Return turns and accounts by name; turns up to a total size."""
        turns = []
        size = 0
        for name in message.turns:
            turn = await self.turn(name)
            if turn is None:
                continue
            turns.append(turn)
            size += len(turn.asked) + len(turn.answered)
            if size > MAX_FETCH_BYTES:
                break
        accounts = {}
        for program in message.programs:
            slot = self.slots.get(program)
            if slot is not None:
                accounts[program] = (slot.accepted, slot.account)
        retained = {
            turn.turn: where.expires_at
            for turn in turns
            if (where := self.turns.get(turn.turn)) and where.expires_at > turn.expires_at
        }
        return Fetched(tuple(turns), accounts, retained)

    async def compare_turns(self, message: CompareTurns) -> DifferentTurns:
        """Return the names of turns here that another member may lack."""
        names = self.index.names_unlike(message.checksums, self.wall_clock())
        names += [name for name in message.gaps if name in self.turns]
        return DifferentTurns(tuple(names))

    async def store_fetched(self, fetched: Fetched) -> None:
        """Store data of another replica, as if the proposals had reached this one late."""
        writes = [
            self._store_turn(turn, fetched.retained_until.get(turn.turn, 0.0))
            for turn in fetched.turns
        ]
        for program, (ballot, account) in fetched.accounts.items():
            slot = self.slots.setdefault(program, Slot())
            if ballot <= slot.accepted:
                continue
            # An account accepted elsewhere is stored even below a promise: storing it is no vote,
            # and the next round of promises must find it.
            slot.promised, slot.accepted = max(slot.promised, ballot.next()), ballot
            slot.account = account
            writes.append(self._write(AcceptRecord(program, slot.promised, ballot, account)))
        await asyncio.gather(*writes)

    async def adopt_promises(self, promised: dict[ProgramId, Ballot]) -> None:
        """Make the promises of another replica.

        A majority of promises that included a lost disk must not be lost with that disk.
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
        """Remove expired data, and segments without other data, periodically."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            if self.journal.failure is not None:
                return
            self.forget_expired()
            self.record_clock()
            await self._drop_segments()

    def forget_expired(self) -> None:
        """Remove expired turns and accounts from the index and from memory."""
        now = self.wall_clock()
        for name in self.index.remove_expired(now):
            cached = self.cache.pop(name, None)
            if cached is not None:
                self.cached_bytes -= len(cached.asked) + len(cached.answered)
        for program, slot in list(self.slots.items()):
            if slot.accepted.number and slot.account.touched_at + ACCOUNT_RETENTION_S < now:
                del self.slots[program]
                self.unresolved_ends.programs.pop(program, None)
                self.confirmations.remove(program)
        if self.failures.remove_expired():
            self.failures_changed()

    def record_clock(self) -> None:
        """Record the time while grants may count, so that a restart knows their age."""
        since = self.clock() - GRANT_RETENTION_S
        if any(grants.times and grants.times[-1] > since for grants in self.grants.values()):
            self._write(ClockRecord(self.clock()))

    def _segments_with_grants(self) -> list[int]:
        """Return the segments with grants that may still count."""
        since = self.clock() - GRANT_RETENTION_S
        self.last_granted_at = {each: at for each, at in self.last_granted_at.items() if at > since}
        return list(self.last_granted_at)

    async def _drop_segments(self) -> None:
        """Copy data that is still needed to the active segment, and remove older segments."""
        active = self.journal.active
        needed = [where.place.segment for where in self.turns.values()]
        needed += self._segments_with_grants()
        oldest = min(needed, default=active)
        if oldest <= min(self.journal.segments, default=active):
            return
        writes = [self._write(MembersRecord(self.replicas))]
        writes += [self._write(EndRecord(end)) for end in self.unresolved_ends.all()]
        writes += [self._write(ConfirmRecord(*each)) for each in self.confirmations.all_confirmed()]
        writes.append(self._write(CountingRecord(self.counts)))
        writes += [self._write(FailuresRecord(*each)) for each in self.failures.records.items()]
        for program, slot in self.slots.items():
            writes.append(
                self._write(AcceptRecord(program, slot.promised, slot.accepted, slot.account))
            )
        await asyncio.gather(*writes)
        await self.journal.drop(min(oldest, active))


__all__ = ["Replica"]
