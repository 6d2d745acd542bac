"""Routes for callers: programs and their calls."""

import functools

import msgspec

from waxwingglade.base import (
    CallId,
    ClassName,
    ErrorCode,
    Failure,
    ProgramId,
    ProgramName,
    TenantId,
    Verdict,
    new_nonce,
)
from waxwingglade.base.ids import CALL_ID_PATTERN, NAME_PATTERN
from waxwingglade.connection.caller_stream import Serve, answer, run_to_completion
from waxwingglade.connection.http_api import ApiHandler, Route, query
from waxwingglade.connection.operator_messages import NewTenantProgram
from waxwingglade.connection.peer_messages import (
    CreateProgram,
    EndProgram,
    FollowCall,
    ListPrograms,
    ProgramFilter,
    ReadProgram,
    SubmitCall,
)
from waxwingglade.program import Call, ModelCall
from waxwingglade.settings import Budget

MAX_NUMBER = 10**9
"""Maximum of tokens, orders and offsets in requests of callers."""

PAGE_SIZE = 100
MAX_PAGE_SIZE = 1000


class NewProgram(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/programs``.

    Parameters
    ----------
    program_class : ClassName
        Class in the configuration.
    request : CallId or None
        Id of the creation, so that a retry returns the same program.
    budget : Budget or None
        Lower limits than those of the configuration.
    name : ProgramName or None
        Name of the agent program in the configuration.
    """

    program_class: ClassName
    request: CallId | None = None
    budget: Budget | None = None
    name: ProgramName | None = None


def program_routes(serve: Serve) -> list[Route]:
    """Return the routes of programs, whose requests `serve` processes."""
    program = r"/v1/programs/([^/]+)"
    return [
        Route(
            r"/v1/programs",
            {"POST": functools.partial(create, serve), "GET": functools.partial(list_own, serve)},
        ),
        Route(
            program,
            {"GET": functools.partial(read, serve), "DELETE": functools.partial(end, serve)},
        ),
        Route(program + r"/calls", {"POST": functools.partial(submit, serve)}),
        Route(program + r"/calls/([^/]+)/events", {"GET": functools.partial(follow, serve)}),
    ]


async def create(serve: Serve, handler: ApiHandler) -> None:
    """Create a program."""
    body = handler.read_or_fail(NewProgram)
    if body is not None:
        await answer_create(serve, handler, tenant_of(handler), body)


async def answer_create(
    serve: Serve, handler: ApiHandler, tenant: TenantId, body: NewProgram | NewTenantProgram
) -> None:
    """Create a program for a tenant whose name was validated."""
    request = body.request or CallId(new_nonce())
    failure = check_class(body.program_class) or check_call_id(request) or check_name(body.name)
    if failure is not None:
        handler.fail(failure)
        return
    message = CreateProgram(tenant, body.program_class, request, body.budget, body.name)
    await answer(handler, run_to_completion(serve(message)))


async def list_own(serve: Serve, handler: ApiHandler) -> None:
    """List the programs of the tenant on all entries."""
    await answer_list(serve, handler, tenant_of(handler))


async def answer_list(serve: Serve, handler: ApiHandler, tenant: TenantId | None) -> None:
    """List the programs of a tenant, or of all tenants."""
    limit = query(handler.request, "limit", str(PAGE_SIZE))
    state = query(handler.request, "state", ProgramFilter.ALL.value)
    known_states = [each.value for each in ProgramFilter]
    if not is_number(limit) or not 1 <= int(limit) <= MAX_PAGE_SIZE:
        handler.fail(bad_request(f"limit is not a number from 1 to {MAX_PAGE_SIZE}"))
        return
    if state not in known_states:
        handler.fail(bad_request(f"state is none of {', '.join(known_states)}"))
        return
    after = ProgramId(query(handler.request, "after"))
    await answer(handler, serve(ListPrograms(tenant, ProgramFilter(state), after, int(limit))))


async def read(serve: Serve, handler: ApiHandler, program: str) -> None:
    """Return a program's state and history."""
    await answer(handler, serve(ReadProgram(tenant_of(handler), ProgramId(program))))


async def end(serve: Serve, handler: ApiHandler, program: str) -> None:
    """End a program."""
    message = EndProgram(tenant_of(handler), ProgramId(program))
    await answer(handler, run_to_completion(serve(message)))


async def submit(serve: Serve, handler: ApiHandler, program: str) -> None:
    """Run a call, or return the recorded answer of a repeated call."""
    call = handler.read_or_fail(Call)
    if call is None:
        return
    failure = check_call(call)
    if failure is not None:
        handler.fail(failure)
        return
    message = SubmitCall(tenant_of(handler), ProgramId(program), call)
    await answer(handler, serve(message))


async def follow(serve: Serve, handler: ApiHandler, program: str, call: str) -> None:
    """Return the events of a call from a character offset on."""
    offset = query(handler.request, "offset", "0")
    if not is_number(offset):
        handler.fail(bad_request("offset is not a number"))
        return
    attempt = query(handler.request, "attempt")
    message = FollowCall(tenant_of(handler), ProgramId(program), CallId(call), int(offset), attempt)
    await answer(handler, serve(message))


def tenant_of(handler: ApiHandler) -> TenantId:
    """Return the tenant of the key that authenticated the request."""
    return TenantId(handler.identity.tenant)


# --- checks -------------------------------------------------------------------------------------


def check_call(call: Call) -> Failure | None:
    """Return the failure of an invalid call, or None; its types were checked by decoding."""
    failure = check_call_id(call.call)
    if failure is not None:
        return failure
    if call.order is not None and not 1 <= call.order <= MAX_NUMBER:
        return bad_request(f"order is not from 1 to {MAX_NUMBER}")
    if isinstance(call, ModelCall):
        return check_model_call(call)
    try:
        # JSON allows integers of any length, but the codec of the records only 64 bits.
        msgspec.msgpack.encode(call)
    except OverflowError:
        return bad_request("an integer in the arguments has more than 64 bits")
    return None


def check_model_call(call: ModelCall) -> Failure | None:
    """Return the failure of an invalid model call, or None."""
    if not call.messages:
        return bad_request("messages is empty")
    if call.max_tokens is not None and not 1 <= call.max_tokens <= MAX_NUMBER:
        return bad_request(f"max_tokens is not from 1 to {MAX_NUMBER}")
    return None


def check_call_id(call: str) -> Failure | None:
    """Return the failure of an invalid id of a call or request, or None."""
    if CALL_ID_PATTERN.fullmatch(call):
        return None
    return bad_request("a call id has 1 to 80 letters, digits, hyphens and underscores")


def check_class(program_class: str) -> Failure | None:
    """Return the failure of an invalid name of a program class, or None."""
    if NAME_PATTERN.fullmatch(program_class):
        return None
    return bad_request("a program class has 1 to 40 small letters, digits and hyphens")


def check_name(name: str | None) -> Failure | None:
    """Return the failure of an invalid name of an agent program, or None."""
    if name is None or NAME_PATTERN.fullmatch(name):
        return None
    return bad_request("a program's name has 1 to 40 small letters, digits and hyphens")


def is_number(text: str) -> bool:
    """Return whether a query argument is a decimal number of fewer than 10 digits."""
    return text.isascii() and text.isdecimal() and len(text) < 10


def bad_request(text: str) -> Failure:
    """Return the failure of an invalid request."""
    return Failure(Verdict.NOT_RUN, ErrorCode.BAD_REQUEST, text)
