"""Brings the model engines of a zone to the desired state, one order at a time for each engine.

Every target is compared with its desired state periodically, even after the two agree.  This undoes
an order that an earlier holder of the duty sent late to an engine that ignores fencing numbers.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from loguru import logger

from waxwingglade.base import ErrorCode, Failure, Outcome, TargetId, Verdict
from waxwingglade.base.tasks import run_forever, start_task
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
    """An order accepted at `since`, in monotonic seconds, whose effect is not yet visible."""

    step: Step
    since: float


class ManagedTarget:
    """What the controller knows about one target, and its pending order."""

    def __init__(self, settings: TargetSettings) -> None:
        self.settings = settings
        self.name = TargetId(settings.target)
        self.pending: PendingOrder | None = None
        self.fence_raised = False
        self.seen_fencing = 0
        self.note = ""
        self.changed = asyncio.Event()


class OrderController:
    """Gives the orders of a zone during one term of the duty's lease.

    Parameters
    ----------
    term : Term
        The holder's lease, with the store, the settings and the clock.
    http : HttpClient
        Client for the targets.
    reporter : Reporter
        Distributes the states read from targets.
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

    async def run(self, should_continue: Callable[[], bool] = lambda: True) -> None:
        """Give orders until the term is lost or `should_continue` returns False."""
        tasks = [run_forever(self._follow_desired)]
        tasks += [start_task(self._manage_target(each)) for each in self.managed]
        if any(not each.settings.honours_fencing for each in self.managed):
            tasks.append(start_task(self.term.wait_out()))
        try:
            await self.term.hold(should_continue)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _follow_desired(self) -> None:
        """Poll the desired state, and send all reports to entries that are new."""
        while True:
            read = await read_desired(self.term.store, self.term.own.zone)
            if read.is_ok() and read.ok_value.version != self.version:
                self.version = read.ok_value.version
                self.desired = read.ok_value.targets
                for target in self.managed:
                    target.changed.set()
            await self.reporter.send_to_all()
            await self.term.sleep(self.settings.follow_s)

    async def _manage_target(self, target: ManagedTarget) -> None:
        while self.term.may_send_orders():
            pause_s = self.settings.read_back_s
            try:
                if self.version is not None:
                    pause_s = await self._reconcile(target)
            except Exception:
                logger.exception("giving orders to {} failed; retrying", target.name)
            await self._pause(target, pause_s)

    async def _pause(self, target: ManagedTarget, pause_s: float) -> None:
        """Wait until the pause is over or the desired state changes."""
        try:
            async with asyncio.timeout(pause_s):
                await target.changed.wait()
        except TimeoutError:
            return
        target.changed.clear()

    async def _reconcile(self, target: ManagedTarget) -> float:
        """Read a target's state and give its next order; return the pause until the next check."""
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
            target.pending = None
            self.permits.end(target.name)
        # Entries learn which models a target will no longer serve before it is ordered to unload
        # them.
        await self._report(target, desired, state)
        if step is None:
            return self.settings.check_s
        if self._may_send(target, step, desired, state):
            await self._send_order(target, step)
        return self.settings.read_back_s

    def _fence_step(self, target: ManagedTarget, state: EngineState) -> Step | None:
        """Return an order whose only effect is to raise the fencing number known to the target.

        Without it, a target in the desired state would still accept a late order of an earlier
        holder.
        """
        if state.last_fencing < target.seen_fencing:
            # The engine was restarted and has lost the number.
            target.fence_raised = False
        target.seen_fencing = state.last_fencing
        if not target.settings.honours_fencing or target.fence_raised:
            return None
        if state.last_fencing >= self.term.fencing:
            return None
        return Step(OrderKind.SET_ROLE, state.role)

    def _may_send(
        self, target: ManagedTarget, step: Step, desired: DesiredTarget, state: EngineState
    ) -> bool:
        """Return whether the order may be sent now; take the permits that it needs."""
        if self._is_pending(target, state):
            return False
        if not target.settings.honours_fencing and not self.term.waited_out:
            target.note = "waits for the end of the previous holder's orders"
            return False
        if step.kind is OrderKind.SET_ROLE or not lacks_weights(desired, state):
            return True
        # A target that has to unload something first counts as loading before it unloads.
        if not self.permits.begin(target.name) or (step.loads and not self.permits.take()):
            target.note = f"waits for a permit of the weight store: {step}"
            return False
        return True

    def _is_pending(self, target: ManagedTarget, state: EngineState) -> bool:
        """Return whether an accepted order has no effect yet and `effect_timeout_s` is not over."""
        pending = target.pending
        if pending is None:
            return False
        if not has_effect(pending.step, state):
            if self.term.clock() - pending.since < self.settings.effect_timeout_s:
                return True
            logger.warning("order without effect: {} on {}", pending.step, target.name)
            self.permits.end(target.name)
        target.pending = None
        return False

    async def _send_order(self, target: ManagedTarget, step: Step) -> None:
        """Send one order if this entry still holds the duty."""
        if not target.settings.honours_fencing and not await self.term.renew():
            return
        order = EngineOrder(step.kind, step.value, self.term.fencing)
        if not self.term.may_send_orders():
            return
        sent = await self.send(self.http, target.settings, order, self.settings.order_timeout_s)
        if sent.is_ok():
            logger.info("order sent to {}: {}", target.name, step)
            target.note = f"ordered: {step}"
            target.pending = PendingOrder(step, self.term.clock())
            target.fence_raised = True
            return
        await self._handle_failure(target, step, sent.err_value)

    async def _handle_failure(self, target: ManagedTarget, step: Step, failure: Failure) -> None:
        target.note = f"{step}: {failure.message}"
        logger.warning("order to {} failed: {}", target.name, target.note)
        if step.loads and failure.verdict is Verdict.NOT_RUN:
            self.permits.give_back()
        if failure.code is ErrorCode.FENCED:
            # The target has seen a higher number.  The store decides whether the duty is lost.
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
        """Report that a target could not be read; the models that it serves stay as last read."""
        known = self.reporter.reports.get(target.name)
        if known is not None:
            await self.reporter.report(
                msgspec.structs.replace(known, agrees=False, note=target.note)
            )
