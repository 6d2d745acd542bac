"""A log that this process owns: its records, and their replication to the other copies.

A record counts as durable once a majority of the log's copies hold it, one of them in another zone
as long as any copy in another zone can be reached.  One task for each holder sends all records that
the holder lacks, so records that are appended together are sent together.
"""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from functools import partial

from loguru import logger

from waxwingglade.base import (
    EntryRef,
    Epoch,
    ErrorCode,
    Incarnation,
    LogId,
    Ok,
    Outcome,
    ProgramId,
    Sequence,
    may_have_run,
    not_run,
)
from waxwingglade.base.tasks import run_forever, start_task
from waxwingglade.connection.peer import PeerLinks
from waxwingglade.connection.peer_messages import (
    Appended,
    AppendRecords,
    Behind,
    DropCopy,
    Fenced,
    SealCopy,
    SealedCopy,
)
from waxwingglade.program import Programs, apply_record, decode_record, encode_record
from waxwingglade.program.records import Body
from waxwingglade.settings import DurabilitySettings

RESEND_PAUSE_S = 0.1
RETRY_AFTER_S = 1.0
TAKEN_OVER = "another entry owns the program now"
TOO_FEW_COPIES = "too few copies of the program can be reached"
NOT_CAUGHT_UP = "the new copies did not catch up"


class OwnedLog:
    """One log and the programs whose records it contains.

    Parameters
    ----------
    log : LogId
        Name of the log.
    epoch : Epoch
        Epoch of this ownership; a later owner has a higher one.
    own : EntryRef
        This process.
    copies : list of EntryRef
        Entries that hold the log, this one included.
    records : list of bytes
        Records taken over from the previous owner; empty for a new log.
    links : PeerLinks
        Connections of the process.
    settings : DurabilitySettings
        Timeouts.
    alive : callable
        Returns whether an entry can be reached, as far as this process knows.
    """

    def __init__(
        self,
        log: LogId,
        epoch: Epoch,
        own: EntryRef,
        copies: list[EntryRef],
        records: list[bytes],
        links: PeerLinks,
        settings: DurabilitySettings,
        alive: Callable[[EntryRef], bool],
    ) -> None:
        self.log = log
        self.epoch = epoch
        self.own = own
        self.copies = copies
        self.next_copies: list[EntryRef] | None = None
        self.change_uncertain = False
        self.change_lock = asyncio.Lock()
        self.records = records
        self.links = links
        self.settings = settings
        self.alive = alive
        self.programs: Programs = {}
        self.acked: dict[Incarnation, int] = {own.incarnation: len(records)}
        self.committed = 0
        self.fenced_by: Epoch | None = None
        self.store_revision = 0
        self.tasks: set[asyncio.Task] = set()
        self.contested_by: EntryRef | None = None
        self.handing_over = False
        self.handed_over = asyncio.Event()
        self.wake_events: dict[Incarnation, asyncio.Event] = {}
        self.last_opening = 0
        self.opening_of: dict[Incarnation, int] = {}
        self.senders: dict[Incarnation, asyncio.Task] = {}
        self.waiters: list[tuple[int, int, asyncio.Future[None]]] = []
        self.tie_breaker = itertools.count()
        self.probe = 0
        self.probe_acked: dict[Incarnation, int] = {}
        self.answered = asyncio.Event()
        for data in records:
            apply_record(self.programs, decode_record(data))

    # --- lifecycle ----------------------------------------------------------------------------

    def start(self) -> None:
        """Start to send records to every holder."""
        for holder in self._all_holders():
            self._start_sender(holder)
        self._advance()

    async def stop(self) -> None:
        """Stop the tasks; records that are not yet durable may still become durable."""
        tasks = list(self.senders.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._release_waiters(len(self.records) + 1)

    @property
    def fenced(self) -> bool:
        """Whether another entry has taken the log over."""
        return self.fenced_by is not None

    def track_task(self, task: asyncio.Task) -> None:
        """Hold a reference to a task until it ends."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def fence(self, epoch: Epoch) -> None:
        """Stop acting as the owner, because a copy has promised to accept only `epoch` or later."""
        if self.fenced:
            return
        logger.warning("log {} at epoch {} was taken over at epoch {}", self.log, self.epoch, epoch)
        self.fenced_by = epoch
        for event in self.wake_events.values():
            event.set()
        self.answered.set()
        self.handed_over.set()
        self._release_waiters(len(self.records) + 1)

    def has_majority(self) -> bool:
        """Return whether a majority of the copies exists, even without records."""
        created = sum(ref.incarnation in self.acked for ref in self.copies)
        return created > len(self.copies) // 2

    # --- records ------------------------------------------------------------------------------

    async def append(self, program: ProgramId | None, *bodies: Body) -> Outcome[Sequence]:
        """Add records and wait until they are durable.

        Returns
        -------
        Outcome[Sequence]
            Number of records in the log after these.  A failure has the verdict MAY_HAVE_RUN if the
            records may still become durable, and NOT_RUN if they were not added.
        """
        if self.fenced:
            return not_run(ErrorCode.FENCED, TAKEN_OVER, RETRY_AFTER_S)
        for body in bodies:
            data = encode_record(self.epoch, program, body)
            self.records.append(data)
            apply_record(self.programs, decode_record(data))
        self.acked[self.own.incarnation] = len(self.records)
        for event in self.wake_events.values():
            event.set()
        return await self.wait_until_durable(len(self.records))

    async def wait_until_durable(self, length: int | None = None) -> Outcome[Sequence]:
        """Wait until the first `length` records (all, if None) are durable."""
        length = len(self.records) if length is None else length
        self._advance()
        if self.committed < length and not self.fenced:
            future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            heapq.heappush(self.waiters, (length, next(self.tie_breaker), future))
            await asyncio.wait([future], timeout=self.settings.append_timeout_s)
        if self.committed >= length:
            return Ok(Sequence(length))
        if self.fenced:
            return may_have_run(ErrorCode.FENCED, TAKEN_OVER, RETRY_AFTER_S)
        return may_have_run(ErrorCode.UNAVAILABLE, TOO_FEW_COPIES, RETRY_AFTER_S)

    async def confirm_ownership(self) -> Outcome[None]:
        """Check that this process was still the owner at some time after the call.

        A read must not return a state older than what another owner has made durable meanwhile, so
        a majority of the copies is asked.  Concurrent reads share one probe.
        """
        self.probe += 1
        probe = self.probe
        for event in self.wake_events.values():
            event.set()
        return await self._wait_for_answers(lambda: self._is_confirmed_since(probe), TOO_FEW_COPIES)

    async def _wait_for_answers(self, enough: Callable[[], bool], message: str) -> Outcome[None]:
        """Wait until `enough` returns true; `message` describes the failure if it does not."""
        try:
            async with asyncio.timeout(self.settings.append_timeout_s):
                while not self.fenced and not enough():
                    await self.answered.wait()
        except TimeoutError:
            return not_run(ErrorCode.UNAVAILABLE, message, RETRY_AFTER_S)
        if self.fenced:
            return not_run(ErrorCode.FENCED, TAKEN_OVER, RETRY_AFTER_S)
        return Ok(None)

    def _is_confirmed_since(self, probe: int) -> bool:
        """Return whether a majority of the copies answered `probe` or a later one."""
        self.probe_acked[self.own.incarnation] = self.probe
        sets = [self.copies, *([self.next_copies] if self.next_copies is not None else [])]
        return all(
            sum(self.probe_acked.get(ref.incarnation, 0) >= probe for ref in copies)
            > len(copies) // 2
            for copies in sets
        )

    def _record_probe(self, holder: EntryRef, probe: int) -> None:
        self.probe_acked[holder.incarnation] = probe
        self.answered.set()
        self.answered = asyncio.Event()

    def seal(self, message: SealCopy) -> SealedCopy | Fenced:
        """Fence this owner in favour of a higher epoch and return the records."""
        if message.epoch <= max(self.epoch, self.fenced_by or Epoch(0)):
            return Fenced(self.fenced_by or self.epoch)
        self.fence(message.epoch)
        self.fenced_by = message.epoch
        return SealedCopy(self.epoch, self.records)

    # --- copies -------------------------------------------------------------------------------

    def begin_change(self, copies: list[EntryRef]) -> None:
        """Require majorities of both the old and the new copies from now on."""
        self.next_copies = copies
        for holder in copies:
            self._start_sender(holder)

    async def wait_for_new_copies(self) -> Outcome[None]:
        """Wait until a majority of the new copies alone holds every record appended so far.

        A majority of the old copies is not enough: a later owner may know only the new ones.
        """
        length = len(self.records)
        return await self._wait_for_answers(lambda: self._next_copies_hold(length), NOT_CAUGHT_UP)

    def _next_copies_hold(self, length: int) -> bool:
        return self.next_copies is None or self._quorum_length(self.next_copies) >= length

    def finish_change(self) -> None:
        """Rely on the new copies alone, which the store has accepted."""
        assert self.next_copies is not None
        before = self.copies
        self.copies = self.next_copies
        self.next_copies = None
        self.change_uncertain = False
        retained = {ref.incarnation for ref in self.copies}
        for ref in before:
            if ref.incarnation not in retained:
                self._stop_sender(ref)
        self._advance()

    def abandon_change(self) -> None:
        """Rely on the old copies alone, as the store has not accepted the new ones."""
        retained = {ref.incarnation for ref in self.copies}
        for ref in self.next_copies or []:
            if ref.incarnation not in retained:
                self._stop_sender(ref)
        self.next_copies = None
        self._advance()

    def _all_holders(self) -> list[EntryRef]:
        holders = {ref.incarnation: ref for ref in [*self.copies, *(self.next_copies or [])]}
        return list(holders.values())

    def _start_sender(self, holder: EntryRef) -> None:
        if holder.incarnation in self.senders or holder.incarnation == self.own.incarnation:
            return
        self.last_opening += 1
        self.opening_of[holder.incarnation] = self.last_opening
        self.wake_events[holder.incarnation] = asyncio.Event()
        self.senders[holder.incarnation] = run_forever(partial(self._send_to, holder))

    def _stop_sender(self, holder: EntryRef) -> None:
        task = self.senders.pop(holder.incarnation, None)
        self.wake_events.pop(holder.incarnation, None)
        self.acked.pop(holder.incarnation, None)
        if task is None:
            return
        task.cancel()
        drop = DropCopy(self.log, self.epoch, self.opening_of[holder.incarnation])
        link = self.links.to(holder.peer_address, holder.incarnation)
        self.track_task(start_task(link.request(drop, self.settings.append_timeout_s)))

    async def _send_to(self, holder: EntryRef) -> None:
        """Send a holder every record and probe until this owner is fenced."""
        link = self.links.to(holder.peer_address, holder.incarnation)
        event = self.wake_events[holder.incarnation]
        opening = self.opening_of[holder.incarnation]
        position = 0
        opened = False
        probed = 0
        while not self.fenced:
            if opened and position == len(self.records) and probed == self.probe:
                event.clear()
                await event.wait()
                continue
            probe = self.probe
            message = self._records_from(position, opening)
            reply = await link.request(message, self.settings.suspect_after_s / 2)
            answer = reply.ok_value if reply.is_ok() else None
            if isinstance(answer, Fenced):
                self.fence(answer.epoch)
                return
            if isinstance(answer, Behind):
                position = answer.length
                continue
            if not isinstance(answer, Appended):
                self._advance()
                await asyncio.sleep(RESEND_PAUSE_S)
                continue
            opened = True
            position = answer.length
            probed = probe
            self._record_probe(holder, probe)
            self.acked[holder.incarnation] = position
            self._advance()

    def _records_from(self, position: int, opening: int) -> AppendRecords:
        """Return the message with all records from `position` on."""
        return AppendRecords(
            log=self.log,
            epoch=self.epoch,
            owner=self.own,
            copies=self.copies,
            first=Sequence(position),
            records=self.records[position:],
            registered=self.store_revision > 0,
            opening=opening,
        )

    # --- durability ---------------------------------------------------------------------------

    def _advance(self) -> None:
        length = self._quorum_length(self.copies)
        if self.next_copies is not None:
            length = min(length, self._quorum_length(self.next_copies))
        if length <= self.committed:
            return
        self.committed = length
        self._release_waiters(length)

    def _quorum_length(self, copies: list[EntryRef]) -> int:
        """Return how many records a majority of `copies` hold, including one in another zone."""
        lengths = sorted((self.acked.get(ref.incarnation, 0) for ref in copies), reverse=True)
        majority = lengths[len(copies) // 2]
        remote = [ref for ref in copies if ref.zone != self.own.zone and self.alive(ref)]
        if not remote:
            return majority
        return min(majority, max(self.acked.get(ref.incarnation, 0) for ref in remote))

    def _release_waiters(self, length: int) -> None:
        while self.waiters and self.waiters[0][0] <= length:
            _, _, future = heapq.heappop(self.waiters)
            if not future.done():
                future.set_result(None)
