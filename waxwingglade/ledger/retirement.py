"""Report to operators whether retiring VMs still hold a member of the ledger.

An operator removes a VM as soon as its state is ``completed``, so a state that is not written keeps
a VM that is no longer needed.
"""

from collections.abc import Mapping
from enum import Enum

import msgspec
from loguru import logger

from waxwingglade.base import Clock, monotonic, shortened
from waxwingglade.base.doubling import Pause, pause_after
from waxwingglade.follow.store import KeyTooLong, Store

FIRST_PAUSE_S = 0.25
LONGEST_PAUSE_S = 2.0
"""Seconds after a failed report until the next one of the same VM, doubled up to the longest, as
failed calls are priced, too."""

ENDLESS = Pause(float("inf"), float("inf"))
"""Pause after the failure of a report that can't be made at all."""


class RetirementState(Enum):
    """State of a retiring VM, as operators read it."""

    RUNNING = "running"
    COMPLETED = "completed"


class FailedReport(msgspec.Struct):
    """The last failure to report a VM.

    Parameters
    ----------
    reason : str
        What was wrong.
    pause : Pause
        Pause until the next report may be made.
    """

    reason: str
    pause: Pause


class RetirementReports:
    """Writes the states of retiring VMs to the store.

    Parameters
    ----------
    store : Store
        Where the states are written.
    prefix : str
        Prefix of the keys of states; the name of the VM follows.
    clock : Clock
        Monotonic seconds.

    Attributes
    ----------
    reported : dict
        States that are known to be in the store, by VM.
    failed : dict
        Reports that failed and were not made since, by VM.
    """

    def __init__(self, store: Store, prefix: str, clock: Clock = monotonic) -> None:
        self.store = store
        self.prefix = prefix
        self.clock = clock
        self.reported: dict[str, RetirementState] = {}
        self.failed: dict[str, FailedReport] = {}

    async def report(self, states: Mapping[str, RetirementState]) -> None:
        """Write the states that are not in the store yet.

        The call ends with the first report that the store fails: if the store is away, each further
        one would take as long.  A VM whose report failed comes after the others in later calls.

        Parameters
        ----------
        states : mapping
            Current states of all retiring VMs.
        """
        self.reported = {vm: state for vm, state in self.reported.items() if vm in states}
        self.failed = {vm: failure for vm, failure in self.failed.items() if vm in states}
        for vm in sorted(states, key=self._retry_at):
            if self._retry_at(vm) > self.clock():
                return
            if self.reported.get(vm) is states[vm]:
                continue
            try:
                await self._write(vm, states[vm])
            except KeyTooLong as error:
                self._record_failure(vm, error, ENDLESS)
            # Whatever is wrong with one report must not keep the others from being made.
            except Exception as error:
                self._record_failure(vm, error, self._next_pause(vm))
                return
            else:
                self.failed.pop(vm, None)

    def _retry_at(self, vm: str) -> float:
        failure = self.failed.get(vm)
        return float("-inf") if failure is None else failure.pause.ends_at

    def _next_pause(self, vm: str) -> Pause:
        failure = self.failed.get(vm)
        before = None if failure is None else failure.pause
        return pause_after(before, FIRST_PAUSE_S, LONGEST_PAUSE_S, self.clock())

    async def _write(self, vm: str, state: RetirementState) -> None:
        key = self.prefix + vm
        value = msgspec.json.encode({"state": state})
        held = await self.store.read(key)
        if held is None or held.value != value:
            revision = held.revision if held is not None else 0
            if await self.store.compare_and_swap(key, revision, value) is not None:
                return
        self.reported[vm] = state
        logger.bind(vm=vm, state=state.value).info("state of a retiring VM")

    def _record_failure(self, vm: str, error: Exception, pause: Pause) -> None:
        """Record a failed report; one that fails repeatedly for the same reason is logged once."""
        reason = shortened(f"{type(error).__name__}: {error}")
        before = self.failed.get(vm)
        self.failed[vm] = FailedReport(reason, pause)
        if before is None or before.reason != reason:
            logger.bind(vm=vm, key_bytes=len((self.prefix + vm).encode()), reason=reason).warning(
                "state of a retiring VM not reported"
            )


__all__ = ["RetirementReports", "RetirementState"]
