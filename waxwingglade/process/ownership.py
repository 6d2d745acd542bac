"""The logs that this process owns: creation, registration, maintenance, takeover and retirement."""

import asyncio
import random

from loguru import logger

from waxwingglade.base import (
    EntryRef,
    Epoch,
    Err,
    ErrorCode,
    Incarnation,
    LogId,
    Ok,
    Outcome,
    make_log_id,
    not_run,
)
from waxwingglade.connection.peer_messages import (
    DropCopy,
    EntryState,
    FindLog,
    LogFound,
    LogTaken,
    PeerBody,
    Refused,
    TakeLog,
)
from waxwingglade.process.directory import FORMAT_VERSION, LogEntry
from waxwingglade.process.entry import Entry
from waxwingglade.process.log_copy import LogCopy
from waxwingglade.process.log_requests import answer_log_request
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.process.placement import choose_copies, is_spread, rank
from waxwingglade.process.reconfigure import change_copies, register
from waxwingglade.process.takeover import TakeoverContext, take_over
from waxwingglade.process.unfinished import resolve_unfinished
from waxwingglade.settings import CutPolicy

MIN_COPIES = 2
"""Minimum copies of a log while its other holders are unreachable."""

RANK_DELAY_PERIODS = 4
"""Takeover periods that an entry waits for each entry ranked before it."""


# --- creating -----------------------------------------------------------------------------------


def open_logs(entry: Entry) -> None:
    """Create this process's first logs, usable at once and registered in the store later."""
    for _ in range(entry.settings.durability.logs_per_entry):
        open_log(entry, CutPolicy.HOME)


def open_log(entry: Entry, cut_policy: CutPolicy) -> OwnedLog:
    """Create a log for new programs, without a request to a peer or the store."""
    log = make_log_id(entry.own, cut_policy.value, next(entry.log_numbers))
    owned = build_log(entry, log, Epoch(1), [])
    entry.owned[log] = owned
    entry.open_logs[cut_policy].append(log)
    return owned


def log_for_new_program(entry: Entry, cut_policy: CutPolicy) -> OwnedLog | None:
    """Return the open log with the fewest programs among those as fault tolerant as a new log.

    If no open log is as fault tolerant, a log is opened; if none can be appended to, None is
    returned.  A change of a log's holders requires the store, while a new log does not; until its
    holders are changed, a log with few holders stalls once it loses one.
    """
    roll_logs(entry, cut_policy)
    candidates = [entry.owned.get(log) for log in entry.open_logs[cut_policy]]
    usable = [owned for owned in candidates if owned is not None and _can_append(entry, owned)]
    if not usable:
        return None
    copies = min(entry.settings.durability.copies, len(entry.members.usable()) + 1)
    tolerant = [
        owned for owned in usable if _spare_holders(owned) >= _excess_over_majority(copies, copies)
    ]
    return min(tolerant or [open_log(entry, cut_policy)], key=lambda owned: len(owned.programs))


def _spare_holders(owned: OwnedLog) -> int:
    """Return how many more holders a log can lose and still make records durable."""
    sets = [owned.copies, *([owned.next_copies] if owned.next_copies is not None else [])]
    return min(_excess_over_majority(sum(map(owned.alive, refs)), len(refs)) for refs in sets)


def _excess_over_majority(alive: int, copies: int) -> int:
    return alive - (copies // 2 + 1)


def roll_logs(entry: Entry, cut_policy: CutPolicy) -> None:
    """Close logs that are full, fenced or without enough reachable copies, and open new ones."""
    limit = entry.settings.durability.programs_per_log
    previous = entry.open_logs[cut_policy]
    entry.open_logs[cut_policy] = [
        log
        for log in previous
        if (owned := entry.owned.get(log))
        and _can_append(entry, owned)
        and len(owned.programs) < limit
    ]
    if len(entry.members.usable()) + 1 < min_copies(entry):
        return
    for _ in range(entry.settings.durability.logs_per_entry - len(entry.open_logs[cut_policy])):
        open_log(entry, cut_policy)


def min_copies(entry: Entry) -> int:
    """Return the minimum number of copies to create a program: two, or one without peers."""
    return min(MIN_COPIES, entry.settings.durability.copies) if entry.settings.peers else 1


def _can_append(entry: Entry, owned: OwnedLog) -> bool:
    alive = sum(owned.alive(ref) for ref in owned.copies)
    needed = max(min_copies(entry), len(owned.copies) // 2 + 1)
    return not owned.fenced and alive >= needed


def build_log(entry: Entry, log: LogId, epoch: Epoch, records: list[bytes]) -> OwnedLog:
    """Return a started log with holders chosen from the live peers."""
    copies = wanted_copies(entry, log)
    owned = OwnedLog(
        log=log,
        epoch=epoch,
        own=entry.own,
        copies=copies,
        records=records,
        links=entry.links,
        settings=entry.settings.durability,
        alive=entry.members.alive,
    )
    owned.start()
    return owned


def wanted_copies(
    entry: Entry, log: LogId, holding: frozenset[Incarnation] = frozenset()
) -> list[EntryRef]:
    """Return the entries that should hold a log now; current holders are preferred."""
    copies = entry.settings.durability.copies
    return choose_copies(log, entry.own, entry.members.usable(), copies, holding)


# --- maintenance --------------------------------------------------------------------------------


async def maintain_logs(entry: Entry) -> None:
    """Maintain owned logs and check held copies for orphans, until the process ends."""
    while True:
        await asyncio.sleep(entry.settings.durability.takeover_period_s)
        try:
            demote_fenced_logs(entry)
            for owned in list(entry.owned.values()):
                await _maintain_log(entry, owned)
            _check_for_orphans(entry)
        except Exception:
            logger.exception("maintaining logs failed; retrying")


def demote_fenced_logs(entry: Entry) -> None:
    """Turn logs that another entry has taken over into copies."""
    for owned in list(entry.owned.values()):
        if owned.fenced:
            entry.demote(owned)


async def _maintain_log(entry: Entry, owned: OwnedLog) -> None:
    if owned.contested_by is not None:
        await _reclaim(entry, owned)
        return
    if owned.next_copies is not None:
        await change_copies(owned, owned.next_copies, entry.directory)
        return
    registered = await register(owned, entry.directory)
    if registered.is_err():
        return
    copies = better_copies(entry, owned)
    if copies is not None:
        changed = await change_copies(owned, copies, entry.directory)
        if changed.is_ok():
            names = [ref.entry for ref in copies]
            logger.info("log {} is now held by {}", owned.log, names)


async def _reclaim(entry: Entry, owned: OwnedLog) -> None:
    """Claim a log again if another entry claimed it in the store but did not take it over.

    A draining entry does not: it asks its peers to take the log over, whoever has claimed it.
    """
    claimant = owned.contested_by
    if claimant is None or await _serves(entry, claimant, owned.log):
        return
    if entry.members.state is EntryState.DRAINING:
        return
    await take_over_log(entry, owned.log, None, requested_by_owner=True)


def better_copies(entry: Entry, owned: OwnedLog) -> list[EntryRef] | None:
    """Return better holders for a log, or None if no better ones are available."""
    holding = frozenset(ref.incarnation for ref in owned.copies)
    copies = wanted_copies(entry, owned.log, holding)
    if len(copies) < min(MIN_COPIES, len(owned.copies)):
        # A record needs two copies, so the log waits for another peer and keeps its holders.
        return None
    if is_spread(owned.log, owned.copies) and not is_spread(owned.log, copies):
        # The other zones seem to be partitioned.  If the log moved into this zone, the copies there
        # would come to depend on this zone.
        return None
    return None if {ref.incarnation for ref in copies} == holding else copies


# --- takeover -----------------------------------------------------------------------------------


def _check_for_orphans(entry: Entry) -> None:
    for log, copy in list(entry.copies.logs.items()):
        if log in entry.taking_over or log in entry.owned:
            continue
        if copy.owner is not None and entry.is_orphan(copy):
            entry.spawn(_take_over_after_delay(entry, log, copy))


async def _take_over_after_delay(entry: Entry, log: LogId, copy: LogCopy) -> None:
    """Take over a log without a live owner, after a delay for holders that are ranked higher."""
    if log in entry.pending_takeovers:
        return
    entry.pending_takeovers.add(log)
    try:
        place = _place_in_ranking(entry, log, copy)
        period_s = entry.settings.durability.takeover_period_s
        await asyncio.sleep(place * RANK_DELAY_PERIODS * period_s)
        if entry.copies.logs.get(log) is copy and entry.is_orphan(copy):
            await _take_over_orphan(entry, log, copy)
    finally:
        entry.pending_takeovers.discard(log)


async def _take_over_orphan(entry: Entry, log: LogId, copy: LogCopy) -> None:
    found = await entry.directory.read(log)
    if found.is_err():
        return
    stored = found.ok_value.entry
    if stored is None and copy.registered:
        # The store had a record of the log and has none now, so all its programs ended and the log
        # was retired.
        entry.copies.forget(log, copy.promised)
        return
    if stored is not None and await _serves(entry, stored.owner, log):
        _forget_unless_holder(entry, stored)
        return
    if not await _attempt_takeover(entry, log, copy):
        # Another entry may be taking the log over, or too few copies can be reached: check again
        # after a random delay.
        await asyncio.sleep(entry.settings.durability.suspect_after_s * random.uniform(0.5, 1.0))


async def _attempt_takeover(entry: Entry, log: LogId, copy: LogCopy) -> bool:
    if entry.members.state is not EntryState.DRAINING:
        return (await take_over_log(entry, log, fallback_entry(log, copy))).is_ok()
    # A draining entry takes no log over, but may be the only one that knows of the owner's loss: a
    # holder named in the store may not have received the log yet.  Only one peer is asked at a
    # time, because two would claim the log from each other.
    usable = entry.members.usable()
    holders = {ref.incarnation for ref in copy.copies}
    holding = [ref for ref in usable if ref.as_holder().incarnation in holders]
    if not usable:
        return False
    answer = await _ask(entry, random.choice(holding or usable), TakeLog(log, orphaned=True))
    return answer.is_ok() and isinstance(answer.ok_value, LogTaken)


def _place_in_ranking(entry: Entry, log: LogId, copy: LogCopy) -> int:
    stays = entry.members.state is EntryState.ALIVE
    alive = [
        ref
        for ref in copy.copies
        if entry.members.is_active(ref) and (stays or not entry.own.answers_to(ref.incarnation))
    ]
    ranked = rank(log, alive)
    places = [place for place, ref in enumerate(ranked) if entry.own.answers_to(ref.incarnation)]
    return places[0] if places else len(ranked)


async def _serves(entry: Entry, ref: EntryRef, log: LogId) -> bool:
    """Ask an entry whether it owns a log or is taking it over."""
    if entry.own.answers_to(ref.incarnation) or entry.members.is_unreachable(ref):
        return False
    answer = await _ask(entry, ref, FindLog(log))
    if answer.is_err() or not isinstance(answer.ok_value, LogFound):
        return False
    return answer.ok_value.serving or answer.ok_value.taking_over


def _forget_unless_holder(entry: Entry, stored: LogEntry) -> None:
    if not any(entry.own.answers_to(ref.incarnation) for ref in stored.copies):
        entry.copies.forget(stored.log, stored.epoch)


def fallback_entry(log: LogId, copy: LogCopy) -> LogEntry | None:
    """Return a log record built from a copy, or None if the store has had a record of the log."""
    if copy.owner is None or copy.registered:
        return None
    return LogEntry(FORMAT_VERSION, log, copy.epoch, copy.owner, copy.copies)


async def take_over_log(
    entry: Entry, log: LogId, fallback: LogEntry | None, requested_by_owner: bool = False
) -> Outcome[OwnedLog]:
    """Take a log over and resolve the calls that its last owner left unfinished.

    Parameters
    ----------
    entry : Entry
        The process.
    log : LogId
        The log.
    fallback : LogEntry or None
        Record of the log, used if the store has none.
    requested_by_owner : bool
        Whether the log's owner requested the takeover, so that the copies are not asked whether it
        can be reached.
    """
    if log in entry.taking_over:
        return not_run(ErrorCode.CONFLICT, f"log {log} is being taken over already", 1.0)

    async def ask(ref: EntryRef, message: PeerBody) -> Outcome[PeerBody]:
        return await _ask(entry, ref, message)

    def build(name: LogId, epoch: Epoch, records: list[bytes]) -> OwnedLog:
        return build_log(entry, name, epoch, records)

    context = TakeoverContext(
        entry.own, entry.directory, ask, build, entry.copies.retain_demoted, min_copies(entry)
    )
    entry.taking_over.add(log)
    try:
        taken = await take_over(context, log, fallback, requested_by_owner)
    finally:
        entry.taking_over.discard(log)
    if taken.is_err():
        logger.warning("log {} could not be taken over: {}", log, taken.err_value.message)
        return taken
    owned = taken.ok_value
    owned.handing_over = entry.members.state is EntryState.DRAINING
    entry.owned[log] = owned
    entry.copies.forget(log, owned.epoch)
    resolve_unfinished(entry, owned)
    logger.info("log {} taken over at epoch {}", log, owned.epoch)
    return taken


async def _ask(entry: Entry, ref: EntryRef, message: PeerBody) -> Outcome[PeerBody]:
    """Send a request to an entry; this entry answers its own requests without a connection."""
    if not entry.own.answers_to(ref.incarnation):
        link = entry.links.to(ref.peer_address, ref.incarnation)
        return await link.request(message, entry.settings.durability.suspect_after_s)
    answer = await answer_log_request(entry, message)
    return Err(answer.failure) if isinstance(answer, Refused) else Ok(answer)


# --- retirement ---------------------------------------------------------------------------------


async def retire_log(entry: Entry, owned: OwnedLog) -> Outcome[None]:
    """Remove a log whose programs have all ended, and all of its copies."""
    removed = await entry.directory.remove(owned.log, owned.store_revision)
    if removed.is_err():
        return removed
    entry.owned.pop(owned.log, None)
    for ref in owned.copies:
        if entry.own.answers_to(ref.incarnation):
            continue
        link = entry.links.to(ref.peer_address, ref.incarnation)
        drop = DropCopy(owned.log, owned.epoch, owned.last_opening)
        entry.spawn(link.request(drop, entry.settings.durability.append_timeout_s))
    await owned.stop()
    return removed
