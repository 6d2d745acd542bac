"""Ends programs that exceed their limits, and removes logs whose programs have all ended."""

import asyncio

from loguru import logger

from waxwingglade.process.entry import Entry
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.process.ownership import retire_log
from waxwingglade.process.programs import end_program
from waxwingglade.program import ProgramState

CHECK_PERIOD_S = 0.5
WALL_TIME_EXCEEDED = "budget exceeded: wall time"
TURNS_EXCEEDED = "budget exceeded: turns"


async def expire_programs(entry: Entry) -> None:
    """End programs that exceed their limits, and remove finished logs, until the process ends."""
    while True:
        await asyncio.sleep(CHECK_PERIOD_S)
        for owned in list(entry.owned.values()):
            try:
                await _expire_programs_of(entry, owned)
            except Exception:
                logger.exception("ending programs over their limits failed; retrying")


async def _expire_programs_of(entry: Entry, owned: OwnedLog) -> None:
    for state in list(owned.programs.values()):
        reason = over_limit(entry, owned, state)
        if reason is not None and not owned.fenced:
            await end_program(entry, owned, state, reason)
    if _is_finished(entry, owned):
        await _remove_log(entry, owned)


def over_limit(entry: Entry, owned: OwnedLog, state: ProgramState) -> str | None:
    """Return the reason to end a program now, or None; a sub-agent ends with its root program."""
    if state.ended is not None or state.root != state.program:
        return None
    budget = state.created.policy.budget
    if entry.wall_clock() - state.created.created_at > budget.wall_s:
        return f"{WALL_TIME_EXCEEDED} ({budget.wall_s} s)"
    if state.out_of_turns:
        return f"{TURNS_EXCEEDED} ({budget.turns})"
    return None


def _is_finished(entry: Entry, owned: OwnedLog) -> bool:
    if any(owned.log in logs for logs in entry.open_logs.values()) or not owned.store_revision:
        return False
    retained_since = entry.wall_clock() - entry.settings.durability.ended_kept_s
    return all(
        state.ended is not None and not state.cached_on and state.ended.ended_at < retained_since
        for state in owned.programs.values()
    )


async def _remove_log(entry: Entry, owned: OwnedLog) -> None:
    removed = await retire_log(entry, owned)
    if removed.is_err():
        return
    for state in owned.programs.values():
        entry.running.pop(state.program, None)
        entry.programs_by_request.pop((state.created.tenant, state.created.request), None)
    logger.info("log {} removed: its {} programs ended", owned.log, len(owned.programs))
