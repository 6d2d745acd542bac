"""Changes of the entries that hold a log, and registration of a log in the store.

Until the store has accepted the new holders, a record is durable only at majorities of both the old
and the new ones.  So a later owner finds every durable record, whichever set it reads in the store.
"""

from waxwingglade.base import (
    EntryRef,
    Err,
    ErrorCode,
    Ok,
    Outcome,
    Verdict,
    may_have_run,
    not_run,
)
from waxwingglade.connection.store_budget import Purpose
from waxwingglade.process.directory import FORMAT_VERSION, Directory, LogEntry
from waxwingglade.process.owned_log import OwnedLog


def log_entry_for(owned: OwnedLog, copies: list[EntryRef]) -> LogEntry:
    """Return the store's record for a log with the given copies."""
    return LogEntry(FORMAT_VERSION, owned.log, owned.epoch, owned.own, copies)


async def register(owned: OwnedLog, directory: Directory) -> Outcome[None]:
    """Write the log's owner and copies to the store, once; the log is served meanwhile.

    A log is not registered before a majority of its copies exists.  If the owner of a registered
    log were lost while no copy existed, no entry would take the log over, and its record would
    remain in the store.
    """
    if owned.store_revision:
        return Ok(None)
    if not owned.has_majority():
        return not_run(ErrorCode.UNAVAILABLE, f"log {owned.log} has no holders yet", 1.0)
    return await _write(owned, directory, owned.copies)


async def change_copies(
    owned: OwnedLog, copies: list[EntryRef], directory: Directory
) -> Outcome[None]:
    """Move a log to other holders.

    Once a write to the store may have taken effect, both sets of holders stay in use until the
    store is known to contain the new one: a later owner may read a write whose answer was lost, and
    a delayed write may arrive after a read that does not return it.  Another call resolves this.
    """
    async with owned.change_lock:
        return await _change_copies(owned, copies, directory)


async def _change_copies(
    owned: OwnedLog, copies: list[EntryRef], directory: Directory
) -> Outcome[None]:
    if owned.next_copies is None:
        owned.begin_change(copies)
    assert owned.next_copies is not None
    caught_up = await owned.wait_for_new_copies()
    if caught_up.is_err():
        _abandon_if_certain(owned)
        return caught_up
    written = await _write(owned, directory, owned.next_copies)
    if written.is_ok():
        owned.finish_change()
        return written
    if written.err_value.verdict is not Verdict.NOT_RUN:
        owned.change_uncertain = True
    _abandon_if_certain(owned)
    return written


def _abandon_if_certain(owned: OwnedLog) -> None:
    if not owned.change_uncertain and owned.next_copies is not None:
        owned.abandon_change()


async def _write(owned: OwnedLog, directory: Directory, copies: list[EntryRef]) -> Outcome[None]:
    entry = log_entry_for(owned, copies)
    written = await directory.write(entry, owned.store_revision)
    if written.is_ok():
        owned.store_revision = written.ok_value
        return Ok(None)
    if written.err_value.code is not ErrorCode.CONFLICT:
        return Err(written.err_value)
    return await _resolve_conflict(owned, directory, entry)


async def _resolve_conflict(
    owned: OwnedLog, directory: Directory, entry: LogEntry
) -> Outcome[None]:
    """Find out whether an earlier write of this owner took effect, or another entry took over."""
    found = await directory.read(owned.log, purpose=Purpose.OWNERSHIP)
    if found.is_err():
        # The content of the store is unknown, so the caller has to retain both sets of holders.
        return may_have_run(found.err_value.code, found.err_value.message, 1.0)
    stored = found.ok_value.entry
    if stored == entry:
        owned.store_revision = found.ok_value.revision
        return Ok(None)
    if stored is not None and stored.epoch > owned.epoch:
        # Another entry claims the log.  The copies decide whether it succeeds; this owner may serve
        # the log until they refuse it.
        owned.contested_by = stored.owner
    elif stored is not None:
        owned.store_revision = found.ok_value.revision
    return not_run(ErrorCode.CONFLICT, f"the store's record of {owned.log} had changed", 1.0)
