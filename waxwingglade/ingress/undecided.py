"""Sends after which a target may have ended, until it is known whether it has.

A target that sends nothing may have ended or be slow, and one that answers with an error, or ends
its answer by closing the connection, may have ended right after.  The target is heard again if it
runs, and is removed from the list of targets some seconds later if it has ended.
"""

from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from waxwingglade.base import Clock, Fingerprint, monotonic
from waxwingglade.follow.model import Target
from waxwingglade.ledger.target_failures import Trial

RETENTION_S = 10.0
"""Seconds for which a send is undecided.  The entry of a target that ended without a word expires
within a few seconds."""

ANSWERED_SETTLE_S = 0.1
"""Seconds after which a target that is still connected has not ended with its answer."""

SILENT_SETTLE_S = 1.0
"""Seconds after which a target that was silent and is heard again has not ended.  Until then it may
still run a request that was given up, and end under it."""

MAX_UNDECIDED = 2_000

ShowsLife = Callable[[str, float, bool], bool]
"""Returns whether the peer of an address was heard after a moment or, unless the last argument says
that it may be silent, is connected."""


class UndecidedSend(msgspec.Struct, frozen=True):
    """A send after which its target may have ended.

    Parameters
    ----------
    request : str
        Id of the attempt of the caller.
    since : float
        When it ended, in monotonic seconds.
    is_silent : bool
        Whether the target had sent nothing for a while.
    """

    fingerprint: Fingerprint
    target: Target
    request: str
    route: str
    since: float
    is_silent: bool = True

    @property
    def suspicion(self) -> Trial:
        """Trial that is pending while the target may have ended."""
        return Trial(self.target.incarnation, f"{self.request} undecided")

    @property
    def end(self) -> Trial:
        """Trial that fails once it is known that the target has ended."""
        return Trial(self.target.incarnation, f"{self.request} ended")


class UndecidedSends:
    """The undecided sends of one entry, the oldest first.

    Parameters
    ----------
    shows_life : callable
        Whether a target has not ended.
    clock : Clock
        Monotonic seconds.

    Attributes
    ----------
    sends : deque of UndecidedSend
        All of them, which count if their target is removed.
    suspected : list of UndecidedSend
        Those that count as pending meanwhile.
    """

    def __init__(self, shows_life: ShowsLife, clock: Clock = monotonic) -> None:
        self.shows_life = shows_life
        self.clock = clock
        self.sends: deque[UndecidedSend] = deque(maxlen=MAX_UNDECIDED)
        self.suspected: list[UndecidedSend] = []

    def add(self, send: UndecidedSend, is_suspected: bool) -> None:
        """Add a send."""
        self.sends.append(send)
        if is_suspected:
            self.suspected.append(send)

    def drop(self, fingerprint: Fingerprint) -> None:
        """Remove the sends of a request that was answered."""
        _, rest = _partition(self.sends, lambda send: send.fingerprint == fingerprint)
        self.sends = deque(rest, maxlen=MAX_UNDECIDED)
        _, self.suspected = _partition(self.suspected, lambda send: send.fingerprint == fingerprint)

    def take_ended(self, removed: list[Target]) -> list[UndecidedSend]:
        """Remove and return the sends to targets that ended.

        They were removed without having left, or while they were suspected.
        """
        self._forget()
        if not removed:
            return []
        gone = {target.incarnation for target in removed}
        ended = {target.incarnation for target in removed if not target.leaving}
        taken, self.suspected = _partition(
            self.suspected, lambda send: send.target.incarnation in gone
        )
        others, rest = _partition(self.sends, lambda send: send.target.incarnation in ended)
        self.sends = deque(rest, maxlen=MAX_UNDECIDED)
        return list(dict.fromkeys(taken + others))

    def take_cleared(self) -> list[UndecidedSend]:
        """Return the sends that were suspected and are no longer.

        They still count if their target is removed soon.
        """
        now = self.clock()
        cleared, self.suspected = _partition(
            self.suspected, lambda send: self._is_cleared(send, now)
        )
        self._forget()
        return cleared

    def _is_cleared(self, send: UndecidedSend, now: float) -> bool:
        if now > send.since + RETENTION_S:
            return True
        settled_at = send.since + (SILENT_SETTLE_S if send.is_silent else ANSWERED_SETTLE_S)
        if now < settled_at:
            return False
        return self.shows_life(send.target.address, settled_at, send.is_silent)

    def _forget(self) -> None:
        oldest = self.clock() - RETENTION_S
        while self.sends and self.sends[0].since < oldest:
            self.sends.popleft()


def _partition(
    sends: Iterable[UndecidedSend], matches: Callable[[UndecidedSend], bool]
) -> tuple[list[UndecidedSend], list[UndecidedSend]]:
    """Return the sends that match, and the others."""
    matching: list[UndecidedSend] = []
    others: list[UndecidedSend] = []
    for send in sends:
        (matching if matches(send) else others).append(send)
    return matching, others


__all__ = ["MAX_UNDECIDED", "SILENT_SETTLE_S", "ShowsLife", "UndecidedSend", "UndecidedSends"]
