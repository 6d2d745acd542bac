"""Routes for operators: programs of all tenants."""

import functools

import msgspec

from waxwingglade.base import Failure, ProgramId, TenantId
from waxwingglade.connection.caller_programs import (
    answer_create,
    answer_list,
    check_class,
)
from waxwingglade.connection.caller_stream import Serve, outcome_of, run_to_completion
from waxwingglade.connection.http_api import ApiHandler, Route, query
from waxwingglade.connection.operator import require_role
from waxwingglade.connection.operator_messages import CancelBody, History, NewTenantProgram
from waxwingglade.connection.peer_messages import (
    EndProgram,
    ProgramView,
    ReadProgram,
)
from waxwingglade.program import Done
from waxwingglade.settings import Role


def operator_program_routes(serve: Serve) -> list[Route]:
    """Return the routes of programs, whose requests `serve` processes."""
    program = r"/v1/programs/([^/]+)"
    return [
        Route(
            r"/v1/programs",
            {
                "GET": require_role(Role.VIEWER, functools.partial(_list, serve)),
                "POST": require_role(Role.ADMIN, functools.partial(_create, serve)),
            },
        ),
        Route(program, {"GET": require_role(Role.VIEWER, functools.partial(_show, serve))}),
        Route(
            program + "/history",
            {"GET": require_role(Role.ADMIN, functools.partial(_history, serve))},
        ),
        Route(
            program + "/cancel",
            {"POST": require_role(Role.ADMIN, functools.partial(_cancel, serve))},
        ),
    ]


async def _list(serve: Serve, handler: ApiHandler) -> None:
    tenant = query(handler.request, "tenant")
    await answer_list(serve, handler, TenantId(tenant) if tenant else None)


async def _create(serve: Serve, handler: ApiHandler) -> None:
    body = handler.read_or_fail(NewTenantProgram)
    if body is None:
        return
    failure = check_class(body.program_class) or check_class(body.tenant)
    if failure is not None:
        handler.fail(failure)
        return
    await answer_create(serve, handler, body.tenant, body)


async def _show(serve: Serve, handler: ApiHandler, program: str) -> None:
    """Return a program without its messages and texts."""
    view = await _read(serve, handler, program)
    if view is not None:
        handler.finish_json(without_texts(view))


async def _history(serve: Serve, handler: ApiHandler, program: str) -> None:
    view = await _read(serve, handler, program)
    if view is not None:
        handler.finish_json(History(view.program, view.history))


async def _read(serve: Serve, handler: ApiHandler, program: str) -> ProgramView | None:
    view = await outcome_of(serve(ReadProgram(None, ProgramId(program))))
    if isinstance(view, Failure):
        handler.fail(view)
        return None
    assert isinstance(view, ProgramView)
    return view


async def _cancel(serve: Serve, handler: ApiHandler, program: str) -> None:
    body = handler.read_or_fail(CancelBody)
    if body is None:
        return
    message = EndProgram(None, ProgramId(program), body.reason)
    view = await outcome_of(run_to_completion(serve(message)))
    if isinstance(view, Failure):
        handler.fail(view)
        return
    assert isinstance(view, ProgramView)
    handler.finish_json(without_texts(view))


def without_texts(view: ProgramView) -> ProgramView:
    """Return a view without messages, and without texts and results of calls."""
    calls = [
        msgspec.structs.replace(call, outcome=_without_text(call.outcome)) for call in view.calls
    ]
    return msgspec.structs.replace(view, history=[], calls=calls)


def _without_text(outcome: Done | Failure | None) -> Done | Failure | None:
    if isinstance(outcome, Done):
        return msgspec.structs.replace(outcome, text="", result=None)
    if isinstance(outcome, Failure):
        return msgspec.structs.replace(outcome, message="")
    return None
