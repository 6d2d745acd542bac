"""Finds caches that targets still hold for programs that have ended.

After a program ends, `waxwingglade.process.release` releases its caches until each target has
confirmed.  This sweep covers what that misses: a call that an owner sent just before the owner was
lost, or a program whose log was removed.  A cache is released only after two sweeps in a row have
found that its program no longer needs it.
"""

import asyncio

from loguru import logger

from waxwingglade.base import ErrorCode, LogId, Outcome, ProgramId, TargetId, log_of
from waxwingglade.connection.engine_control import held_programs, release
from waxwingglade.connection.peer_messages import CheckPrograms, ProgramsChecked
from waxwingglade.process.entry import Entry
from waxwingglade.process.locate import find_owner
from waxwingglade.process.sampling import assigned_targets

ASK_TIMEOUT_S = 2.0


async def sweep_caches(entry: Entry) -> None:
    """Sweep the assigned targets until the process stops."""
    suspected: dict[TargetId, set[ProgramId]] = {}
    while True:
        await asyncio.sleep(entry.settings.sampling.sweep_period_s)
        for name in assigned_targets(entry):
            try:
                suspected[name] = await _sweep(entry, name, suspected.get(name, set()))
            except Exception:
                logger.exception("sweeping unused caches on {} failed; retrying", name)


async def _sweep(entry: Entry, name: TargetId, before: set[ProgramId]) -> set[ProgramId]:
    """Release caches that two sweeps in a row found unneeded; return the newly found programs."""
    target = entry.targets[name]
    held = await held_programs(entry.http, target)
    if held.is_err():
        return before
    done = await releasable_programs(entry, held.ok_value)
    for program in done & before:
        logger.info("releasing cache on {} that program {} left behind", name, program)
        await release(entry.http, target, program)
    return done - before


async def releasable_programs(entry: Entry, programs: list[ProgramId]) -> set[ProgramId]:
    """Return the programs that certainly no longer need a cache."""
    by_log: dict[LogId, list[ProgramId]] = {}
    for program in programs:
        log = log_of(program)
        if log is not None:
            by_log.setdefault(log, []).append(program)
    done: set[ProgramId] = set()
    for log, log_programs in by_log.items():
        done.update(await _done_in_log(entry, log, log_programs))
    return done


async def _done_in_log(entry: Entry, log: LogId, programs: list[ProgramId]) -> list[ProgramId]:
    if log in entry.owned:
        return releasable_here(entry, programs)
    owner: Outcome = await find_owner(entry, log)
    if owner.is_err():
        # An unknown log was removed long after its programs ended.  After any other failure, try
        # again in the next sweep.
        return programs if owner.err_value.code is ErrorCode.NOT_FOUND else []
    link = entry.links.to(owner.ok_value.peer_address, owner.ok_value.incarnation)
    answer = await link.request(CheckPrograms(programs), ASK_TIMEOUT_S)
    if answer.is_err() or not isinstance(answer.ok_value, ProgramsChecked):
        return []
    return answer.ok_value.done


def releasable_here(entry: Entry, programs: list[ProgramId]) -> list[ProgramId]:
    """Return the programs that have ended or are unknown, of those whose logs are owned here."""
    done = []
    for program in programs:
        owned = entry.log_for(program)
        if owned is None:
            continue
        state = owned.programs.get(program)
        if state is None or state.ended is not None:
            done.append(program)
    return done
