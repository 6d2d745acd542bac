"""The turns of one replica by name, their expiry, and the earlier turns that it lacks."""

import msgspec

from waxwingglade.ledger.journal import Place
from waxwingglade.ledger.messages import Turn, TurnId

EXPIRY_MARGIN_S = 60.0
"""Seconds for which a turn is retained after it expires, as clocks of VMs differ by seconds."""


class TurnPlace(msgspec.Struct):
    """Location of a turn on disk, the turn that it continues, and its expiry in calendar time."""

    place: Place
    previous: TurnId | None
    expires_at: float


class TurnIndex:
    """Index of the turns of one replica; turns may be added in any order.

    A turn is retained for as long as any turn that continues it, directly or not.

    Attributes
    ----------
    places : dict
        The turns that are stored.
    gaps : dict
        Turns that are not stored although stored ones continue them, and the calendar time until
        which they are needed.
    """

    def __init__(self) -> None:
        self.places: dict[TurnId, TurnPlace] = {}
        self.gaps: dict[TurnId, float] = {}

    def add(self, turn: Turn, place: Place, retain_until: float = 0.0) -> None:
        """Add a turn, and retain its ancestors at least as long.

        Parameters
        ----------
        retain_until : float
            Calendar time until which another replica retains the turn.
        """
        until = max(turn.expires_at, retain_until, self.gaps.pop(turn.turn, 0.0))
        if (known := self.places.get(turn.turn)) is not None:
            until = max(until, known.expires_at)
        self.places[turn.turn] = TurnPlace(place, turn.previous, until)
        previous = turn.previous
        while previous is not None:
            where = self.places.get(previous)
            if where is None:
                self.gaps[previous] = max(until, self.gaps.get(previous, 0.0))
                return
            if where.expires_at >= until:
                return
            where.expires_at = until
            previous = where.previous

    def remove_expired(self, now: float) -> list[TurnId]:
        """Remove turns that have expired; return their names."""
        since = now - EXPIRY_MARGIN_S
        expired = [name for name, where in self.places.items() if where.expires_at < since]
        for name in expired:
            del self.places[name]
        self.gaps = {name: until for name, until in self.gaps.items() if until >= since}
        return expired


__all__ = ["EXPIRY_MARGIN_S", "TurnIndex", "TurnPlace"]
