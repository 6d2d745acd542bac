"""Hold back requests under which several targets have ended or broken off.

A request that ends each target that runs it must not be sent on for every repeat of its caller,
which has a new id and may reach any entry.  So the members of the ledger record by fingerprint
which targets failed a request, and all entries follow the list of the requests that failed at two
targets.  A request that is not on the list and has not failed at this entry needs no message.
"""

import asyncio
from collections import OrderedDict
from typing import Protocol

import msgspec
from loguru import logger

from waxwingglade.base import Clock, Fingerprint, monotonic, wall
from waxwingglade.base.tasks import run_detached
from waxwingglade.decisions.failed_targets import MAX_FAILED_TARGETS
from waxwingglade.follow.model import IncarnationName, Target
from waxwingglade.follow.suspects import Suspects
from waxwingglade.ingress.dialect import Call
from waxwingglade.ingress.fingerprint import fingerprint_of
from waxwingglade.ingress.refusal import UNAVAILABLE, Refusal
from waxwingglade.ingress.undecided import ShowsLife, UndecidedSend, UndecidedSends
from waxwingglade.ledger.failure_client import FailureClient
from waxwingglade.ledger.target_failures import (
    NO_FAILURES,
    TargetFailures,
    Trial,
    expires_at,
)
from waxwingglade.transport import Http1Connection

KNOWN_RETENTION_S = 30.0
"""Seconds for which an entry itself remembers a failed request, in case it reaches no member."""

MAX_KNOWN = 2_000

NOWHERE: frozenset[IncarnationName] = frozenset()


class HeldBack(Exception):
    """A call is not sent to a target, as too many have ended under it or may do so."""


class KnownRequest(msgspec.Struct, frozen=True):
    """What an entry knows of a request that failed, since a time in monotonic seconds."""

    failures: TargetFailures
    learned_at: float


class WaitingCall(Protocol):
    """A call that waits for an answer of a target."""

    def suspect_if_silent(self, connection: Http1Connection) -> None:
        """Suspect that the target has ended if it has sent nothing for long."""


class Quarantine:
    """The requests that one entry holds back.

    Parameters
    ----------
    client : FailureClient
        Records failed targets at the members of the ledger.
    suspects : Suspects
        Requests that failed at several targets, as members of the ledger know them.
    shows_life : callable
        Whether a target has not ended.
    clock : Clock
        Monotonic seconds.

    Attributes
    ----------
    known : OrderedDict
        Requests that failed at this entry or of which members were asked, the latest last.
    undecided : UndecidedSends
        Sends after which a target may have ended.
    waiting : dict
        Calls that wait for an answer, by connection.
    held : int
        Requests that were held back since the start.
    """

    def __init__(
        self,
        client: FailureClient,
        suspects: Suspects,
        shows_life: ShowsLife = lambda _address, _since, _is_silent: False,
        clock: Clock = monotonic,
    ) -> None:
        self.client = client
        self.suspects = suspects
        self.clock = clock
        self.known: OrderedDict[Fingerprint, KnownRequest] = OrderedDict()
        self.undecided = UndecidedSends(shows_life, clock)
        self.waiting: dict[Http1Connection, WaitingCall] = {}
        self.held = 0

    def fingerprint_if_suspect(self, call: Call) -> Fingerprint | None:
        """Return the fingerprint of a call that has failed before, None for all others."""
        if not self.known and not self.suspects.failed:
            return None
        fingerprint = fingerprint_of(call)
        if fingerprint in self.known or fingerprint in self.suspects.failed:
            return fingerprint
        return None

    async def check(self, call: Call) -> None:
        """Raise a `Refusal` if a call must not be sent to any target."""
        fingerprint = self.fingerprint_if_suspect(call)
        if fingerprint is None:
            return
        self._learn(fingerprint, await self.client.read(fingerprint))
        if self.holds(call):
            raise self.refusal(call)

    def holds(self, call: Call) -> bool:
        """Return whether a call must not be sent to any target, by what this entry knows."""
        fingerprint = self.fingerprint_if_suspect(call)
        return fingerprint is not None and self._failed_targets(fingerprint) >= MAX_FAILED_TARGETS

    def _failed_targets(self, fingerprint: Fingerprint) -> int:
        followed = self.suspects.failed.get(fingerprint, 0)
        return max(self._known_failures(fingerprint).failed_targets, followed)

    def _known_failures(self, fingerprint: Fingerprint) -> TargetFailures:
        known = self.known.get(fingerprint)
        return known.failures if known is not None else NO_FAILURES

    def known_failures(self, call: Call) -> TargetFailures:
        """Return what this entry knows of a call that has failed before."""
        fingerprint = self.fingerprint_if_suspect(call)
        return NO_FAILURES if fingerprint is None else self._known_failures(fingerprint)

    def failed_at(self, call: Call) -> frozenset[IncarnationName]:
        """Return the targets that failed a call or may have ended under it."""
        fingerprint = self.fingerprint_if_suspect(call)
        return NOWHERE if fingerprint is None else self._known_failures(fingerprint).targets

    def _learn(self, fingerprint: Fingerprint, failures: TargetFailures) -> TargetFailures:
        """Add to what is known of a request, and return all of it."""
        merged = self._known_failures(fingerprint).merged(failures)
        self.known[fingerprint] = KnownRequest(merged, self.clock())
        self.known.move_to_end(fingerprint)
        if len(self.known) > MAX_KNOWN:
            self.known.popitem(last=False)
        return merged

    def refusal(self, call: Call) -> Refusal:
        """Return the answer to a call that is held back and was sent to no target."""
        self.held += 1
        fingerprint = fingerprint_of(call)
        assert fingerprint is not None
        count = self._failed_targets(fingerprint)
        reason = f"not run: held back: {count} targets ended or broke off under this request"
        if count < MAX_FAILED_TARGETS:
            others = "others still run it or may have ended"
            return Refusal(UNAVAILABLE, f"{reason}, and {others} ({fingerprint})")
        now = wall()
        known = self._known_failures(fingerprint)
        if not known.changed_at:
            known = TargetFailures(changed_at=now)
        held_s = expires_at(fingerprint, known) - now
        return Refusal(UNAVAILABLE, f"{reason} ({fingerprint})", max(1.0, held_s))

    # Outcomes

    async def begin_trial(self, call: Call, target: Target, route: str) -> Trial | None:
        """Record that a call that has failed before is about to be sent to a target.

        Returns the trial, which must be ended; None for a call that has not failed before.

        Raises
        ------
        HeldBack
            If too many targets would have ended if this one ended, and those that still run it.
        """
        fingerprint = self.fingerprint_if_suspect(call)
        if fingerprint is None:
            return None
        trial = Trial(target.incarnation, call.request)
        try:
            record = await self._report(fingerprint, route, pending=trial)
        except asyncio.CancelledError:
            self.withdraw(call, trial)
            raise
        if record.exceeds_limit or self.holds(call):
            self.withdraw(call, trial)
            raise HeldBack
        return trial

    def withdraw(self, call: Call, trial: Trial) -> None:
        """Record that a trial has ended without a failure of its target."""
        fingerprint = fingerprint_of(call)
        assert fingerprint is not None
        change = TargetFailures(released=(trial,), changed_at=wall())
        self._report_later(fingerprint, change)

    async def record_break(self, call: Call, target: Target, route: str) -> None:
        """Record that a target ended or broke off under a call.

        The caller's answer waits until a majority of the members has recorded it.
        """
        fingerprint = fingerprint_of(call)
        if fingerprint is not None:
            trial = Trial(target.incarnation, call.request)
            await self._report(fingerprint, route, failed=trial)

    async def _report(
        self,
        fingerprint: Fingerprint,
        route: str,
        failed: Trial | None = None,
        pending: Trial | None = None,
    ) -> TargetFailures:
        """Record a trial here and at the members; return what is known of the request then."""
        change = TargetFailures(
            (failed,) if failed else (), (pending,) if pending else (), (), wall(), route
        )
        self._learn(fingerprint, change)
        record = self._learn(fingerprint, await self.client.report(fingerprint, change))
        if failed is not None and record.is_held:
            targets = sorted({trial.target for trial in record.failed})
            logger.bind(fingerprint=fingerprint, route=route, targets=targets).warning(
                "request held back"
            )
        return record

    def _report_later(self, fingerprint: Fingerprint, change: TargetFailures) -> None:
        """Record a change here, and at the members without waiting for them."""
        self._learn(fingerprint, change)
        self.client.report_later(fingerprint, change)

    def record_answer(self, call: Call) -> bool:
        """Record that a target answered a call completely, so that it does not end its targets.

        Returns whether the call had failed before.
        """
        fingerprint = self.fingerprint_if_suspect(call)
        if fingerprint is None:
            return False
        record = self._known_failures(fingerprint)
        self.known.pop(fingerprint, None)
        self.undecided.drop(fingerprint)
        if not record.tried_targets:
            return False
        self.client.report_later(fingerprint, record.all_released(wall()))
        logger.bind(
            fingerprint=fingerprint, request=call.request, failed=record.failed_targets
        ).info("failures of a request cleared")
        return True

    def record_undecided(
        self,
        call: Call,
        target: Target,
        route: str,
        is_silent: bool = True,
        is_suspected: bool = False,
    ) -> None:
        """Record that a target may have ended under a call.

        It counts as failed once it is known to have ended.  If it is suspected, it counts as
        pending until then.
        """
        fingerprint = fingerprint_of(call)
        if fingerprint is None:
            return
        send = UndecidedSend(fingerprint, target, call.request, route, self.clock(), is_silent)
        self.undecided.add(send, is_suspected)
        if is_suspected:
            change = TargetFailures((), (send.suspicion,), (), wall(), route)
            self._report_later(fingerprint, change)

    def record_removed(self, targets: list[Target]) -> None:
        """Record targets that are no longer registered; those that did not report it have ended."""
        for send in self.undecided.take_ended(targets):
            run_detached(self._report(send.fingerprint, send.route, failed=send.end))

    def suspect_silent(self) -> None:
        """Suspect targets that have sent nothing for long while a call waits."""
        for connection, waiting in list(self.waiting.items()):
            waiting.suspect_if_silent(connection)

    def clear_suspicions(self) -> None:
        """Release the trials of targets that were suspected to have ended, and have not."""
        for send in self.undecided.take_cleared():
            change = TargetFailures(released=(send.suspicion,), changed_at=wall())
            self._report_later(send.fingerprint, change)

    def remove_expired(self) -> None:
        """Remove what is no longer needed."""
        oldest = self.clock() - KNOWN_RETENTION_S
        while self.known and next(iter(self.known.values())).learned_at < oldest:
            self.known.popitem(last=False)


__all__ = ["HeldBack", "Quarantine"]
