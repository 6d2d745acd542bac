"""An asyncio event loop whose clock advances to the next timer instead of waiting for it."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class ClockAdvancingSelector(selectors.SelectSelector):
    """A selector that advances the clock of `loop` by the requested timeout and returns at once."""

    loop: "VirtualTimeLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the loop's clock by `timeout`."""
        if timeout is None:
            raise RuntimeError("nothing is scheduled: the run would never end")
        if timeout > 0:
            self.loop.now += timeout
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop with a clock that starts at zero; it performs no input or output."""

    def __init__(self) -> None:
        selector = ClockAdvancingSelector()
        selector.loop = self
        self.now = 0.0
        super().__init__(selector)

    def time(self) -> float:
        """Return seconds since the start of the run."""
        return self.now


def run_virtual(main: Coroutine[Any, Any, Any], loop: VirtualTimeLoop) -> Any:
    """Run `main` to completion on `loop`, cancel the remaining tasks, and close the loop."""
    try:
        result = loop.run_until_complete(main)
        unfinished = asyncio.all_tasks(loop)
        for task in unfinished:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*unfinished, return_exceptions=True))
        return result
    finally:
        loop.close()
