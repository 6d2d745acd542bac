"""Client of an entry for the records of targets that failed requests, which the members store."""

import asyncio
import random
from collections.abc import Callable, Iterable

from loguru import logger

from waxwingglade.base import Clock, Fingerprint, monotonic
from waxwingglade.base.tasks import start_task
from waxwingglade.follow.model import Replica
from waxwingglade.ledger.messages import KnownFailures, MergeFailures
from waxwingglade.ledger.target_failures import NO_FAILURES, TargetFailures
from waxwingglade.transport.links import LinkFailed, Links

MEMBER_TIMEOUT_S = 0.4
"""Timeout in seconds of a request to one member."""

MERGE_TIMEOUT_S = 0.1
"""Seconds for which a request of a caller waits for a majority of the members.  A merge takes about
5 ms, mostly for a flush of the disk; callers repeat a failed turn after this time or more."""

RETRY_PAUSES_S = (0.3, 0.6, 1.2, 2.4)
"""Pauses in seconds before a record that no majority has stored is reported again."""


class FailureClient:
    """Reports and reads records of failed targets at all members.

    Parameters
    ----------
    links : Links
        Connections to members.
    members : callable
        Returns the members.
    clock : Clock
        Monotonic seconds.

    Attributes
    ----------
    running : set of Task
        Reports in progress.
    """

    def __init__(
        self, links: Links, members: Callable[[], Iterable[Replica]], clock: Clock = monotonic
    ) -> None:
        self.links = links
        self.members = members
        self.clock = clock
        self.running: set[asyncio.Task] = set()

    async def read(self, fingerprint: Fingerprint) -> TargetFailures:
        """Return what a majority of the members knows, or those that answer in time."""
        known, _ = await self._merge(fingerprint, NO_FAILURES)
        return known

    async def report(self, fingerprint: Fingerprint, failures: TargetFailures) -> TargetFailures:
        """Merge a record into those of the members, and return what they know.

        The caller waits for a majority, for `MERGE_TIMEOUT_S` at most.  If that is too short, the
        record is reported again in the background.
        """
        known, stored = await self._merge(fingerprint, failures)
        if not stored:
            self._start(self._report_again(fingerprint, failures))
        return known.merged(failures)

    def report_later(self, fingerprint: Fingerprint, failures: TargetFailures) -> None:
        """Report a record without waiting for the result."""
        self._start(self.report(fingerprint, failures))

    async def _report_again(self, fingerprint: Fingerprint, failures: TargetFailures) -> None:
        for pause_s in RETRY_PAUSES_S:
            await asyncio.sleep(pause_s * (0.5 + random.random()))
            _, stored = await self._merge(fingerprint, failures)
            if stored:
                return
        logger.bind(fingerprint=fingerprint).warning("failed targets of a request not recorded")

    async def _merge(
        self, fingerprint: Fingerprint, failures: TargetFailures
    ) -> tuple[TargetFailures, bool]:
        """Return the union of the records of the members, and whether a majority has answered."""
        message = MergeFailures(fingerprint, failures)
        asking = {self._start(self._ask(member, message)) for member in self.members()}
        missing = len(asking) // 2 + 1
        known = NO_FAILURES
        end_at = self.clock() + MERGE_TIMEOUT_S
        while missing > 0 and asking and (left_s := end_at - self.clock()) > 0:
            done, asking = await asyncio.wait(
                asking, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            for answer in (task.result() for task in done if not task.cancelled()):
                if answer is not None:
                    known = known.merged(answer)
                    missing -= 1
        return known, missing <= 0

    async def _ask(self, member: Replica, message: MergeFailures) -> TargetFailures | None:
        try:
            answer = await self.links.to(member.address).request(message, MEMBER_TIMEOUT_S)
        except LinkFailed:
            return None
        return answer.failures if isinstance(answer, KnownFailures) else None

    def _start(self, coroutine) -> asyncio.Task:
        task = start_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return task

    async def finish(self, timeout_s: float) -> None:
        """Wait for the reports in progress, for some seconds at most, and cancel the others."""
        if self.running:
            await asyncio.wait(self.running, timeout=max(0.0, timeout_s))
        rest = list(self.running)
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)


__all__ = ["FailureClient"]
