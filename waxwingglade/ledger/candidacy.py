"""Ensures that one replica of a zone at a time reads the members' data in order to join them.

A fleet has more disks than the ledger has members.  When a member is lost, every standby replica in
its zone would otherwise read all data of the other members at the same time, and the members would
have no time left for turns.  So a replica first writes a claim to the store.  The claim is valid
for a short time and is renewed while the replica reads.  It needs the store no more than the change
of the set that follows.
"""

import asyncio

from loguru import logger

from waxwingglade.base import Clock, WaxwinggladeError, monotonic
from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.follow.store import Store
from waxwingglade.follow.watcher import Candidate, Watcher

CLAIM_VALID_S = 1.2
"""Seconds for which the claim of another replica is valid after it was seen.  A candidate that dies
blocks its zone for this time."""

RENEW_INTERVAL_S = 0.5
"""Seconds between renewals.  Much shorter than `CLAIM_VALID_S`, since a watch reports a renewal
up to 0.35 s later."""

MAX_FAILURES = 2
"""Consecutive failed reads after which another replica may try."""

STEP_BACK_S = CLAIM_VALID_S + 1.0
"""Seconds for which a replica makes no claim after `MAX_FAILURES` failed reads."""


class Candidacy:
    """Claims of the replicas in a zone to be the one that joins.

    Parameters
    ----------
    own : Member
        This process's replica.
    watcher : Watcher
        Provides the claims in the store.
    store : Store
        Where the claim is written.
    prefix : str
        Prefix of the keys of claims; the zone follows.
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
        self.logged_candidate = ""

    async def claim(self, replicas: ReplicaSet) -> bool:
        """Return whether this replica is now the candidate.

        Raises
        ------
        WaxwinggladeError
            If the store fails.
        """
        if self.clock() < self.back_until:
            return False
        candidate = self.watcher.candidates.get(self.key)
        if self._is_other_joining(candidate, replicas):
            return False
        return await self._write()

    def record_success(self) -> None:
        """Record that all data was read."""
        self.failures = 0

    def record_failure(self) -> None:
        """Record a failed read; after `MAX_FAILURES` in a row another replica may try.

        Otherwise a replica that reaches the store but not the members would block its zone forever.
        """
        self.failures += 1
        if self.failures >= MAX_FAILURES:
            self.failures = 0
            self.back_until = self.clock() + STEP_BACK_S
            logger.bind(key=self.key).info("candidate pauses after failed reads")

    def _is_other_joining(self, candidate: Candidate | None, replicas: ReplicaSet) -> bool:
        """Return whether another replica has a valid claim to join."""
        if candidate is None or candidate.disk == self.own.disk:
            return False
        if any(member.disk == candidate.disk for member in replicas.members):
            return False
        if self.clock() - candidate.seen_at >= CLAIM_VALID_S:
            return False
        if candidate.disk != self.logged_candidate:
            logger.bind(key=self.key, candidate=candidate.disk).info(
                "another replica is the candidate"
            )
        self.logged_candidate = candidate.disk
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
        """Renew the claim until cancelled; if a renewal fails, another replica may read as well."""
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            try:
                await self._write()
            except WaxwinggladeError as error:
                logger.bind(key=self.key, reason=str(error)).info("claim not renewed")


__all__ = ["Candidacy"]
