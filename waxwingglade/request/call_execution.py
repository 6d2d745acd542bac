"""The steps that all kinds of calls share: acquire a target, start, reassign, record the outcome.

The start of a call, with a reservation for its worst case, is durable before anything is sent.  Its
outcome is durable before the caller is answered.  Each attempt reserves its own worst case.  An
attempt that may have run counts as spent in full, whatever the next attempt uses.
"""

from typing import TYPE_CHECKING

import msgspec

from waxwingglade.base import (
    ConfigVersion,
    Err,
    ErrorCode,
    Failure,
    Ok,
    Outcome,
    TargetId,
    Verdict,
    not_run,
)
from waxwingglade.decisions import Grant, Pool, Work
from waxwingglade.decisions.failed_targets import MAX_FAILED_TARGETS
from waxwingglade.program import Amount, Call, CallEnded, CallMoved, CallStarted, Done, ProgramState
from waxwingglade.program.budget import check_amount, check_time, check_turns
from waxwingglade.settings import ProgramPolicy
from waxwingglade.version import PolicyPath

if TYPE_CHECKING:
    from waxwingglade.process.entry import Entry
    from waxwingglade.process.owned_log import OwnedLog

ZERO_AMOUNT = Amount()
RETRY_AFTER_S = 1.0
SAFE_PAUSE_FRACTION = 0.5
"""Fraction of `suspect_after_s`.  No other entry can take over a log during a shorter pause."""


class CallExecution(msgspec.Struct):
    """A call that is being executed.

    Parameters
    ----------
    entry : Entry
        The entry process that owns the program.
    owned : OwnedLog
        Log that holds the program's records.
    state : ProgramState
        State of the program.
    call : Call
        The call itself.
    policy : ProgramPolicy
        Policy that was in force when the call arrived; it applies until the call ends.  The budget
        is taken from the policy at the program's creation instead.
    config_version : ConfigVersion
        Configuration version that `policy` comes from.
    attempt : str
        Identifies the generated text; text of another attempt does not continue it.
    idempotent : bool
        Whether the call may be sent again after an attempt that may have run.
    grant : Grant or None
        Permission to send to a target; None between attempts.
    is_sent : bool
        Whether the current attempt may have reached its target.
    reserved : Amount
        Reservation for all attempts together.
    possibly_spent : Amount
        Part of the reservation that failed attempts may have used.
    reported_failure : Failure or None
        Failure to report if no attempt succeeds: the first one whose verdict is not NOT_RUN, else
        the last one.
    failed_targets : set of TargetId
        Targets that may have run the call and did not complete it.
    """

    entry: "Entry"
    owned: "OwnedLog"
    state: ProgramState
    call: Call
    policy: ProgramPolicy
    config_version: ConfigVersion
    attempt: str
    idempotent: bool = True
    grant: Grant | None = None
    is_sent: bool = False
    reserved: Amount = ZERO_AMOUNT
    possibly_spent: Amount = ZERO_AMOUNT
    reported_failure: Failure | None = None
    failed_targets: set[TargetId] = set()

    @property
    def may_try_again(self) -> bool:
        """Whether another target may fail under the call."""
        return len(self.failed_targets) < MAX_FAILED_TARGETS


def new_execution(
    entry: "Entry", owned: "OwnedLog", state: ProgramState, call: Call, attempt: str
) -> CallExecution:
    """Return the execution of a call that has just arrived, under the configuration in force."""
    created = state.created
    path = PolicyPath(entry.own.zone, created.tenant, created.program_class, created.name)
    in_force = entry.policy_for(path)
    return CallExecution(entry, owned, state, call, in_force.policy, in_force.version, attempt)


def work_for(execution: CallExecution, pool: Pool) -> Work:
    """Return the call as input to queueing and routing, without the fields of a model's prompt."""
    entry, state = execution.entry, execution.state
    running = entry.running_program(state)
    created = state.created
    return Work(
        program=state.program,
        tenant=created.tenant,
        program_class=created.program_class,
        policy=execution.policy,
        pool=pool,
        created_at=running.created_at_estimate,
        deadline_at=_deadline_at(running.created_at_estimate, entry.clock(), execution.policy),
        service_received_s=running.service_received_s,
        idempotent=execution.idempotent,
    )


def _deadline_at(created_at: float, now: float, policy: ProgramPolicy) -> float:
    """Return the monotonic time, in seconds, until which a call may wait for a target.

    This is the program's deadline, with `created_at` in monotonic seconds.  A program that misses
    its deadline still has to finish, so each of its calls may wait at least `queue_patience_s`.
    """
    return max(created_at + policy.deadline_s, now + policy.queue_patience_s)


async def start(execution: CallExecution, work: Work, amount: Amount) -> Outcome[Grant]:
    """Wait for a target, reserve `amount` and make the start of the call durable.

    Returns
    -------
    Outcome[Grant]
        Permission to send to the target.  After a failure, which is NOT_RUN, nothing is reserved.
    """
    requested_at = execution.entry.clock()
    granted = await execution.entry.dispatcher.acquire(work)
    execution.entry.metrics.observe_queue_wait(
        execution.state.created, execution.entry.clock() - requested_at
    )
    if granted.is_err():
        return granted
    execution.grant = granted.ok_value
    recorded = await record_start(execution, amount)
    if recorded.is_err():
        execution.grant.failed(recorded.err_value)
        return Err(recorded.err_value)
    return granted


async def record_start(execution: CallExecution, amount: Amount) -> Outcome[None]:
    """Check the budget, reserve `amount` and make the start of the call durable.

    After a failure nothing may be sent to a target.
    """
    state = execution.state
    if state.ended is not None:
        return Err(program_ended(state))
    allowed = _check_budget(execution, amount)
    if allowed.is_err():
        return allowed
    # There must be no await between the check and the reservation: another call could then pass
    # the check for the same part of the budget.
    requested_at = execution.entry.clock()
    execution.reserved = amount
    started = CallStarted(
        execution.call,
        amount,
        execution.grant.target if execution.grant else None,
        execution.entry.wall_clock(),
        execution.attempt,
        execution.idempotent,
        execution.config_version,
    )
    appended = await execution.owned.append(state.program, started)
    if appended.is_err():
        return await _void_start(execution, appended.err_value)
    ready = await _check_ownership(execution, requested_at)
    if ready.is_ok():
        ready = _check_wall_time(execution)
    if ready.is_err():
        return await _void_start(execution, ready.err_value)
    return ready


def _check_wall_time(execution: CallExecution) -> Outcome[None]:
    """Check that the program is within its limit of wall time.

    The check is repeated once the start is durable, since making it durable may have taken long.
    """
    root = execution.owned.programs[execution.state.root]
    return check_time(root, root.created.policy.budget, execution.entry.wall_clock())


async def _check_ownership(execution: CallExecution, since: float) -> Outcome[None]:
    """Check that no other entry has taken the program over since the monotonic time `since`.

    If this process was paused, it may receive the acknowledgement of its append long after another
    entry has taken over the program and continued it.  After a pause that is long enough for a
    takeover, the holders of copies are asked again before anything is sent.
    """
    if execution.owned.fenced:
        return not_run(ErrorCode.FENCED, "another entry owns the program now", RETRY_AFTER_S)
    paused_s = execution.entry.clock() - since
    if paused_s < execution.entry.settings.durability.suspect_after_s * SAFE_PAUSE_FRACTION:
        return Ok(None)
    return await execution.owned.confirm_ownership()


def _check_budget(execution: CallExecution, amount: Amount) -> Outcome[None]:
    root = execution.owned.programs[execution.state.root]
    budget = root.created.policy.budget
    turns = check_turns(root.account, budget)
    if turns.is_err():
        root.out_of_turns = True
        return turns
    in_time = _check_wall_time(execution)
    if in_time.is_err():
        return in_time
    return check_amount(root.account, budget, amount)


async def _void_start(execution: CallExecution, failure: Failure) -> Outcome[None]:
    """Record that a call did not run, since its start failed or came too late; nothing was sent."""
    refusal = msgspec.structs.replace(failure, verdict=Verdict.NOT_RUN)
    if not execution.owned.fenced:
        await append_end(execution, refusal, ZERO_AMOUNT)
    return Err(refusal)


def program_ended(state: ProgramState, verdict: Verdict = Verdict.NOT_RUN) -> Failure:
    """Return the failure of a call whose program has ended."""
    assert state.ended is not None
    text = f"the program ended: {state.ended.reason}"
    return Failure(verdict, ErrorCode.PROGRAM_ENDED, text)


def record_failed_attempt(execution: CallExecution, failure: Failure, amount: Amount) -> None:
    """Record the failure of an attempt for which `amount` was reserved."""
    if execution.grant is not None:
        if failure.verdict is not Verdict.NOT_RUN:
            execution.failed_targets.add(execution.grant.target)
        execution.grant.failed(failure)
        execution.grant = None
    execution.is_sent = False
    if failure.verdict is not Verdict.NOT_RUN:
        execution.possibly_spent = execution.possibly_spent.plus(amount)
    if execution.reported_failure is None or execution.reported_failure.verdict is Verdict.NOT_RUN:
        # A failure of an attempt that may have run is not replaced by later failures.
        execution.reported_failure = failure


async def reassign(execution: CallExecution, work: Work, amount: Amount) -> Outcome[Grant]:
    """Acquire another target for a started call, and reserve `amount` for the next attempt."""
    granted = await execution.entry.dispatcher.acquire(work)
    if granted.is_err():
        return granted
    grant = granted.ok_value
    extra = execution.possibly_spent.plus(amount).minus(execution.reserved).clamped_at_zero()
    root = execution.owned.programs[execution.state.root]
    allowed = check_amount(root.account, root.created.policy.budget, extra)
    if allowed.is_err():
        grant.failed(allowed.err_value)
        return Err(allowed.err_value)
    requested_at = execution.entry.clock()
    execution.reserved = execution.reserved.plus(extra)
    moved = CallMoved(execution.call.call, grant.target, extra)
    appended: Outcome = await execution.owned.append(execution.state.program, moved)
    if appended.is_ok():
        appended = await _check_ownership(execution, requested_at)
    if appended.is_err():
        grant.failed(appended.err_value)
        return Err(appended.err_value)
    execution.grant = grant
    return granted


async def finish(execution: CallExecution, outcome: Done | Failure, used: Amount) -> Done | Failure:
    """Make the outcome durable and return the outcome that the caller gets.

    If the outcome cannot be made durable, the caller gets that failure.

    Parameters
    ----------
    execution : CallExecution
        The call.
    outcome : Done or Failure
        Outcome of the call.
    used : Amount
        Amount that the last attempt used; the amounts of failed attempts are added.
    """
    appended = await append_end(execution, outcome, execution.possibly_spent.plus(used))
    if appended.is_ok():
        return outcome
    verdict = outcome.verdict if isinstance(outcome, Failure) else Verdict.MAY_HAVE_RUN
    return msgspec.structs.replace(appended.err_value, verdict=verdict)


async def finish_failed(execution: CallExecution) -> Done | Failure:
    """Record the outcome of a call whose attempts have all failed."""
    assert execution.reported_failure is not None
    return await finish(execution, execution.reported_failure, ZERO_AMOUNT)


async def append_end(execution: CallExecution, outcome: Done | Failure, spent: Amount) -> Outcome:
    """Record the end of a call and wait until it is durable."""
    ended = CallEnded(execution.call.call, outcome, spent, execution.entry.wall_clock())
    return await execution.owned.append(execution.state.program, ended)
