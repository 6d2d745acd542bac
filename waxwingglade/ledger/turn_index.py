"""The turns of one replica by name, their expiry, and the earlier turns that it lacks."""

from collections.abc import Iterable

import msgspec
import xxhash

from waxwingglade.ledger.journal import Place
from waxwingglade.ledger.messages import Checksums, Turn, TurnId

EXPIRY_MARGIN_S = 60.0
"""Seconds for which a turn is retained after it expires, as clocks of VMs differ by seconds."""

BUCKET_S = 1.0
"""Turns that expire within the same period of this many seconds are compared together."""

GROUPS = 64
"""Most checksums in a comparison; buckets further apart than this share one."""

SETTLE_S = 1.0
"""Seconds without a new turn after which a bucket is compared.  A turn reaches the members some
milliseconds apart."""


class TurnPlace(msgspec.Struct):
    """Location of a turn on disk, the turn that it continues, and its expiry in calendar time."""

    place: Place
    previous: TurnId | None
    expires_at: float


class Bucket(msgspec.Struct):
    """Turns that expire in one period by themselves, whether or not later turns continue them.

    Parameters
    ----------
    checksum : int
        Checksum of the names, whatever their order.
    changed_at : float
        Time of the last addition in calendar seconds.
    """

    names: list[TurnId] = msgspec.field(default_factory=list)
    checksum: int = 0
    changed_at: float = 0.0


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
    buckets : dict
        Unexpired turns by the period of their expiry.
    """

    def __init__(self) -> None:
        self.places: dict[TurnId, TurnPlace] = {}
        self.gaps: dict[TurnId, float] = {}
        self.buckets: dict[int, Bucket] = {}

    def add(self, turn: Turn, place: Place, now: float, retain_until: float = 0.0) -> None:
        """Add a turn, and retain its ancestors at least as long.

        Parameters
        ----------
        now : float
            Calendar time in seconds.
        retain_until : float
            Calendar time until which another replica retains the turn.
        """
        self._add_to_bucket(turn, now)
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

    def _add_to_bucket(self, turn: Turn, now: float) -> None:
        if turn.turn in self.places or turn.expires_at < now:
            return
        bucket = self.buckets.setdefault(int(turn.expires_at // BUCKET_S), Bucket())
        bucket.names.append(turn.turn)
        bucket.checksum ^= xxhash.xxh64_intdigest(turn.turn.encode())
        bucket.changed_at = now

    def remove_expired(self, now: float) -> list[TurnId]:
        """Remove turns that have expired; return their names."""
        since = now - EXPIRY_MARGIN_S
        expired = [name for name, where in self.places.items() if where.expires_at < since]
        for name in expired:
            del self.places[name]
        self.gaps = {name: until for name, until in self.gaps.items() if until >= since}
        return expired

    # Comparison with other replicas

    def checksums(self, now: float) -> Checksums:
        """Return the checksums of all turns that have not expired."""
        self._drop_expired_buckets(now)
        settled: dict[int, int] = {}
        changing = set()
        for period, bucket in self.buckets.items():
            group = period % GROUPS
            settled[group] = settled.get(group, 0) ^ bucket.checksum
            # A step of the clock to the past must not keep a bucket from being compared.
            if 0.0 <= now - bucket.changed_at < SETTLE_S:
                changing.add(group)
        for group in changing:
            del settled[group]
        return Checksums(settled, tuple(changing))

    def names_unlike(self, other: Checksums, now: float) -> list[TurnId]:
        """Return the names of the turns in groups whose checksum differs at another replica."""
        own = self.checksums(now)
        different = {
            group
            for group, checksum in own.settled.items()
            if group not in other.changing and other.settled.get(group) != checksum
        }
        return [
            name
            for period, bucket in self.buckets.items()
            if period % GROUPS in different
            for name in bucket.names
        ]

    def count_unexpired(self, now: float) -> int:
        """Return the number of turns that have not expired, the same at each complete replica."""
        self._drop_expired_buckets(now)
        return sum(len(bucket.names) for bucket in self.buckets.values())

    def _drop_expired_buckets(self, now: float) -> None:
        oldest = int(now // BUCKET_S)
        for period in [period for period in self.buckets if period < oldest]:
            del self.buckets[period]

    def missing(self, names: Iterable[TurnId]) -> list[TurnId]:
        """Return those of some turns that are not stored."""
        return [name for name in names if name not in self.places]


__all__ = ["EXPIRY_MARGIN_S", "TurnIndex", "TurnPlace"]
