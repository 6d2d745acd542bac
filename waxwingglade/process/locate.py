"""Lookup of the entry that owns a log."""

import asyncio

from waxwingglade.base import EntryRef, ErrorCode, LogId, Ok, Outcome, creator_of, not_run
from waxwingglade.connection.peer_messages import FindLog, LogFound
from waxwingglade.process.directory import Versioned
from waxwingglade.process.entry import Entry

CACHE_TTL_S = 2.0
"""Seconds for which the owner read from the store is cached."""

CACHE_SIZE = 10_000
RETRY_AFTER_S = 1.0
SHARED_READ_S = 0.5
"""Seconds for which concurrent lookups of a log share one read of the store."""

MAX_ASKED_PEERS = 16
"""Maximum number of peers to ask for a log that the store has no record of."""


async def find_owner(entry: Entry, log: LogId, refresh: bool = False) -> Outcome[EntryRef]:
    """Return the entry that owns a log.

    Parameters
    ----------
    entry : Entry
        The process.
    log : LogId
        The log, which this process does not own.
    refresh : bool
        Whether to read the store without trying the likely owner, because that one was wrong.

    Returns
    -------
    Outcome[EntryRef]
        An owner that is alive as far as this process knows; otherwise a NOT_RUN failure.
    """
    likely = None if refresh else _likely_owner(entry, log)
    if likely is not None:
        return Ok(likely)
    found = await _read_shared(entry, log)
    if found.is_err():
        failure = found.err_value
        return not_run(failure.code, failure.message, failure.retry_after_s or RETRY_AFTER_S)
    stored = found.ok_value.entry
    if stored is None:
        return await _find_at_peers(entry, log)
    owner = stored.owner
    _cache_owner(entry, log, owner)
    if entry.members.is_unreachable(owner):
        text = "the entry that owns the program was lost; another is taking over"
        return not_run(ErrorCode.OWNER_UNAVAILABLE, text, RETRY_AFTER_S)
    return Ok(owner)


async def _read_shared(entry: Entry, log: LogId) -> Outcome[Versioned]:
    """Read a log's record in the store, once for all lookups within `SHARED_READ_S`.

    While a log is taken over, every waiting request looks up its owner repeatedly.
    """
    reading = entry.owner_reads.get(log)
    if reading is None:
        reading = entry.spawn(entry.directory.read(log))
        entry.owner_reads[log] = reading
        asyncio.get_running_loop().call_later(SHARED_READ_S, entry.owner_reads.pop, log, None)
    return await asyncio.shield(reading)


async def _find_at_peers(entry: Entry, log: LogId) -> Outcome[EntryRef]:
    """Ask peers for a log without a record in the store: it may be new, or retired long ago."""
    peers = [ref for ref in entry.members.alive_refs() if ref.incarnation != entry.incarnation]
    links = [entry.links.to(ref.peer_address, ref.incarnation) for ref in peers[:MAX_ASKED_PEERS]]
    period_s = entry.settings.durability.heartbeat_s
    answers = await asyncio.gather(*(link.request(FindLog(log), period_s) for link in links))
    found = [a.ok_value for a in answers if a.is_ok() and isinstance(a.ok_value, LogFound)]
    serving = [answer.owner for answer in found if answer.serving and answer.owner is not None]
    if serving:
        return Ok(serving[0])
    if log in entry.copies.logs or any(answer.owner is not None for answer in found):
        text = "the entry that owns the program was lost; another is taking over"
        return not_run(ErrorCode.OWNER_UNAVAILABLE, text, RETRY_AFTER_S)
    return not_run(ErrorCode.NOT_FOUND, f"the program's log {log} is not known")


def _likely_owner(entry: Entry, log: LogId) -> EntryRef | None:
    cached = entry.owner_cache.get(log)
    if (
        cached is not None
        and entry.clock() - cached[1] < CACHE_TTL_S
        and not entry.members.is_unreachable(cached[0])
    ):
        return cached[0]
    copy = entry.copies.logs.get(log)
    if copy is not None and copy.owner is not None and entry.members.alive(copy.owner):
        return copy.owner
    return _creator(entry, log)


def _creator(entry: Entry, log: LogId) -> EntryRef | None:
    """Return the entry that created the log, if that very process is alive."""
    _, name, incarnation = creator_of(log)
    if incarnation == entry.incarnation:
        # This process created the log and does not own it any more.
        return None
    return entry.members.find(name, incarnation)


def _cache_owner(entry: Entry, log: LogId, owner: EntryRef) -> None:
    entry.owner_cache.pop(log, None)
    entry.owner_cache[log] = (owner, entry.clock())
    if len(entry.owner_cache) > CACHE_SIZE:
        del entry.owner_cache[next(iter(entry.owner_cache))]
