"""Programs of a soak whose turns start several sub-agents at once, through any of the entries."""

import asyncio
import itertools
import random

from tests.platform_cluster import STREAM
from tests.soak.workload import NO_ANSWER, THINK_S, Callers

SUB_AGENTS = (2, 12)
"""Fewest and most sub-agents that a turn starts."""

LONGEST_LINE = 2
"""Most turns of a sub-agent, each of which continues the one before."""

BUDGETS = (160, 800, 1600)
"""The smallest is spent by the first sub-agents, the largest after some rounds."""

LOOP_SHARE = 0.5
"""Share of programs that start sub-agents until they are told that their budget is spent."""

TRIES = 3
"""How often a turn that was refused as not run is sent."""

SPENT, REFUSED = 402, 503


class SubAgents:
    """Programs with sub-agents, until the callers are told to stop.

    Parameters
    ----------
    callers : Callers
        Sends the requests.
    draw : random.Random
        Decides on the programs; not that of the callers, whose programs stay as they are.
    """

    def __init__(self, callers: Callers, draw: random.Random) -> None:
        self.callers = callers
        self.draw = draw

    async def run(self, programs: int) -> None:
        """Run programs side by side."""
        await asyncio.gather(*(self._programs(index) for index in range(programs)))

    async def _programs(self, index: int) -> None:
        for number in itertools.count():
            if self.callers.stopping:
                return
            await self._program(f"s{index}-{number}")

    async def _program(self, program: str) -> None:
        """Run a turn that starts sub-agents, once or until the budget is spent."""
        budget = self.draw.choice(BUDGETS)
        loops = self.draw.random() < LOOP_SHARE
        turns = itertools.count()
        previous = None
        while not self.callers.stopping:
            previous, status = await self._turn(program, budget, turns, previous)
            if status == SPENT:
                return
            await asyncio.sleep(self.draw.random() * THINK_S)
            lines = [
                self._sub_agent(program, budget, turns)
                for _ in range(self.draw.randint(*SUB_AGENTS))
            ]
            if SPENT in await asyncio.gather(*lines) or not loops:
                return

    async def _sub_agent(self, program: str, budget: int, turns: itertools.count) -> int:
        """Run a sub-agent's turns, and return the status of the last one."""
        previous, status = None, NO_ANSWER
        for _ in range(self.draw.randint(1, LONGEST_LINE)):
            previous, status = await self._turn(program, budget, turns, previous)
            if previous is None:
                break
        return status

    async def _turn(
        self, program: str, budget: int, turns: itertools.count, previous: str | None
    ) -> tuple[str | None, int]:
        """Send a turn until it is not refused as not run; return its name if it is whole."""
        status = NO_ANSWER
        for _ in range(TRIES):
            body = f"{program} asks {next(turns)}".encode()
            entry = self.draw.choice(self.callers.cluster.entries)
            attempt = await self.callers.send(STREAM, body, previous, program, budget, entry)
            status = attempt.status
            if status == 200 and attempt.whole:
                return attempt.request, status
            if status != REFUSED or self.callers.stopping:
                break
            await asyncio.sleep(self.draw.random() * THINK_S)
        return None, status


__all__ = ["SubAgents"]
