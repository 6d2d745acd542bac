"""Taking over a log whose owner is gone or leaves.

1. Ask the copies whether they, too, have lost sight of the owner: an entry that is itself cut off
   must not disturb an owner that serves well.  Nothing changes yet.
2. Raise the epoch in the store by compare-and-swap: one entry may go on.
3. Seal so many copies that the owner before can make nothing more durable.  Of what they hold, the
   longest log of the highest epoch contains every durable record.
4. Copy it to the entries that are to hold it from now on, with a record of the takeover.
5. Name these entries in the store by compare-and-swap; only then is the log served.

If a step fails nothing is served, and the next attempt starts over with a higher epoch.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec

from waxwingglade.base import EntryRef, Epoch, Err, ErrorCode, LogId, Ok, Outcome, not_run
from waxwingglade.connection.peer_messages import (
    DropCopy,
    FindLog,
    LogFound,
    PeerBody,
    SealCopy,
    SealedCopy,
)
from waxwingglade.connection.store_budget import Purpose
from waxwingglade.process.directory import FORMAT_VERSION, Directory, LogEntry, Versioned
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.program import TakenOver

RETRY_AFTER_S = 1.0

Ask = Callable[[EntryRef, PeerBody], Awaitable[Outcome[PeerBody]]]
Build = Callable[[LogId, Epoch, list[bytes]], OwnedLog]
A = TypeVar("A", LogFound, SealedCopy)


class TakeoverContext(msgspec.Struct):
    """What a takeover needs of the process.

    Parameters
    ----------
    own : EntryRef
        This process.
    directory : Directory
        The store's records.
    ask : callable
        Sends a request to an entry, this one included, and returns its answer.
    build : callable
        Makes the owned log with its new copies, started, from epoch and records.
    retain_as_copy : callable
        Keeps what was built as a mere copy, when the takeover failed after it was copied.
    min_copies : int
        Copies without which a log is not taken over.
    """

    own: EntryRef
    directory: Directory
    ask: Ask
    build: Build
    retain_as_copy: Callable[[OwnedLog], None]
    min_copies: int


def copies_to_seal(copies: int) -> int:
    """Return how many of `copies` copies hold every durable record between them.

    A record is durable at a majority, so any set that leaves no majority outside it will do.
    """
    majority = copies // 2 + 1
    return copies - majority + 1


async def take_over(
    means: TakeoverContext, log: LogId, fallback: LogEntry | None, requested_by_owner: bool = False
) -> Outcome[OwnedLog]:
    """Become the owner of a log.

    Parameters
    ----------
    means : TakeoverContext
        What is needed of the process.
    log : LogId
        The log.
    fallback : LogEntry or None
        What the copy here says of the log, used where the store has no record of it.
    requested_by_owner : bool
        Whether the owner itself asked for it, so that nobody else needs to be asked.

    Returns
    -------
    Outcome[OwnedLog]
        The log, ready to be served.
    """
    found = await means.directory.read(log, purpose=Purpose.OWNERSHIP)
    if found.is_err():
        return found
    before = found.ok_value.entry or fallback
    if before is None:
        return not_run(ErrorCode.NOT_FOUND, f"log {log} is not known")
    if not requested_by_owner:
        agreed = await _owner_is_gone(means, before)
        if agreed.is_err():
            return agreed
    claimed = await _claim(means, before, found.ok_value.revision)
    if claimed.is_err():
        return claimed
    return await _rebuild(means, claimed.ok_value)


async def _rebuild(means: TakeoverContext, claimed: Versioned) -> Outcome[OwnedLog]:
    """Make the log anew from its copies, under the epoch that was claimed."""
    entry = claimed.entry
    assert entry is not None
    sealed = await _seal(means, entry)
    if sealed.is_err():
        return sealed
    owned = means.build(entry.log, entry.epoch, list(sealed.ok_value.records))
    settled = await _settle(means, owned, entry, claimed.revision)
    if settled.is_err():
        # The store may name this entry as a holder already, if only the answer was lost.
        means.retain_as_copy(owned)
        await owned.stop()
        return settled
    _drop_others(means, owned, entry)
    return Ok(owned)


async def _owner_is_gone(means: TakeoverContext, before: LogEntry) -> Outcome[None]:
    """Check that enough copies can be reached, and that none of them still sees the owner."""
    needed = copies_to_seal(len(before.copies))
    answers = await _ask_copies(means, before, FindLog(before.log), LogFound, needed)
    if answers.is_err():
        return answers
    for answer in answers.ok_value:
        if answer.owner is not None and means.own.answers_to(answer.owner.incarnation):
            # Left by an attempt of this entry that failed half-way; it is no owner to be spared.
            continue
        if answer.serving or (answer.owner is not None and not answer.owner_gone):
            return not_run(ErrorCode.CONFLICT, f"log {before.log} is looked after", RETRY_AFTER_S)
    return Ok(None)


async def _claim(means: TakeoverContext, before: LogEntry, revision: int) -> Outcome[Versioned]:
    entry = msgspec.structs.replace(
        before, format=FORMAT_VERSION, epoch=Epoch(before.epoch + 1), owner=means.own
    )
    written = await means.directory.write(entry, revision)
    return written.map(lambda new_revision: Versioned(entry, new_revision))


async def _seal(means: TakeoverContext, entry: LogEntry) -> Outcome[SealedCopy]:
    """Seal enough copies and return the one that holds most."""
    needed = copies_to_seal(len(entry.copies))
    message = SealCopy(entry.log, entry.epoch)
    sealed = await _ask_copies(means, entry, message, SealedCopy, needed)
    return sealed.map(
        lambda copies: max(copies, key=lambda copy: (copy.last_epoch, len(copy.records)))
    )


async def _ask_copies(
    means: TakeoverContext, entry: LogEntry, message: PeerBody, wanted: type[A], needed: int
) -> Outcome[list[A]]:
    """Ask every copy and return the answers of the wanted type once enough have come."""
    waiting = {asyncio.create_task(means.ask(ref, message)) for ref in entry.copies}
    answers: list[A] = []
    while waiting and len(answers) < needed:
        done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        results = [task.result() for task in done]
        answers += [r.ok_value for r in results if r.is_ok() and isinstance(r.ok_value, wanted)]
    for task in waiting:
        task.cancel()
    if len(answers) < needed:
        text = f"{len(answers)} of {len(entry.copies)} copies answered, {needed} are needed"
        return not_run(ErrorCode.UNAVAILABLE, text, RETRY_AFTER_S)
    return Ok(answers)


async def _settle(
    means: TakeoverContext, owned: OwnedLog, entry: LogEntry, revision: int
) -> Outcome[None]:
    own = owned.own
    if len(owned.copies) < means.min_copies:
        text = f"only {len(owned.copies)} entries could hold log {owned.log}"
        return not_run(ErrorCode.UNAVAILABLE, text, RETRY_AFTER_S)
    appended = await owned.append(None, TakenOver(own.entry, own.incarnation))
    if appended.is_err():
        return Err(appended.err_value)
    settled = msgspec.structs.replace(entry, copies=owned.copies)
    registered = await means.directory.write(settled, revision)
    if registered.is_err():
        return registered
    owned.store_revision = registered.ok_value
    return Ok(None)


def _drop_others(means: TakeoverContext, owned: OwnedLog, entry: LogEntry) -> None:
    """Tell the copies that are no longer needed; one that does not hear it finds out later."""
    kept = {ref.incarnation for ref in owned.copies}
    message = DropCopy(owned.log, owned.epoch, 0)
    unneeded = [ref for ref in entry.copies if ref.incarnation not in kept]
    for ref in unneeded:
        owned.track_task(asyncio.create_task(means.ask(ref, message)))
