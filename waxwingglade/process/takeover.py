"""Takeover of a log whose owner is unreachable or leaving.

1. Ask the copies whether the owner is unreachable for them, too: a partitioned entry must not
   disrupt a healthy owner.  This step changes nothing.
2. Raise the epoch in the store by compare-and-swap, so that only one entry can continue.
3. Seal enough copies that the previous owner can make no further record durable.  Among the sealed
   copies, the longest log of the highest epoch contains every durable record.
4. Copy that log to its new holders, with a record of the takeover.
5. Write the new holders to the store by compare-and-swap; only then is the log served.

If a step fails, the log is not served, and the next attempt starts over with a higher epoch.
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
AnswerT = TypeVar("AnswerT", LogFound, SealedCopy)


class TakeoverContext(msgspec.Struct):
    """Parts of the process that a takeover uses.

    Parameters
    ----------
    own : EntryRef
        This process.
    directory : Directory
        The log records in the store.
    ask : callable
        Sends a request to an entry, this one included, and returns its answer.
    build : callable
        Returns a started owned log with new copies, given its name, epoch and records.
    retain_as_copy : callable
        Retains a built log as a copy if the takeover failed after the log may have been replicated.
    min_copies : int
        Minimum number of copies of a log that is taken over.
    """

    own: EntryRef
    directory: Directory
    ask: Ask
    build: Build
    retain_as_copy: Callable[[OwnedLog], None]
    min_copies: int


def copies_to_seal(copies: int) -> int:
    """Return how many of `copies` copies together hold every durable record.

    A durable record is in a majority of the copies, so a set is large enough if the copies outside
    it are no majority.
    """
    majority = copies // 2 + 1
    return copies - majority + 1


async def take_over(
    context: TakeoverContext,
    log: LogId,
    fallback: LogEntry | None,
    requested_by_owner: bool = False,
) -> Outcome[OwnedLog]:
    """Become the owner of a log.

    Parameters
    ----------
    context : TakeoverContext
        Parts of the process that the takeover uses.
    log : LogId
        The log.
    fallback : LogEntry or None
        Record of the log built from the local copy, used if the store has none.
    requested_by_owner : bool
        Whether the log's owner requested the takeover, so that the copies are not asked whether it
        can be reached.

    Returns
    -------
    Outcome[OwnedLog]
        The log, ready to serve requests.
    """
    found = await context.directory.read(log, purpose=Purpose.OWNERSHIP)
    if found.is_err():
        return found
    previous = found.ok_value.entry or fallback
    if previous is None:
        return not_run(ErrorCode.NOT_FOUND, f"log {log} is not known")
    if not requested_by_owner:
        agreed = await _check_owner_unreachable(context, previous)
        if agreed.is_err():
            return agreed
    claimed = await _claim(context, previous, found.ok_value.revision)
    if claimed.is_err():
        return claimed
    return await _rebuild(context, claimed.ok_value)


async def _rebuild(context: TakeoverContext, claimed: Versioned) -> Outcome[OwnedLog]:
    """Rebuild the log from its copies at the claimed epoch."""
    entry = claimed.entry
    assert entry is not None
    sealed = await _seal(context, entry)
    if sealed.is_err():
        return sealed
    owned = context.build(entry.log, entry.epoch, list(sealed.ok_value.records))
    registered = await _register(context, owned, entry, claimed.revision)
    if registered.is_err():
        # If only the store's answer was lost, the store already names this entry as a holder.
        context.retain_as_copy(owned)
        await owned.stop()
        return registered
    _drop_unneeded_copies(context, owned, entry)
    return Ok(owned)


async def _check_owner_unreachable(context: TakeoverContext, previous: LogEntry) -> Outcome[None]:
    """Check that enough copies can be reached, and that none of them still reaches the owner."""
    needed = copies_to_seal(len(previous.copies))
    answers = await _ask_copies(context, previous, FindLog(previous.log), LogFound, needed)
    if answers.is_err():
        return answers
    for answer in answers.ok_value:
        if answer.owner is not None and context.own.answers_to(answer.owner.incarnation):
            # This entry is named because an earlier takeover by it failed half-way; it is no owner
            # that a new attempt would disrupt.
            continue
        if answer.serving or (answer.owner is not None and not answer.owner_gone):
            return not_run(ErrorCode.CONFLICT, f"log {previous.log} is looked after", RETRY_AFTER_S)
    return Ok(None)


async def _claim(context: TakeoverContext, previous: LogEntry, revision: int) -> Outcome[Versioned]:
    entry = msgspec.structs.replace(
        previous, format=FORMAT_VERSION, epoch=Epoch(previous.epoch + 1), owner=context.own
    )
    written = await context.directory.write(entry, revision)
    return written.map(lambda new_revision: Versioned(entry, new_revision))


async def _seal(context: TakeoverContext, entry: LogEntry) -> Outcome[SealedCopy]:
    """Seal enough copies and return the longest one of the highest epoch."""
    needed = copies_to_seal(len(entry.copies))
    message = SealCopy(entry.log, entry.epoch)
    sealed = await _ask_copies(context, entry, message, SealedCopy, needed)
    return sealed.map(
        lambda copies: max(copies, key=lambda copy: (copy.last_epoch, len(copy.records)))
    )


async def _ask_copies(
    context: TakeoverContext,
    entry: LogEntry,
    message: PeerBody,
    expected: type[AnswerT],
    needed: int,
) -> Outcome[list[AnswerT]]:
    """Ask every copy and return the answers of the expected type once enough have arrived."""
    waiting = {asyncio.create_task(context.ask(ref, message)) for ref in entry.copies}
    answers: list[AnswerT] = []
    while waiting and len(answers) < needed:
        done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        results = [task.result() for task in done]
        answers += [r.ok_value for r in results if r.is_ok() and isinstance(r.ok_value, expected)]
    for task in waiting:
        task.cancel()
    if len(answers) < needed:
        text = f"{len(answers)} of {len(entry.copies)} copies answered, {needed} are needed"
        return not_run(ErrorCode.UNAVAILABLE, text, RETRY_AFTER_S)
    return Ok(answers)


async def _register(
    context: TakeoverContext, owned: OwnedLog, entry: LogEntry, revision: int
) -> Outcome[None]:
    own = owned.own
    if len(owned.copies) < context.min_copies:
        text = f"only {len(owned.copies)} entries could hold log {owned.log}"
        return not_run(ErrorCode.UNAVAILABLE, text, RETRY_AFTER_S)
    appended = await owned.append(None, TakenOver(own.entry, own.incarnation))
    if appended.is_err():
        return Err(appended.err_value)
    updated = msgspec.structs.replace(entry, copies=owned.copies)
    registered = await context.directory.write(updated, revision)
    if registered.is_err():
        return registered
    owned.store_revision = registered.ok_value
    return Ok(None)


def _drop_unneeded_copies(context: TakeoverContext, owned: OwnedLog, entry: LogEntry) -> None:
    """Notify the holders that are no longer needed; one that misses it asks the store later."""
    retained = {ref.incarnation for ref in owned.copies}
    message = DropCopy(owned.log, owned.epoch, 0)
    unneeded = [ref for ref in entry.copies if ref.incarnation not in retained]
    for ref in unneeded:
        owned.track_task(asyncio.create_task(context.ask(ref, message)))
