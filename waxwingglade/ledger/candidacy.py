"""One replica of a zone at a time reads what the members hold, to join them.

A fleet has more disks than the ledger has members.  When a member is lost, every replica that
stands by in its zone would read all that the others hold, at the same time, and the members would
have no time left for turns.  So a replica first writes to the store that it is the one.  The word
counts for a short time and is renewed while it reads; it needs no more of the store than the change
of the set that follows.
"""

import asyncio

from loguru import logger

from waxwingglade.base import Clock, WaxwinggladeError, monotonic
from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.follow.store import Store
from waxwingglade.follow.watcher import Candidate, Watcher

VALID_S = 1.2
"""Seconds for which another's word counts after it was seen.  A candidate that dies holds its zone
up for as long."""

RENEW_S = 0.5
"""Seconds between renewals; short against the time for which they count, since a watch tells of one
up to 0.35 s later."""

FAILURES = 2
"""Readings in a row that may fail before another replica gets its turn."""

STEP_BACK_S = VALID_S + 1.0
"""Seconds for which a replica that could not read leaves the place to others."""


class Candidacy:
    """What this replica knows and says of candidates in its zone.

    Parameters
    ----------
    own : Member
        This process's replica.
    watcher : Watcher
        What the store says.
    store : Store
        Where the word is written.
    prefix : str
        Prefix of its keys; the zone follows.
    clock : Clock
        Monotonic seconds.
    """

    def __init__(
        self, own: Member, watcher: Watcher, store: Store, prefix: str, clock: Clock = monotonic
    ) -> None:
        self.own = own
        self.watcher = watcher
        self.store = store
        self.key = prefix + own.zone
        self.clock = clock
        self.failures = 0
        self.back_until = float("-inf")
        self.other = ""

    async def claim(self, replicas: ReplicaSet) -> bool:
        """Return whether this replica is the candidate now; `WaxwinggladeError` if that fails."""
        if self.clock() < self.back_until:
            return False
        candidate = self.watcher.candidates.get(self.key)
        if self._is_taken(candidate, replicas):
            return False
        return await self._write()

    def note_read(self) -> None:
        """Note that all was read."""
        self.failures = 0

    def note_failure(self) -> None:
        """Note that the members could not be read; after some failures another one may try.

        One that reaches the store and not the members would hold its zone up for good otherwise.
        """
        self.failures += 1
        if self.failures >= FAILURES:
            self.failures = 0
            self.back_until = self.clock() + STEP_BACK_S
            logger.bind(key=self.key).info("candidate steps back")

    def _is_taken(self, candidate: Candidate | None, replicas: ReplicaSet) -> bool:
        """Return whether another replica is about to join."""
        if candidate is None or candidate.disk == self.own.disk:
            return False
        if any(member.disk == candidate.disk for member in replicas.members):
            return False
        if self.clock() - candidate.seen_at >= VALID_S:
            return False
        if candidate.disk != self.other:
            logger.bind(key=self.key, candidate=candidate.disk).info("another candidate reads")
        self.other = candidate.disk
        return True

    async def _write(self) -> bool:
        known = self.watcher.candidates.get(self.key)
        revision = known.revision if known is not None else 0
        held = await self.store.compare_and_swap(self.key, revision, self.own.disk.encode())
        if held is None:
            return True
        self.watcher.apply_candidate(held)
        return held.value == self.own.disk.encode()

    async def renew_forever(self) -> None:
        """Renew the word until cancelled; a renewal that fails only lets another read as well."""
        while True:
            await asyncio.sleep(RENEW_S)
            try:
                await self._write()
            except WaxwinggladeError as error:
                logger.bind(key=self.key, reason=str(error)).info("candidate not renewed")


__all__ = ["Candidacy"]
