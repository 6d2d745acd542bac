"""An event loop whose clock jumps to the next timer, so that runs are fast and deterministic."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop that never waits: when nothing is ready, its time advances to the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        select = self._selector.select

        def jump(timeout: float | None):
            if timeout is None:
                raise RuntimeError("deadlock in virtual time: no task is ready and no timer is set")
            self.now += timeout
            return select(0)

        self._selector.select = jump

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now


def run_in_virtual_time(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end in virtual time, and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
