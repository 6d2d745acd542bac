"""Notifies targets that a program ended, until each has confirmed."""

import asyncio

from loguru import logger

from waxwingglade.base import TargetId
from waxwingglade.connection.engine_control import release
from waxwingglade.process.entry import Entry
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.program import CacheReleased, ProgramState

PERIOD_S = 0.2


async def release_ended(entry: Entry) -> None:
    """Release the caches of ended programs until the process stops."""
    while True:
        await asyncio.sleep(PERIOD_S)
        for owned in list(entry.owned.values()):
            for state in list(owned.programs.values()):
                if state.ended is None or not state.cached_on or owned.fenced:
                    continue
                try:
                    await _release(entry, owned, state)
                except Exception:
                    logger.exception("releasing the cache of {} failed; retrying", state.program)


async def _release(entry: Entry, owned: OwnedLog, state: ProgramState) -> None:
    confirmed: list[TargetId] = []
    for target in sorted(state.cached_on):
        settings = entry.targets.get(target)
        # A target that was removed from the settings holds no cache.
        if settings is None or (await release(entry.http, settings, state.program)).is_ok():
            confirmed.append(target)
    if confirmed:
        await owned.append(state.program, CacheReleased(confirmed))
