"""Functions that fail in a way that nobody foresaw."""

import contextlib
from collections.abc import Iterator
from typing import Any
from unittest import mock


@contextlib.contextmanager
def failing_once(owner: Any, name: str) -> Iterator[mock.Mock]:
    """Let the first call of a method of an object raise RecursionError."""
    method = getattr(owner, name)
    failures = [RecursionError("unforeseen")]

    def call(*args: Any, **kwargs: Any) -> Any:
        if failures:
            raise failures.pop()
        return method(*args, **kwargs)

    with mock.patch.object(owner, name, mock.Mock(side_effect=call)) as patched:
        yield patched


__all__ = ["failing_once"]
