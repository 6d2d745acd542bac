"""Time windows with the requests that were both sent and run in them."""

from collections.abc import Iterator, Sequence

import msgspec


class Span(msgspec.Struct, frozen=True):
    """When the caller of a request sent it, and when a server began to run it, in seconds.

    A request that ran several times has a span for each run.
    """

    sent_at: float
    began_at: float


class Window(msgspec.Struct, frozen=True):
    """A window in seconds, and the number of runs in it."""

    begin_at: float
    end_at: float
    runs: int


def windows(spans: Sequence[Span], length_s: float) -> Iterator[Window]:
    """Yield the window that begins with the sending of each span; no other window has more runs."""
    for first in spans:
        end_at = first.sent_at + length_s
        runs = sum(first.sent_at <= each.sent_at and each.began_at <= end_at for each in spans)
        yield Window(first.sent_at, end_at, runs)


__all__ = ["Span", "Window", "windows"]
