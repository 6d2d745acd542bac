"""Time windows with the requests that were both sent and run in them."""

from bisect import bisect_left, bisect_right
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
    ordered = sorted(spans, key=lambda span: span.sent_at)
    sent_at = [span.sent_at for span in ordered]
    for begin_at in sent_at:
        end_at = begin_at + length_s
        # A request is run after it was sent.
        sent_inside = ordered[bisect_left(sent_at, begin_at) : bisect_right(sent_at, end_at)]
        runs = sum(span.began_at <= end_at for span in sent_inside)
        yield Window(begin_at, end_at, runs)


__all__ = ["Span", "Window", "windows"]
