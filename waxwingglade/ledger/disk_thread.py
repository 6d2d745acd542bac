"""A thread that runs blocking functions of an event loop one after the other.

A thread pool passes each call through two futures, a lock and a condition.  The journal flushes
some hundred groups per second, for which that takes as long as the writes.
"""

import asyncio
import contextlib
import threading
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any, NamedTuple, TypeVar

T = TypeVar("T")


class _Call(NamedTuple):
    """A function that the thread is to run, and the future of its result."""

    outcome: asyncio.Future[Any]
    function: Callable[[], Any]


class DiskThread:
    """A thread that runs functions in order; it starts with the first of them.

    Attributes
    ----------
    calls : SimpleQueue
        Functions to run; None ends the thread.
    """

    def __init__(self) -> None:
        self.calls: SimpleQueue[_Call | None] = SimpleQueue()
        self.thread: threading.Thread | None = None
        self.stopped = False

    def run(self, function: Callable[[], T]) -> asyncio.Future[T]:
        """Run a function in the thread; the future has its result or its exception."""
        if self.stopped:
            raise RuntimeError("the thread is stopped")
        if self.thread is None:
            self.thread = threading.Thread(target=self._run, name="disk", daemon=True)
            self.thread.start()
        outcome: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        self.calls.put(_Call(outcome, function))
        return outcome

    def stop(self) -> None:
        """End the thread after the function that it runs at present; skip all others."""
        self.stopped = True
        self.calls.put(None)

    def _run(self) -> None:
        while (call := self.calls.get()) is not None and not self.stopped:
            result, error = None, None
            try:
                result = call.function()
            except Exception as raised:
                error = raised
            # The loop may have ended meanwhile, and nobody waits any more.
            with contextlib.suppress(RuntimeError):
                call.outcome.get_loop().call_soon_threadsafe(_settle, call.outcome, result, error)


def _settle(outcome: asyncio.Future[Any], result: Any, error: Exception | None) -> None:
    if outcome.done():
        return
    if error is None:
        outcome.set_result(result)
    else:
        outcome.set_exception(error)


__all__ = ["DiskThread"]
