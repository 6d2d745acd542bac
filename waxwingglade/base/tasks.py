"""Background tasks whose failures are always logged."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

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
