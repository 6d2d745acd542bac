"""Collects log lines while a test runs."""

import contextlib
from collections.abc import Iterator
from typing import Any

from loguru import logger


@contextlib.contextmanager
def logged_lines(event: str) -> Iterator[list[dict[str, Any]]]:
    """Collect the fields of all log lines with an event."""
    lines: list[dict[str, Any]] = []

    def collect(message: Any) -> None:
        if message.record["message"] == event:
            lines.append(message.record["extra"])

    sink = logger.add(collect)
    try:
        yield lines
    finally:
        logger.remove(sink)


__all__ = ["logged_lines"]
