"""The logs that this process owns: creating, registering, keeping whole, taking over, retiring."""

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
"""Copies to which a log may shrink while its other holders are gone."""

RANK_DELAY_PERIODS = 4
"""Take-over periods that each later entry in the ranking waits for the ones before it."""


# --- creating -----------------------------------------------------------------------------------


def open_logs(entry: Entry) -> None:
    """Create this process's first logs; they serve at once and are registered when possible."""
    for _ in range(entry.settings.durability.logs_per_entry):
        open_log(entry, CutPolicy.HOME)


def open_log(entry: Entry, cut: CutPolicy) -> OwnedLog:
    """Create a log for new programs, without asking anybody."""
    log = make_log_id(entry.own, cut.value, next(entry.log_numbers))
    owned = build_log(entry, log, Epoch(1), [])
    entry.owned[log] = owned
    entry.open_logs[cut].append(log)
    return owned


def log_for_new_program(entry: Entry, cut: CutPolicy) -> OwnedLog | None:
    """Return the open log with the fewest programs, of those that bear as much as a new one would.

    One is opened where there is none: to change the holders of a log takes the store, a new log
    does not, and until then a log with few holders stands still once it loses one.
    """
    roll_logs(entry, cut)
    candidates = [entry.owned.get(log) for log in entry.open_logs[cut]]
    usable = [owned for owned in candidates if owned is not None and _can_append(entry, owned)]
    if not usable:
        return None
    copies = min(entry.settings.durability.copies, len(entry.members.usable()) + 1)
    lasting = [owned for owned in usable if _to_spare(owned) >= _beyond_majority(copies, copies)]
    return min(lasting or [open_log(entry, cut)], key=lambda owned: len(owned.programs))


def _to_spare(owned: OwnedLog) -> int:
    """Return how many holders a log can lose and still make records durable."""
    sets = [owned.copies, *([owned.next_copies] if owned.next_copies is not None else [])]
    return min(_beyond_majority(sum(map(owned.alive, refs)), len(refs)) for refs in sets)


def _beyond_majority(alive: int, copies: int) -> int:
    return alive - (copies // 2 + 1)


def roll_logs(entry: Entry, cut: CutPolicy) -> None:
    """Close logs that are full, lost or cut off from their copies, and open others instead."""
    limit = entry.settings.durability.programs_per_log
    before = entry.open_logs[cut]
    entry.open_logs[cut] = [
        log
        for log in before
        if (owned := entry.owned.get(log))
        and _can_append(entry, owned)
        and len(owned.programs) < limit
    ]
    if len(entry.members.usable()) + 1 < min_copies(entry):
        return
    for _ in range(entry.settings.durability.logs_per_entry - len(entry.open_logs[cut])):
        open_log(entry, cut)


def min_copies(entry: Entry) -> int:
    """Return the copies without which no program is created: two, but where there are no peers."""
    return min(MIN_COPIES, entry.settings.durability.copies) if entry.settings.peers else 1


def _can_append(entry: Entry, owned: OwnedLog) -> bool:
    alive = sum(owned.alive(ref) for ref in owned.copies)
    needed = max(min_copies(entry), len(owned.copies) // 2 + 1)
    return not owned.fenced and alive >= needed


def build_log(entry: Entry, log: LogId, epoch: Epoch, records: list[bytes]) -> OwnedLog:
    """Return a started log with holders chosen from the peers that are alive."""
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
    """Return the entries that should hold a log now; present holders are preferred."""
    copies = entry.settings.durability.copies
    return choose_copies(log, entry.own, entry.members.usable(), copies, holding)


# --- keeping whole ------------------------------------------------------------------------------


async def maintain_logs(entry: Entry) -> None:
    """Look after logs, owned and held, until the process ends."""
    while True:
        await asyncio.sleep(entry.settings.durability.takeover_period_s)
        try:
            demote_fenced_logs(entry)
            for owned in list(entry.owned.values()):
                await _keep_log(entry, owned)
            _look_for_orphans(entry)
        except Exception:
            logger.exception("looking after logs failed; trying again")


def demote_fenced_logs(entry: Entry) -> None:
    """Keep logs that another entry has taken over as mere copies."""
    for owned in list(entry.owned.values()):
        if owned.fenced:
            entry.demote(owned)


async def _keep_log(entry: Entry, owned: OwnedLog) -> None:
    if owned.contested_by is not None:
        await _defend(entry, owned)
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


async def _defend(entry: Entry, owned: OwnedLog) -> None:
    """Claim a log anew that an entry has claimed and then not taken over."""
    claimer = owned.contested_by
    if claimer is None or await _serves(entry, claimer, owned.log):
        return
    await take_over_log(entry, owned.log, None, requested_by_owner=True)


def better_copies(entry: Entry, owned: OwnedLog) -> list[EntryRef] | None:
    """Return better holders for a log, or None if those it has are as good as can be had."""
    holding = frozenset(ref.incarnation for ref in owned.copies)
    copies = wanted_copies(entry, owned.log, holding)
    if len(copies) < min(MIN_COPIES, len(owned.copies)):
        # A record has to be in two places; better to wait for a peer than to give that up.
        return None
    if is_spread(owned.log, owned.copies) and not is_spread(owned.log, copies):
        # The other zones look cut off; what is kept in them must not come to depend on this zone.
        return None
    return None if {ref.incarnation for ref in copies} == holding else copies


# --- taking over --------------------------------------------------------------------------------


def _look_for_orphans(entry: Entry) -> None:
    for log, copy in list(entry.copies.logs.items()):
        if log in entry.taking_over or log in entry.owned:
            continue
        if copy.owner is not None and entry.is_orphan(copy):
            entry.spawn(_rescue(entry, log, copy))


async def _rescue(entry: Entry, log: LogId, copy: LogCopy) -> None:
    """Take over a log that nobody looks after, later than the holders preferred for it."""
    if log in entry.rescuing:
        return
    entry.rescuing.add(log)
    try:
        place = _place_in_ranking(entry, log, copy)
        period_s = entry.settings.durability.takeover_period_s
        await asyncio.sleep(place * RANK_DELAY_PERIODS * period_s)
        if entry.copies.logs.get(log) is copy and entry.is_orphan(copy):
            await _rescue_now(entry, log, copy)
    finally:
        entry.rescuing.discard(log)


async def _rescue_now(entry: Entry, log: LogId, copy: LogCopy) -> None:
    found = await entry.directory.read(log)
    if found.is_err():
        return
    present = found.ok_value.entry
    if present is None and copy.registered:
        # The store had a record and has none now: all programs ended and the log was retired.
        entry.copies.forget(log, copy.promised)
        return
    if present is not None and await _serves(entry, present.owner, log):
        _forget_unless_holder(entry, present)
        return
    if not await _is_rescued(entry, log, copy):
        # Others may be at it, or too few copies can be reached: look again a little later.
        await asyncio.sleep(entry.settings.durability.suspect_after_s * random.uniform(0.5, 1.0))


async def _is_rescued(entry: Entry, log: LogId, copy: LogCopy) -> bool:
    if entry.members.state is not EntryState.DRAINING:
        return (await take_over_log(entry, log, fallback_entry(log, copy))).is_ok()
    # A leaving entry takes nothing over.  It may be the only one that knows of the loss: a holder
    # that the store names need not have been sent the log yet.  One peer is asked at a time, as two
    # would claim the log from each other.
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
        if entry.members.staying(ref) and (stays or not entry.own.answers_to(ref.incarnation))
    ]
    ranked = rank(log, alive)
    places = [place for place, ref in enumerate(ranked) if entry.own.answers_to(ref.incarnation)]
    return places[0] if places else len(ranked)


async def _serves(entry: Entry, ref: EntryRef, log: LogId) -> bool:
    """Ask an entry whether it owns a log, or is about to."""
    if entry.own.answers_to(ref.incarnation) or entry.members.gone(ref):
        return False
    answer = await _ask(entry, ref, FindLog(log))
    if answer.is_err() or not isinstance(answer.ok_value, LogFound):
        return False
    return answer.ok_value.serving or answer.ok_value.taking_over


def _forget_unless_holder(entry: Entry, present: LogEntry) -> None:
    if not any(entry.own.answers_to(ref.incarnation) for ref in present.copies):
        entry.copies.forget(present.log, present.epoch)


def fallback_entry(log: LogId, copy: LogCopy) -> LogEntry | None:
    """Return what a copy says of its log, for a log that the store never had a record of."""
    if copy.owner is None or copy.registered:
        return None
    return LogEntry(FORMAT_VERSION, log, copy.epoch, copy.owner, copy.copies)


async def take_over_log(
    entry: Entry, log: LogId, fallback: LogEntry | None, requested_by_owner: bool = False
) -> Outcome[OwnedLog]:
    """Take a log over and settle what its last owner left unfinished."""
    if log in entry.taking_over:
        return not_run(ErrorCode.CONFLICT, f"log {log} is being taken over already", 1.0)

    async def ask(ref: EntryRef, message: PeerBody) -> Outcome[PeerBody]:
        return await _ask(entry, ref, message)

    def build(name: LogId, epoch: Epoch, records: list[bytes]) -> OwnedLog:
        return build_log(entry, name, epoch, records)

    means = TakeoverContext(
        entry.own, entry.directory, ask, build, entry.copies.retain_demoted, min_copies(entry)
    )
    entry.taking_over.add(log)
    try:
        taken = await take_over(means, log, fallback, requested_by_owner)
    finally:
        entry.taking_over.discard(log)
    if taken.is_err():
        logger.warning("log {} could not be taken over: {}", log, taken.err_value.message)
        return taken
    owned = taken.ok_value
    entry.owned[log] = owned
    entry.copies.forget(log, owned.epoch)
    resolve_unfinished(entry, owned)
    logger.info("log {} taken over at epoch {}", log, owned.epoch)
    return taken


async def _ask(entry: Entry, ref: EntryRef, message: PeerBody) -> Outcome[PeerBody]:
    """Send a request to an entry; the own one answers without a connection."""
    if not entry.own.answers_to(ref.incarnation):
        link = entry.links.to(ref.peer_address, ref.incarnation)
        return await link.request(message, entry.settings.durability.suspect_after_s)
    answer = await answer_log_request(entry, message)
    return Err(answer.failure) if isinstance(answer, Refused) else Ok(answer)


# --- retiring -----------------------------------------------------------------------------------


async def retire(entry: Entry, owned: OwnedLog) -> Outcome[None]:
    """Remove a log whose programs have all ended, with all of its copies."""
    removed = await entry.directory.remove(owned.log, owned.store_revision)
    if removed.is_err():
        return removed
    entry.owned.pop(owned.log, None)
    for ref in owned.copies:
        if entry.own.answers_to(ref.incarnation):
            continue
        link = entry.links.to(ref.peer_address, ref.incarnation)
        drop = DropCopy(owned.log, owned.epoch, owned.openings)
        entry.spawn(link.request(drop, entry.settings.durability.append_timeout_s))
    await owned.stop()
    return removed
