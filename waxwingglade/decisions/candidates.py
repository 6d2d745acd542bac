"""Random candidates among the targets of a service, by request.

This handles tens of entries that know the same loads, a fraction of a second old.  If each of them
sent its next request to the target with the least load, that target would receive the requests of
all entries until they learn of them.
"""

from collections.abc import Callable, Sequence
from typing import TypeVar

from waxwingglade.base.rendezvous import weight

MAX_CANDIDATES = 5
"""Number of candidates.  Few slow or full targets among many are hardly ever the only ones, and a
target that appears idle is a candidate for few of the requests of that fraction of a second."""

T = TypeVar("T")


def candidates(key: str, options: Sequence[T], name_of: Callable[[T], str]) -> list[T]:
    """Return a few options, always the same ones for a key."""
    if len(options) <= MAX_CANDIDATES:
        return list(options)
    ordered = sorted(options, key=lambda option: weight(key, name_of(option)), reverse=True)
    return ordered[:MAX_CANDIDATES]


__all__ = ["candidates"]
