"""Background tasks whose failures are always logged."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from loguru import logger

from waxwingglade.base import Clock, monotonic
from waxwingglade.base.doubling import Pause, pause_after

FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
"""Seconds between a failure of a task and its next run, doubled up to the longest.  Changes must be
in force after two seconds, also after a failure."""

RAN_WELL_S = 10.0
"""Seconds without a failure after which the first pause applies again."""

failures: Counter[tuple[str]] = Counter()
"""Failures of `record_failure` in this process; the label is the name of the function."""

_detached: set[asyncio.Task] = set()


def run_detached(coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
    """Run a coroutine as a task that nobody has to await; a reference is held until it ends."""
    task = start_task(coroutine)
    _detached.add(task)
    task.add_done_callback(_detached.discard)
    return task


def start_task(coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
    """Run a coroutine as a task; an exception that ends it is logged.

    Returns
    -------
    asyncio.Task
        The task; the caller has to hold a reference to it.
    """
    task = asyncio.create_task(coroutine)
    task.add_done_callback(log_failure)
    return task


def log_failure(task: asyncio.Task) -> None:
    """Log the exception that ended a task, if there is one."""
    if task.cancelled() or task.exception() is None:
        return
    logger.opt(exception=task.exception()).error("task {} failed", task.get_coro().__qualname__)


def run_forever(make_coroutine: Callable[[], Coroutine[Any, Any, None]]) -> asyncio.Task:
    """Run a task that has to last as long as its owner, and run it again whenever it fails.

    Each failure is logged and counted in `failures`.  The task ends when it is cancelled, or when
    its coroutine returns.

    Parameters
    ----------
    make_coroutine : callable
        Returns a new coroutine for each run.  The coroutine must be able to start with whatever
        state the previous run left.

    Returns
    -------
    asyncio.Task
        The task; the caller has to hold a reference to it.
    """
    return start_task(_run_again(make_coroutine))


async def _run_again(make_coroutine: Callable[[], Coroutine[Any, Any, None]]) -> None:
    pause_s = FIRST_PAUSE_S
    while True:
        coroutine = make_coroutine()
        started_at = monotonic()
        try:
            return await coroutine
        except asyncio.CancelledError as cancelled:
            if _is_cancelled():
                raise
            # Something that the coroutine awaited was cancelled, rather than this task.
            error: BaseException = cancelled
        except Exception as failure:
            error = failure
        if monotonic() - started_at >= RAN_WELL_S:
            pause_s = FIRST_PAUSE_S
        record_failure("task failed, will be run again", coroutine.__qualname__, error, pause_s)
        del coroutine, error
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, LONGEST_PAUSE_S)


def _is_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


class PeriodicSteps:
    """Runs the steps of a periodic task, so that one that fails keeps no other from running.

    Each failure is logged and counted in `failures`.  A step that failed is left out for a pause,
    as in `run_forever`.

    Parameters
    ----------
    task : str
        Qualified name of the function that runs the steps.
    clock : Clock
        Monotonic seconds.

    Attributes
    ----------
    pauses : dict
        Pauses of the steps whose last run failed, by name.
    """

    def __init__(self, task: str, clock: Clock = monotonic) -> None:
        self.task = task
        self.clock = clock
        self.pauses: dict[str, Pause] = {}

    async def run(self, name: str, step: Callable[[], Awaitable[None] | None]) -> None:
        """Run a step, unless it failed a moment ago.

        Parameters
        ----------
        name : str
            Name of the step, for the log and the metrics.
        step : callable
            The step, which may return an awaitable.
        """
        before = self.pauses.get(name)
        if before is not None and self.clock() < before.ends_at:
            return
        try:
            awaitable = step()
            if awaitable is not None:
                await awaitable
        except Exception as error:
            pause = pause_after(before, FIRST_PAUSE_S, LONGEST_PAUSE_S, self.clock())
            self.pauses[name] = pause
            record_failure(
                "step failed, will be run again", f"{self.task}: {name}", error, pause.length_s
            )
        else:
            self.pauses.pop(name, None)


def record_failure(event: str, name: str, error: BaseException, pause_s: float) -> None:
    """Log and count a failure of a task or callback that is tried again.

    Parameters
    ----------
    event : str
        Event of the log line.
    name : str
        Qualified name of the function that failed, with the step if it has several.
    error : BaseException
        The failure.
    pause_s : float
        Seconds until the next try.
    """
    failures[name,] += 1
    logger.bind(task=name, pause_s=pause_s).opt(exception=error).error(event)
