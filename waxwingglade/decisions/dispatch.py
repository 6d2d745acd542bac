"""Dispatcher of one entry: assigns calls to targets, at once or from a queue."""

import asyncio
from collections.abc import Callable, Iterable

from waxwingglade.base import (
    Clock,
    Err,
    ErrorCode,
    Failure,
    Ok,
    Outcome,
    ProgramId,
    TargetId,
    ToolName,
    Verdict,
    not_run,
)
from waxwingglade.base.tasks import run_forever
from waxwingglade.decisions import health
from waxwingglade.decisions.output_length import OutputLengthTracker
from waxwingglade.decisions.pause import PauseDecision, PauseTracker
from waxwingglade.decisions.queue import (
    ProgramQueue,
    Rank,
    Ticket,
    due_first,
    too_late,
)
from waxwingglade.decisions.release import ReleaseTracker
from waxwingglade.decisions.route import (
    Choice,
    assess,
    choose,
    expected_service_s,
    find_cached_prefix,
    is_eligible,
)
from waxwingglade.decisions.targets import TargetTable, TargetView
from waxwingglade.decisions.work import BlockHash, CacheEvents, Holding, LoadReport, Pool, Work
from waxwingglade.program.messages import Usage
from waxwingglade.settings import Urgency

ENGINE_PRIORITY = {Urgency.URGENT: 0, Urgency.NORMAL: 10, Urgency.ROUTINE: 20}
CANCELLED = Failure(Verdict.NOT_RUN, ErrorCode.CANCELLED, "cancelled before it was sent")
RECHECK_S = 1.0

Chooser = Callable[[TargetTable, Work], Choice | None]


class Grant:
    """Permission to send one call to `target`; `finished` or `failed` ends it exactly once.

    Attributes
    ----------
    target : TargetId
        Where to send the call.
    priority : int
        Priority in the engine's own queue; lower values are served first.
    source : TargetId or None
        Target from which `target` first imports the prompt's cache.
    cached_tokens : int
        Estimated prompt tokens in the cache of `target`.
    """

    def __init__(self, dispatcher: "Dispatcher", work: Work, choice: Choice, now: float) -> None:
        self.dispatcher = dispatcher
        self.work = work
        self.view = choice.view
        self.target: TargetId = choice.view.target
        self.priority = ENGINE_PRIORITY[work.policy.urgency]
        self.source = choice.source.target if choice.source is not None else None
        self.cached_tokens = choice.cached_tokens
        self.granted_at = now
        self.first_token_at: float | None = None
        self.ended = False

    def first_token(self) -> None:
        """Report the first token of the answer."""
        if self.first_token_at is None:
            self.first_token_at = self.dispatcher.clock()
            self.dispatcher.record_cached(self)

    def finished(self, usage: Usage) -> None:
        """Report that the call has completed."""
        if self.ended:
            return
        self.ended = True
        self.dispatcher.record_finished(self, usage)

    def failed(self, failure: Failure) -> None:
        """Report that the call has failed or was cancelled."""
        if self.ended:
            return
        self.ended = True
        self.dispatcher.record_failed(self, failure)


class Dispatcher:
    """Queue and router of one entry.

    Parameters
    ----------
    table : TargetTable
        Targets, as estimated by this entry.
    clock : Clock
        Monotonic seconds; the same time base as `Work.created_at`.
    chooser : callable
        Chooses the target of a call.
    rank : callable
        Orders a tenant's calls of equal urgency.
    """

    def __init__(
        self,
        table: TargetTable,
        clock: Clock,
        chooser: Chooser = choose,
        rank: Rank = due_first,
    ) -> None:
        self.table = table
        self.settings = table.settings
        self.clock = clock
        self.chooser = chooser
        self.rank = rank
        self.queues: dict[Pool, ProgramQueue] = {}
        self.outputs = OutputLengthTracker()
        self.releases = ReleaseTracker(self.settings, clock)
        self.pauses = PauseTracker(self.settings, clock)
        self.watcher: asyncio.Task[None] | None = None

    async def acquire(self, work: Work) -> Outcome[Grant]:
        """Wait for a target for `work`.

        Returns
        -------
        Outcome[Grant]
            The grant, or a `NOT_RUN` failure with a retry delay.
        """
        self._readmit()
        self.outputs.fill_in_expected_output(work)
        if not self.table.any_usable(work.pool):
            return not_run(ErrorCode.UNAVAILABLE, f"no target serves {work.pool}", RECHECK_S)
        if self.clock() >= work.deadline_at:
            return Err(too_late(0.0))
        choice = self.chooser(self.table, work)
        if choice is not None and choice.is_open:
            return Ok(self._grant(work, choice))
        return await self._wait(work, choice)

    def report_load(self, target: TargetId, report: LoadReport) -> None:
        """Apply a target's load report, and grant waiting calls if it has capacity."""
        self._readmit()
        view = self.table.report_load(target, report)
        if view is not None:
            self.grant_waiting(view)

    def apply_cache_events(self, target: TargetId, events: CacheEvents) -> bool:
        """Apply cache events; return whether the target's complete state should be requested."""
        return self.table.apply_cache_events(target, events)

    def resync(self, target: TargetId, sequence: int, blocks: Iterable[BlockHash]) -> None:
        """Apply the complete cache state of a target."""
        self.table.resync(target, sequence, blocks)

    def set_leaving(self, target: TargetId, leaving: bool = True) -> None:
        """Exclude a target from new work because it is leaving, or end this state."""
        self.table.set_leaving(target, leaving)
        view = self.table.targets.get(target)
        if view is not None and not leaving:
            self.grant_waiting(view)

    def set_models(self, target: TargetId, models: Iterable[str]) -> None:
        """Restrict a target to calls of the given models and its own tools."""
        view = self.table.set_models(target, models)
        if view is not None:
            self.grant_waiting(view)

    def program_ended(self, program: ProgramId) -> list[Holding]:
        """Return the releases to send; call `releases.acknowledge` for each acknowledged one."""
        self.pauses.forget(program)
        return self.releases.release(program)

    def program_paused(self, program: ProgramId, tool: ToolName) -> list[Holding]:
        """Record that `program` waits for `tool`; return the releases to send."""
        if self.pauses.begin(program, tool) is PauseDecision.KEEP:
            return []
        return self.releases.release(program)

    def program_resumed(self, program: ProgramId) -> None:
        """Record that the tool has answered."""
        self.pauses.end(program)

    def record_cached(self, grant: Grant) -> None:
        """Record that the target has the complete prompt in its cache."""
        if self.table.targets.get(grant.target) is grant.view:
            self.table.cache.add(grant.view.number, grant.work.blocks)

    def record_finished(self, grant: Grant, usage: Usage) -> None:
        """Update speeds with a completed call, and release its slot."""
        view, work, now = grant.view, grant.work, self.clock()
        view.observe_service(now - grant.granted_at)
        if grant.first_token_at is not None and work.prompt_tokens:
            if grant.source is None:
                read = usage.prompt_tokens - usage.cached_tokens
                view.observe_prefill(read, grant.first_token_at - grant.granted_at)
            view.observe_decode(usage.output_tokens, now - grant.first_token_at)
            self.outputs.observe(work, usage.output_tokens)
        health.record_success(view)
        health.check_speed(self.table, view)
        self._release_slot(view)

    def record_failed(self, grant: Grant, failure: Failure) -> None:
        """Record a failed call, and release its slot."""
        health.record_failure(self.table, grant.view, failure)
        self._release_slot(grant.view)

    def grant_waiting(self, view: TargetView) -> None:
        """Grant waiting calls while `view` has capacity and calls accept it."""
        while self.table.has_capacity(view, Urgency.URGENT):
            if not self._grant_next(view):
                return

    def _grant_next(self, view: TargetView) -> bool:
        """Grant the best waiting call that is eligible for `view` and accepts it."""
        for ticket in self._candidates(view):
            urgency = ticket.work.policy.urgency
            if ticket.queue.is_claimant(ticket):
                # Under lasting urgent load, targets always exceed the limits of lower urgencies.
                urgency = Urgency.URGENT
            if not self.table.has_capacity(view, urgency) or not is_eligible(
                self.table, view, ticket.work
            ):
                continue
            choice = self._accepted(ticket, view)
            if choice is not None:
                self._grant_ticket(ticket, choice)
                return True
        return False

    def _candidates(self, view: TargetView) -> Iterable[Ticket]:
        """Return the waiting calls to consider for a free slot of `view`, best first."""
        queues = [self.queues[pool] for pool in view.pools if pool in self.queues]
        queues = [queue for queue in queues if len(queue)]
        if len(queues) == 1:
            return queues[0].candidates()
        tickets = [ticket for queue in queues for ticket in queue.candidates()]
        return sorted(
            tickets,
            key=lambda ticket: (not ticket.queue.is_claimant(ticket), ticket.lane, ticket.key),
        )

    def _accepted(self, ticket: Ticket, view: TargetView) -> Choice | None:
        """Return the choice of `view`, or None if the call should wait for its preferred target."""
        choice = assess(self.table, view, ticket.work, find_cached_prefix(self.table, ticket.work))
        preferred = ticket.preferred
        if preferred is None or preferred is view or not self.table.usable(preferred):
            return choice
        if self.clock() >= ticket.prefer_until or choice.cost_s <= ticket.preferred_cost_s:
            return choice
        return None

    async def _wait(self, work: Work, choice: Choice | None) -> Outcome[Grant]:
        offered = self._queue_of(work.pool).offer(work, expected_service_s(self.table, work))
        if isinstance(offered, Err):
            return offered
        ticket = offered.ok_value
        ticket.answer = asyncio.get_running_loop().create_future()
        self._prefer(ticket, choice)
        if self.watcher is None:
            self.watcher = run_forever(self._watch)
        try:
            return await self._await_answer(ticket, ticket.answer)
        except asyncio.CancelledError:
            self._withdraw(ticket)
            raise
        finally:
            if ticket.preferred is not None:
                ticket.preferred.waiting_preferred -= 1

    async def _await_answer(
        self, ticket: Ticket, answer: "asyncio.Future[Outcome[Grant]]"
    ) -> Outcome[Grant]:
        """Wait for the outcome; choose again after the wait limit, refuse at the deadline."""
        work = ticket.work
        if ticket.preferred is not None:
            await self._wait_until(answer, ticket.prefer_until)
            if not answer.done():
                self._choose_again(ticket)
        await self._wait_until(answer, work.deadline_at - expected_service_s(self.table, work))
        if not answer.done():
            ticket.queue.refuse(ticket, too_late(ticket.queue.expected_wait_s(work)))
        return answer.result()

    async def _wait_until(self, answer: "asyncio.Future[Outcome[Grant]]", time: float) -> None:
        if not answer.done():
            await asyncio.wait([answer], timeout=max(0.0, time - self.clock()))

    def _choose_again(self, ticket: Ticket) -> None:
        """Grant another target with capacity after the wait limit for the preferred target."""
        choice = self.chooser(self.table, ticket.work)
        if choice is not None and choice.is_open:
            self._grant_ticket(ticket, choice)

    async def _watch(self) -> None:
        """While calls wait, use capacity that appears without an event, for example by expiry."""
        while any(len(queue) for queue in self.queues.values()):
            await asyncio.sleep(RECHECK_S)
            self._readmit()
        self.watcher = None

    def _queue_of(self, pool: Pool) -> ProgramQueue:
        queue = self.queues.get(pool)
        if queue is None:
            queue = ProgramQueue(self.settings, self.clock, self.rank)
            self.queues[pool] = queue
        return queue

    def _prefer(self, ticket: Ticket, choice: Choice | None) -> None:
        if choice is None or not choice.cached_tokens:
            return
        ticket.preferred = choice.view
        ticket.preferred.waiting_preferred += 1
        ticket.preferred_cost_s = choice.cost_s
        ticket.prefer_until = self.clock() + self.settings.patience_s

    def _grant(self, work: Work, choice: Choice) -> Grant:
        view, now = choice.view, self.clock()
        view.record_in_flight(now, 1)
        self.table.refresh(view)
        if work.blocks:
            self.releases.record_sent(work.program, view.target)
        return Grant(self, work, choice, now)

    def _grant_ticket(self, ticket: Ticket, choice: Choice) -> None:
        ticket.queue.take(ticket, choice.cost_s)
        grant = self._grant(ticket.work, choice)
        if ticket.answer is not None:
            ticket.answer.set_result(Ok(grant))

    def _withdraw(self, ticket: Ticket) -> None:
        """Remove an abandoned call from the queue, or release a grant that came too late."""
        if ticket.queue.cancel(ticket) or ticket.answer is None or not ticket.answer.done():
            return
        outcome = ticket.answer.result()
        if isinstance(outcome, Ok):
            outcome.ok_value.failed(CANCELLED)

    def _release_slot(self, view: TargetView) -> None:
        view.record_in_flight(self.clock(), -1)
        self.table.refresh(view)
        self._readmit()
        self.grant_waiting(view)

    def _readmit(self) -> None:
        """Use the capacity of readmitted targets and of targets with expired reports."""
        for view in (*health.readmit(self.table), *self.table.expire_reports()):
            self.grant_waiting(view)
