"""``POST /v1/chat/completions``: the common format, so that ordinary clients work unchanged.

Without a program id in the headers, a program is created for the single call and ended after it.
With one, the messages of the request have to extend the history of that program.
"""

import asyncio
import contextlib
import functools
import time

import msgspec

from waxwingglade.base import (
    CallId,
    ClassName,
    Err,
    ErrorCode,
    Failure,
    Ok,
    Outcome,
    ProgramId,
    TenantId,
    new_nonce,
    not_run,
)
from waxwingglade.base.tasks import run_detached
from waxwingglade.connection.caller_programs import (
    check_call,
    check_call_id,
    check_class,
    tenant_of,
)
from waxwingglade.connection.caller_stream import Serve, outcome_of, until_outcome
from waxwingglade.connection.chat_stream import ChatStream
from waxwingglade.connection.chat_wire import ChatRequest, completion, read_messages, wire_error
from waxwingglade.connection.http_answer import with_retry_after
from waxwingglade.connection.http_api import ApiHandler, Route
from waxwingglade.connection.peer_messages import (
    CreateProgram,
    EndProgram,
    FollowCall,
    ProgramView,
    ReadProgram,
    SubmitCall,
)
from waxwingglade.program import Done, Message, MessageRole, ModelCall

PROGRAM_HEADER = "X-Program-Id"
CALL_HEADER = "X-Call-Id"
CLASS_HEADER = "X-Program-Class"
SHOULD_RETRY_HEADER = "X-Should-Retry"
DEFAULT_CLASS = "chat"
REQUEST_PREFIX = "chat-"
COMPLETION_PREFIX = "chatcmpl-"
END_REASON = "the one call ended"

END_ATTEMPTS = 5
END_RETRY_PAUSE_S = 1.0


class PreparedCall(msgspec.Struct):
    """A call ready to be submitted; `ends_program` says whether its program ends after it."""

    request: SubmitCall | FollowCall
    ends_program: bool


def chat_routes(serve: Serve) -> list[Route]:
    """Return the route of chat completions."""
    return [Route(r"/v1/chat/completions", {"POST": functools.partial(complete, serve)})]


async def complete(serve: Serve, handler: ApiHandler) -> None:
    """Answer a request for a chat completion."""
    read = handler.read(ChatRequest)
    if read.is_err():
        fail_chat(handler, read.err_value)
        return
    body = read.ok_value
    prepared = await _prepare(serve, handler, body)
    if prepared.is_err():
        fail_chat(handler, prepared.err_value)
        return
    request = prepared.ok_value.request
    call = request.call.call if isinstance(request, SubmitCall) else request.call
    handler.set_header(PROGRAM_HEADER, request.program)
    handler.set_header(CALL_HEADER, call)
    try:
        if body.stream:
            await _answer_stream(serve, handler, body, request)
        else:
            await _answer_complete(serve, handler, body, request)
    finally:
        if prepared.ok_value.ends_program:
            run_detached(_end_after_call(serve, request))


def fail_chat(handler: ApiHandler, failure: Failure) -> None:
    """Answer with an error in the chat format, which states whether the client should retry."""
    failure = with_retry_after(failure)
    handler.set_failure_headers(failure)
    may_retry = failure.retry_after_s is not None
    handler.set_header(SHOULD_RETRY_HEADER, "true" if may_retry else "false")
    handler.finish_json(wire_error(failure))


# --- before the call ----------------------------------------------------------------------------


async def _prepare(serve: Serve, handler: ApiHandler, body: ChatRequest) -> Outcome[PreparedCall]:
    headers = handler.request.headers
    call_id = CallId(headers.get(CALL_HEADER) or new_nonce())
    program_class = ClassName(headers.get(CLASS_HEADER) or DEFAULT_CLASS)
    messages = read_messages(body)
    if messages.is_err():
        return messages
    max_tokens = body.max_completion_tokens or body.max_tokens
    call = ModelCall(call_id, body.model, messages.ok_value, max_tokens)
    failure = check_call(call) or check_class(program_class)
    if failure is not None:
        return Err(failure)
    tenant = tenant_of(handler)
    program = headers.get(PROGRAM_HEADER)
    if program:
        return await _continue(serve, tenant, ProgramId(program), call)
    return await _create(serve, tenant, program_class, call)


async def _create(
    serve: Serve, tenant: TenantId, program_class: ClassName, call: ModelCall
) -> Outcome[PreparedCall]:
    request_id = CallId(f"{REQUEST_PREFIX}{call.call}")
    failure = check_call_id(request_id)
    if failure is not None:
        return Err(failure)
    creating = run_detached(outcome_of(serve(CreateProgram(tenant, program_class, request_id))))
    try:
        view = await asyncio.shield(creating)
    except asyncio.CancelledError:
        run_detached(_end_unused(serve, tenant, creating))
        raise
    if isinstance(view, Failure):
        return Err(view)
    assert isinstance(view, ProgramView)
    return Ok(PreparedCall(SubmitCall(tenant, view.program, call), ends_program=True))


async def _continue(
    serve: Serve, tenant: TenantId, program: ProgramId, call: ModelCall
) -> Outcome[PreparedCall]:
    view = await outcome_of(serve(ReadProgram(tenant, program)))
    if isinstance(view, Failure):
        return Err(view)
    assert isinstance(view, ProgramView)
    if _is_recorded(view, call):
        return Ok(PreparedCall(FollowCall(tenant, program, call.call), ends_program=False))
    length = len(view.history)
    if call.messages[:length] != view.history:
        return not_run(ErrorCode.CONFLICT, "the messages do not extend the program's history")
    new = call.messages[length:]
    if not new:
        return not_run(ErrorCode.CONFLICT, "the messages add nothing to the program's history")
    call = msgspec.structs.replace(call, messages=new)
    return Ok(
        PreparedCall(SubmitCall(tenant, program, call, history_length=length), ends_program=False)
    )


def _is_recorded(view: ProgramView, call: ModelCall) -> bool:
    """Return whether the history contains this call: its messages, then its answer."""
    outcomes = [each.outcome for each in view.calls if each.call == call.call]
    if not outcomes or not isinstance(outcomes[0], Done):
        return False
    answer = Message(MessageRole.ASSISTANT, outcomes[0].text)
    expected = [*call.messages, answer]
    return view.history[: len(expected)] == expected


# --- the call -----------------------------------------------------------------------------------


async def _answer_complete(
    serve: Serve, handler: ApiHandler, body: ChatRequest, request: SubmitCall | FollowCall
) -> None:
    done = await outcome_of(serve(request))
    if not isinstance(done, Done):
        assert isinstance(done, Failure)
        fail_chat(handler, done)
        return
    completion_id = COMPLETION_PREFIX + new_nonce()
    handler.finish_json(completion(completion_id, int(time.time()), body.model, done))


async def _answer_stream(
    serve: Serve, handler: ApiHandler, body: ChatRequest, request: SubmitCall | FollowCall
) -> None:
    stream = ChatStream(handler, body, COMPLETION_PREFIX + new_nonce(), int(time.time()))
    async with contextlib.aclosing(until_outcome(serve(request))) as events:
        async for event in events:
            if not stream.started and isinstance(event, Failure):
                fail_chat(handler, event)
                return
            if not await stream.send(event):
                return


# --- after the call -----------------------------------------------------------------------------


async def _end_unused(serve: Serve, tenant: TenantId, creating: asyncio.Task) -> None:
    """End a program whose caller disconnected before its call was submitted."""
    view = await creating
    if isinstance(view, ProgramView):
        await _end_program(serve, tenant, view.program)


async def _end_after_call(serve: Serve, request: SubmitCall | FollowCall) -> None:
    """End the program of a single call after the call, even if the caller has disconnected."""
    assert isinstance(request, SubmitCall)
    await outcome_of(serve(FollowCall(request.tenant, request.program, request.call.call)))
    await _end_program(serve, request.tenant, request.program)


async def _end_program(serve: Serve, tenant: TenantId, program: ProgramId) -> None:
    for _ in range(END_ATTEMPTS):
        ended = await outcome_of(serve(EndProgram(tenant, program, END_REASON)))
        if not isinstance(ended, Failure):
            return
        await asyncio.sleep(END_RETRY_PAUSE_S)
