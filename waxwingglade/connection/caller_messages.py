"""Requests of callers and the events that answer them, as entries forward them."""

from enum import Enum

import msgspec

from waxwingglade.base import (
    CallId,
    ClassName,
    ConfigVersion,
    Failure,
    ProgramId,
    ProgramName,
    TenantId,
)
from waxwingglade.program import Call, Delta, Done, Message, Reset
from waxwingglade.settings import Budget


class CreateProgram(msgspec.Struct, frozen=True, tag="create_program"):
    """Create a program, or return the one that `request` created before.

    `name` is the name of the agent program in the configuration, if it has one there.
    """

    tenant: TenantId
    program_class: ClassName
    request: CallId
    budget: Budget | None = None
    name: ProgramName | None = None


class SubmitCall(msgspec.Struct, frozen=True, tag="submit_call"):
    """Run a call, or join it if it exists already; events start at character `offset`.

    If the text that exists belongs to another attempt than `attempt`, the answer starts over with a
    `Reset`.  Unless `history_length` is None, the call runs only if the program's history has that
    number of messages.
    """

    tenant: TenantId
    program: ProgramId
    call: Call
    offset: int = 0
    attempt: str = ""
    history_length: int | None = None


class FollowCall(msgspec.Struct, frozen=True, tag="follow_call"):
    """Request the events of an existing call from character `offset` on, without starting it."""

    tenant: TenantId
    program: ProgramId
    call: CallId
    offset: int = 0
    attempt: str = ""


class ReadProgram(msgspec.Struct, frozen=True, tag="read_program"):
    """Request state and history of a program; tenant None is an operator, who may read any."""

    tenant: TenantId | None
    program: ProgramId


class EndProgram(msgspec.Struct, frozen=True, tag="end_program"):
    """End a program and its sub-agents; tenant None is an operator, who may end any."""

    tenant: TenantId | None
    program: ProgramId
    reason: str = "ended by caller"


class CallSummary(msgspec.Struct, frozen=True):
    """One call in the view of a program."""

    call: CallId
    kind: str
    outcome: Done | Failure | None


class ProgramView(msgspec.Struct, frozen=True, tag="program_view"):
    """A program as shown to callers; amounts include its sub-agents."""

    program: ProgramId
    tenant: TenantId
    program_class: ClassName
    state: str
    created_at: float
    config_version: ConfigVersion
    turns: int
    tokens_spent: int
    tokens_reserved: int
    money_spent_microcents: int
    money_reserved_microcents: int
    budget: Budget
    history: list[Message]
    calls: list[CallSummary]
    parent: ProgramId | None = None
    children: list[ProgramId] = []
    end_reason: str = ""


class ProgramFilter(Enum):
    """Which programs a listing contains."""

    ALL = "all"
    OPEN = "open"
    ENDED = "ended"


class ListPrograms(msgspec.Struct, frozen=True, tag="list_programs"):
    """Request programs in the order of their ids.

    Parameters
    ----------
    tenant : TenantId or None
        Tenant of the programs; None for all tenants.
    filter : ProgramFilter
        State of the programs.
    after : ProgramId
        Only programs with a greater id; empty for all.
    limit : int
        Maximum number of programs.
    """

    tenant: TenantId | None
    filter: ProgramFilter = ProgramFilter.ALL
    after: ProgramId | str = ""
    limit: int = 100


class ProgramSummary(msgspec.Struct, frozen=True):
    """One program of a listing."""

    program: ProgramId
    tenant: TenantId
    program_class: ClassName
    state: str
    created_at: float
    turns: int
    entry: str
    end_reason: str = ""


class ProgramListing(msgspec.Struct, frozen=True, tag="program_listing"):
    """Programs, and the names of the entries that did not answer.

    `next_after` continues the listing; it is empty if nothing follows.
    """

    programs: list[ProgramSummary]
    unanswered: list[str] = []
    next_after: str = ""


CallerRequest = CreateProgram | SubmitCall | FollowCall | ReadProgram | EndProgram | ListPrograms


CallerEvent = Delta | Reset | Done | Failure | ProgramView | ProgramListing
