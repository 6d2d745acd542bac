"""Programs of a soak run whose turns start several concurrent sub-agents at any entries."""

import asyncio
import itertools
import random

from tests.platform_cluster import STREAM
from tests.soak.workload import MAX_PAUSE_S, NO_ANSWER, Callers

SUB_AGENTS = (2, 12)
"""Fewest and most sub-agents that a turn starts."""

MAX_SEQUENTIAL_TURNS = 2
"""Most turns of a sub-agent, each of which continues the previous one."""

BUDGETS = (160, 800, 1600)
"""Token budgets; the first sub-agents spend the smallest, several rounds spend the largest."""

LOOP_SHARE = 0.5
"""Share of programs that start sub-agents until a turn is denied as over budget."""

MAX_ATTEMPTS = 3
"""Most attempts of a turn that is refused as not run."""

BUDGET_SPENT, REFUSED = 402, 503


class SubAgents:
    """Programs with sub-agents, which run until the callers stop.

    Parameters
    ----------
    callers : Callers
        Sends the requests.
    rng : random.Random
        Determines the programs; separate from that of the callers, whose requests are unaffected.
    """

    def __init__(self, callers: Callers, rng: random.Random) -> None:
        self.callers = callers
        self.rng = rng

    async def run(self, programs: int) -> None:
        """Run programs concurrently."""
        await asyncio.gather(*(self._programs(index) for index in range(programs)))

    async def _programs(self, index: int) -> None:
        for number in itertools.count():
            if self.callers.stopping:
                return
            await self._program(f"s{index}-{number}")

    async def _program(self, program: str) -> None:
        """Run a turn that starts sub-agents, once or until the budget is spent."""
        budget = self.rng.choice(BUDGETS)
        loops = self.rng.random() < LOOP_SHARE
        turns = itertools.count()
        previous = None
        while not self.callers.stopping:
            previous, status = await self._turn(program, budget, turns, previous)
            if status == BUDGET_SPENT:
                return
            await asyncio.sleep(self.rng.random() * MAX_PAUSE_S)
            sub_agents = [
                self._sub_agent(program, budget, turns)
                for _ in range(self.rng.randint(*SUB_AGENTS))
            ]
            if BUDGET_SPENT in await asyncio.gather(*sub_agents) or not loops:
                return

    async def _sub_agent(self, program: str, budget: int, turns: itertools.count) -> int:
        """Run the turns of a sub-agent, and return the status of the last turn."""
        previous, status = None, NO_ANSWER
        for _ in range(self.rng.randint(1, MAX_SEQUENTIAL_TURNS)):
            previous, status = await self._turn(program, budget, turns, previous)
            if previous is None:
                break
        return status

    async def _turn(
        self, program: str, budget: int, turns: itertools.count, previous: str | None
    ) -> tuple[str | None, int]:
        """Repeat a turn while it is refused; return its id if it is complete, and its status."""
        status = NO_ANSWER
        for _ in range(MAX_ATTEMPTS):
            body = f"{program} asks {next(turns)}".encode()
            entry = self.rng.choice(self.callers.cluster.entries)
            attempt = await self.callers.send(STREAM, body, previous, program, budget, entry)
            status = attempt.status
            if status == 200 and attempt.whole:
                return attempt.request, status
            if status != REFUSED or self.callers.stopping:
                break
            await asyncio.sleep(self.rng.random() * MAX_PAUSE_S)
        return None, status


__all__ = ["SubAgents"]
