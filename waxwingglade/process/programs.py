"""Creates, reads and ends programs that this process owns."""

import asyncio

import msgspec
from loguru import logger

from waxwingglade.base import ErrorCode, Failure, Verdict, make_program_id
from waxwingglade.connection.peer_messages import (
    CallSummary,
    CreateProgram,
    EntryState,
    ProgramView,
)
from waxwingglade.process.entry import Entry
from waxwingglade.process.logs import log_context
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.process.ownership import log_for_new_program
from waxwingglade.program import Call, Created, ProgramEnded, ProgramState
from waxwingglade.request.events import CallEvents
from waxwingglade.settings import Budget
from waxwingglade.version import PolicyPath

RETRY_AFTER_S = 1.0


def unknown_program(program: str) -> Failure:
    """Return the failure for a program that does not exist or belongs to another tenant."""
    return Failure(Verdict.NOT_RUN, ErrorCode.NOT_FOUND, f"no program {program}")


async def create_program(entry: Entry, request: CreateProgram) -> ProgramView | Failure:
    """Create a program, or return the one that the same request already created here."""
    known = entry.programs_by_request.get((request.tenant, request.request))
    owned = entry.log_for(known) if known else None
    if known and owned and known in owned.programs:
        return await read_program(owned, owned.programs[known])
    if entry.members.state is EntryState.DRAINING:
        text = "this entry is leaving; ask another"
        return Failure(Verdict.NOT_RUN, ErrorCode.DRAINING, text, RETRY_AFTER_S)
    created = _created_record(entry, request)
    owned = log_for_new_program(entry, created.policy.cut_policy)
    if owned is None:
        text = "no log of this entry has enough copies"
        return Failure(Verdict.NOT_RUN, ErrorCode.UNAVAILABLE, text, RETRY_AFTER_S)
    program = make_program_id(owned.log)
    entry.programs_by_request[(request.tenant, request.request)] = program
    appended = await owned.append(program, created)
    if appended.is_err():
        return appended.err_value
    with log_context(owned, owned.programs[program]):
        logger.info("program of class {} created", request.program_class)
    return await read_program(owned, owned.programs[program])


def _created_record(entry: Entry, request: CreateProgram) -> Created:
    """Return the first record of a program, under the configuration in force."""
    path = PolicyPath(entry.own.zone, request.tenant, request.program_class, request.name)
    in_force = entry.policy_for(path)
    policy = in_force.policy
    if request.budget is not None:
        policy = msgspec.structs.replace(
            policy, budget=smaller_budget(policy.budget, request.budget)
        )
    return Created(
        tenant=request.tenant,
        program_class=request.program_class,
        policy=policy,
        config_version=in_force.version,
        created_at=entry.wall_clock(),
        request=request.request,
        name=request.name,
    )


def smaller_budget(configured: Budget, requested: Budget) -> Budget:
    """Return the minimum of two budgets for each field: a caller can only lower its limits."""
    names = Budget.__struct_fields__
    return Budget(*(min(getattr(configured, name), getattr(requested, name)) for name in names))


async def read_program(owned: OwnedLog, state: ProgramState) -> ProgramView | Failure:
    """Return a program's current, durable state: nothing outdated and nothing that may be lost."""
    confirmed = await owned.confirm_ownership()
    if confirmed.is_err():
        return confirmed.err_value
    durable = await owned.wait_until_durable()
    if durable.is_err():
        failure = durable.err_value
        return Failure(Verdict.NOT_RUN, failure.code, failure.message, failure.retry_after_s)
    return program_view(owned, state)


def program_view(owned: OwnedLog, state: ProgramState) -> ProgramView:
    """Return the public representation of a program."""
    account = owned.programs[state.root].account
    calls = [
        CallSummary(call_id, _kind(call.call), call.outcome)
        for call_id, call in state.calls.items()
    ]
    return ProgramView(
        program=state.program,
        tenant=state.created.tenant,
        program_class=state.created.program_class,
        state="ended" if state.ended else "open",
        created_at=state.created.created_at,
        config_version=state.created.config_version,
        turns=account.turns,
        tokens_spent=account.spent.tokens,
        tokens_reserved=account.reserved.tokens,
        money_spent_microcents=account.spent.money_microcents,
        money_reserved_microcents=account.reserved.money_microcents,
        budget=owned.programs[state.root].created.policy.budget,
        history=list(state.history),
        calls=calls,
        parent=state.created.parent,
        children=list(state.children),
        end_reason=state.ended.reason if state.ended else "",
    )


def _kind(call: Call) -> str:
    return str(type(call).__struct_config__.tag)


async def end_program(
    entry: Entry, owned: OwnedLog, state: ProgramState, reason: str
) -> ProgramView | Failure:
    """End a program and its sub-agents, and cancel their running calls."""
    for child in list(state.children):
        ended = await end_program(entry, owned, owned.programs[child], reason)
        if isinstance(ended, Failure):
            return ended
    if state.ended is None:
        appended = await owned.append(state.program, ProgramEnded(reason, entry.wall_clock()))
        if appended.is_err():
            return appended.err_value
        entry.metrics.observe_program(state.created, entry.wall_clock())
        with log_context(owned, state):
            logger.info("program ended")
        await _cancel_calls(entry, state)
        entry.dispatcher.program_ended(state.program)
    return await read_program(owned, state)


async def _cancel_calls(entry: Entry, state: ProgramState) -> None:
    """Cancel the running calls of a program that has ended; those with an outcome may finish."""
    running = entry.running_program(state)
    running.ended = True
    tasks = list(running.tasks)
    for task, events in running.tasks.items():
        if not _has_outcome(state, events):
            task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _has_outcome(state: ProgramState, events: CallEvents) -> bool:
    """Return whether the outcome of a running call is in the log, though perhaps not yet durable.

    The log may also have the outcome of an earlier attempt, which the caller repeats.
    """
    known = state.calls.get(events.call.call)
    return known is not None and known.outcome is not None and known.attempt == events.attempt
