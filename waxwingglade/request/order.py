"""The order in which a program's calls run.

One call of a program runs at a time.  A numbered call waits until the calls with lower numbers have
ended.  Calls without a number may run as soon as no other call runs.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from waxwingglade.base import ErrorCode, Ok, Outcome, not_run
from waxwingglade.program import Call, ProgramState

RETRY_AFTER_S = 0.5


class CallOrder:
    """Admits the calls of one program one at a time."""

    def __init__(self) -> None:
        self.changed = asyncio.Condition()
        self.busy = False

    @asynccontextmanager
    async def turn(
        self, state: ProgramState, call: Call, timeout_s: float
    ) -> AsyncIterator[Outcome[None]]:
        """Wait until the call may run, and block other calls until the context ends.

        Parameters
        ----------
        state : ProgramState
            The program; the next numbered call to run has the number `next_order`.
        call : Call
            The call to run.
        timeout_s : float
            Seconds to wait for earlier calls.

        Yields
        ------
        Outcome[None]
            A failure if a call with this or a higher number has run, or after `timeout_s`.
        """
        if call.order is not None and call.order < state.next_order:
            text = f"call number {call.order} has passed, {state.next_order} is next"
            yield not_run(ErrorCode.OUT_OF_ORDER, text)
            return
        try:
            async with asyncio.timeout(timeout_s), self.changed:
                await self.changed.wait_for(lambda: self._may_run(state, call))
                self.busy = True
        except TimeoutError:
            text = f"call number {state.next_order} has not arrived or not ended"
            yield not_run(ErrorCode.OUT_OF_ORDER, text, RETRY_AFTER_S)
            return
        try:
            yield Ok(None)
        finally:
            await self.release()

    async def release(self) -> None:
        """Allow the next call to run."""
        self.busy = False
        async with self.changed:
            self.changed.notify_all()

    def _may_run(self, state: ProgramState, call: Call) -> bool:
        return not self.busy and (call.order is None or call.order <= state.next_order)
