"""Brings the model engines of a zone to the desired state, one order at a time for each.

Every target is compared again at a period also when it agrees.  That is what undoes an order that
an earlier holder of the duty sent late, to an engine that ignores fencing numbers.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from loguru import logger

from waxwingglade.base import ErrorCode, Failure, Outcome, TargetId, Verdict
from waxwingglade.base.tasks import start_task
from waxwingglade.connection.engine_control import read_state, send_order
from waxwingglade.connection.engine_events import EngineOrder, EngineState, OrderKind
from waxwingglade.connection.http import HttpClient
from waxwingglade.connection.peer_messages import TargetReport
from waxwingglade.process.duties.desired import DesiredTarget, models_in_zone, read_desired
from waxwingglade.process.duties.lease import Term
from waxwingglade.process.duties.permits import LoadPermits
from waxwingglade.process.duties.reconcile import (
    Step,
    has_effect,
    lacks_weights,
    next_step,
    serving,
)
from waxwingglade.process.duties.reports import Reporter
from waxwingglade.settings import TargetSettings

SendOrder = Callable[[HttpClient, TargetSettings, EngineOrder, float], Awaitable[Outcome[None]]]


class PendingOrder(msgspec.Struct, frozen=True):
    """An order that was accepted at `since`, in monotonic seconds, and has to show its effect."""

    step: Step
    since: float


class ManagedTarget:
    """What the holder knows of one target."""

    def __init__(self, settings: TargetSettings) -> None:
        self.settings = settings
        self.name = TargetId(settings.target)
        self.awaited: PendingOrder | None = None
        self.fence_raised = False
        self.seen_fencing = 0
        self.note = ""
        self.changed = asyncio.Event()


class OrderController:
    """Gives the orders of a zone during one term.

    Parameters
    ----------
    term : Term
        The right to do so; it has store, settings and clock.
    http : HttpClient
        Client for the targets.
    reporter : Reporter
        Told what was read back.
    send : callable
        Sends an order.
    """

    def __init__(
        self, term: Term, http: HttpClient, reporter: Reporter, send: SendOrder = send_order
    ) -> None:
        self.term = term
        self.settings = term.settings.target_orders
        self.http = http
        self.reporter = reporter
        self.send = send
        self.permits = LoadPermits(term.settings.weight_store, term.clock)
        self.version: int | None = None
        self.desired: dict[TargetId, DesiredTarget] = {}
        self.managed = [
            ManagedTarget(each) for each in models_in_zone(term.settings.targets, term.own.zone)
        ]

    async def keep(self, wanted: Callable[[], bool] = lambda: True) -> None:
        """Give orders until the term is lost, or while `wanted`."""
        tasks = [start_task(self._follow())]
        tasks += [start_task(self._keep_target(each)) for each in self.managed]
        if any(not each.settings.honours_fencing for each in self.managed):
            tasks.append(start_task(self.term.wait_out()))
        try:
            await self.term.keep(wanted)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _follow(self) -> None:
        """Follow the desired state, and bring entries up to date that are new."""
        while True:
            read = await read_desired(self.term.store, self.term.own.zone)
            if read.is_ok() and read.ok_value.version != self.version:
                self.version = read.ok_value.version
                self.desired = read.ok_value.targets
                for target in self.managed:
                    target.changed.set()
            await self.reporter.send_to_all()
            await self.term.sleep(self.settings.follow_s)

    async def _keep_target(self, target: ManagedTarget) -> None:
        while self.term.may_act():
            pause_s = self.settings.read_back_s
            try:
                if self.version is not None:
                    pause_s = await self._look(target)
            except Exception:
                logger.exception("giving orders to {} failed; trying again", target.name)
            await self._pause(target, pause_s)

    async def _pause(self, target: ManagedTarget, pause_s: float) -> None:
        """Wait, but not when the desired state has changed."""
        try:
            async with asyncio.timeout(pause_s):
                await target.changed.wait()
        except TimeoutError:
            return
        target.changed.clear()

    async def _look(self, target: ManagedTarget) -> float:
        """Read a target's state back and give the next order; return the pause after it."""
        desired = self.desired.get(target.name)
        if desired is None:
            self.permits.end(target.name)
            await self.reporter.report(TargetReport(target.name, self.term.fencing, 0, None))
            return self.settings.check_s
        read = await read_state(self.http, target.settings)
        if read.is_err():
            target.note = f"its state cannot be read: {read.err_value.message}"
            await self._report_unread(target)
            return self.settings.read_back_s
        state = read.ok_value
        step = next_step(desired, state) or self._fence_step(target, state)
        if step is None:
            target.note = ""
            target.awaited = None
            self.permits.end(target.name)
        # Entries hear what a target will serve no longer before it is told to unload it.
        await self._report(target, desired, state)
        if step is None:
            return self.settings.check_s
        if self._may_give(target, step, desired, state):
            await self._give(target, step)
        return self.settings.read_back_s

    def _fence_step(self, target: ManagedTarget, state: EngineState) -> Step | None:
        """Return an order that changes nothing but the fencing number that the target has seen.

        Without it, a target that agrees would still take a late order of an earlier holder.
        """
        if state.last_fencing < target.seen_fencing:
            # The engine has started anew and forgotten the number.
            target.fence_raised = False
        target.seen_fencing = state.last_fencing
        if not target.settings.honours_fencing or target.fence_raised:
            return None
        if state.last_fencing >= self.term.fencing:
            return None
        return Step(OrderKind.SET_ROLE, state.role)

    def _may_give(
        self, target: ManagedTarget, step: Step, desired: DesiredTarget, state: EngineState
    ) -> bool:
        """Return whether nothing has to be waited for; permits are taken."""
        if self._is_under_way(target, state):
            return False
        if not target.settings.honours_fencing and not self.term.waited_out:
            target.note = "waits for the end of the previous holder's orders"
            return False
        if step.kind is OrderKind.SET_ROLE or not lacks_weights(desired, state):
            return True
        # One that has to make room first takes its place among those that load before it does.
        if not self.permits.begin(target.name) or (step.loads and not self.permits.take()):
            target.note = f"waits for a permit of the weight store: {step}"
            return False
        return True

    def _is_under_way(self, target: ManagedTarget, state: EngineState) -> bool:
        """Return whether an accepted order still has time to show its effect."""
        awaited = target.awaited
        if awaited is None:
            return False
        if not has_effect(awaited.step, state):
            if self.term.clock() - awaited.since < self.settings.effect_timeout_s:
                return True
            logger.warning("{} was not carried out by {}", awaited.step, target.name)
            self.permits.end(target.name)
        target.awaited = None
        return False

    async def _give(self, target: ManagedTarget, step: Step) -> None:
        """Send one order, if this entry still holds the duty."""
        if not target.settings.honours_fencing and not await self.term.renew():
            return
        order = EngineOrder(step.kind, step.value, self.term.fencing)
        if not self.term.may_act():
            return
        sent = await self.send(self.http, target.settings, order, self.settings.order_timeout_s)
        if sent.is_ok():
            logger.info("{} was ordered: {}", target.name, step)
            target.note = f"ordered: {step}"
            target.awaited = PendingOrder(step, self.term.clock())
            target.fence_raised = True
            return
        await self._note_failure(target, step, sent.err_value)

    async def _note_failure(self, target: ManagedTarget, step: Step, failure: Failure) -> None:
        target.note = f"{step}: {failure.message}"
        logger.warning("order to {} failed: {}", target.name, target.note)
        if step.loads and failure.verdict is Verdict.NOT_RUN:
            self.permits.give_back()
        if failure.code is ErrorCode.FENCED:
            # The target has seen a higher number: the store says whether the duty is lost.
            await self.term.renew()

    async def _report(
        self, target: ManagedTarget, desired: DesiredTarget, state: EngineState
    ) -> None:
        await self.reporter.report(
            TargetReport(
                target.name,
                self.term.fencing,
                0,
                serving(desired, state),
                state.models,
                state.adapters,
                state.role,
                next_step(desired, state) is None,
                target.note,
            )
        )

    async def _report_unread(self, target: ManagedTarget) -> None:
        """Report that a target could not be read; what it serves stays as it was known."""
        known = self.reporter.reports.get(target.name)
        if known is not None:
            await self.reporter.report(
                msgspec.structs.replace(known, agrees=False, note=target.note)
            )
