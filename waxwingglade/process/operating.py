"""The HTTP interface for operators of an entry."""

import functools
from collections.abc import Callable

from tornado.web import Application

from waxwingglade.base import ClassName, ProgramName, TenantId, ZoneId, new_nonce
from waxwingglade.connection.caller_programs import bad_request, is_number
from waxwingglade.connection.caller_stream import Serve
from waxwingglade.connection.http_api import ApiHandler, Route, query
from waxwingglade.connection.operator import operator_application, operator_of, require_role
from waxwingglade.connection.operator_messages import (
    Accepted,
    ApproveBody,
    ConfigView,
    ExplanationList,
    ProposalList,
    ProposalView,
    ProposeBody,
    RejectBody,
    VersionList,
)
from waxwingglade.connection.operator_programs import operator_program_routes
from waxwingglade.process.configuration import Configuration
from waxwingglade.process.duties import target_routes
from waxwingglade.process.entry import Entry
from waxwingglade.process.status import entry_status
from waxwingglade.settings import Role
from waxwingglade.version import (
    PolicyPath,
    Proposal,
    ProposalId,
    ProposalState,
    digest_of,
    explain,
    nested_tree,
)

MAX_HISTORY = 1000
DEFAULT_HISTORY = 20


def operating_application(
    entry: Entry, configuration: Configuration, serve: Serve, on_drain: Callable[[], None]
) -> Application:
    """Return the operators' HTTP application of an entry.

    Parameters
    ----------
    entry : Entry
        The process.
    configuration : Configuration
        The version in force and the operations on it.
    serve : Serve
        Handles requests on programs.
    on_drain : callable
        Called when an operator asks the entry to drain.
    """

    async def status(handler: ApiHandler) -> None:
        handler.finish_json(entry_status(entry))

    async def drain(handler: ApiHandler) -> None:
        handler.finish_json(Accepted())
        on_drain()

    routes = [
        Route(r"/v1/status", {"GET": require_role(Role.VIEWER, status)}),
        Route(r"/v1/drain", {"POST": require_role(Role.ADMIN, drain)}),
        *operator_program_routes(serve),
        *target_routes(entry),
        *config_routes(configuration),
    ]
    return operator_application(entry.settings, routes, entry.metrics.count_refusal)


def config_routes(configuration: Configuration) -> list[Route]:
    """Return the routes of the configuration."""

    def bound(endpoint: Callable, least: Role) -> Callable:
        return require_role(least, functools.partial(endpoint, configuration))

    proposal = r"/v1/config/proposals/([^/]+)"
    return [
        Route(r"/v1/config", {"GET": bound(_show, Role.VIEWER)}),
        Route(r"/v1/config/explain", {"GET": bound(_explain, Role.VIEWER)}),
        Route(r"/v1/config/status", {"GET": bound(_status, Role.VIEWER)}),
        Route(r"/v1/config/history", {"GET": bound(_history, Role.VIEWER)}),
        Route(
            r"/v1/config/proposals",
            {"GET": bound(_proposals, Role.VIEWER), "POST": bound(_propose, Role.PROPOSER)},
        ),
        Route(proposal, {"GET": bound(_proposal, Role.VIEWER)}),
        Route(proposal + "/approve", {"POST": bound(_approve, Role.APPROVER)}),
        Route(proposal + "/accept", {"POST": bound(_accept, Role.PROPOSER)}),
        Route(proposal + "/reject", {"POST": bound(_reject, Role.APPROVER)}),
        Route(proposal + "/withdraw", {"POST": bound(_withdraw, Role.PROPOSER)}),
    ]


# --- reading ------------------------------------------------------------------------------------


async def _show(configuration: Configuration, handler: ApiHandler) -> None:
    active = configuration.active
    current = active.current
    tree = nested_tree(current.tree)
    handler.finish_json(
        ConfigView(current.version, current.hash, active.source.value, active.confirmed, tree)
    )


async def _explain(configuration: Configuration, handler: ApiHandler) -> None:
    entry = configuration.entry
    zone, tenant, program_class, name = (
        query(handler.request, each) for each in ("zone", "tenant", "class", "program")
    )
    if not tenant or not program_class:
        handler.fail(bad_request("tenant and class have to be named"))
        return
    path = PolicyPath(
        ZoneId(zone or entry.own.zone),
        TenantId(tenant),
        ClassName(program_class),
        ProgramName(name) if name else None,
    )
    current = configuration.active.current
    handler.finish_json(ExplanationList(current.version, explain(current.tree, path)))


async def _status(configuration: Configuration, handler: ApiHandler) -> None:
    handler.finish_json(configuration.reports.status(configuration.active))


async def _history(configuration: Configuration, handler: ApiHandler) -> None:
    limit = query(handler.request, "limit", str(DEFAULT_HISTORY))
    if not is_number(limit) or not 1 <= int(limit) <= MAX_HISTORY:
        handler.fail(bad_request(f"limit is not a number from 1 to {MAX_HISTORY}"))
        return
    handler.finish_outcome((await configuration.service.history(int(limit))).map(VersionList))


async def _proposals(configuration: Configuration, handler: ApiHandler) -> None:
    state = query(handler.request, "state")
    known = [each.value for each in ProposalState]
    if state and state not in known:
        handler.fail(bad_request(f"state is none of {', '.join(known)}"))
        return
    wanted = ProposalState(state) if state else None
    handler.finish_outcome((await configuration.service.proposals(wanted)).map(ProposalList))


async def _proposal(configuration: Configuration, handler: ApiHandler, name: str) -> None:
    handler.finish_outcome((await configuration.service.proposal(ProposalId(name))).map(_view))


# --- changing -----------------------------------------------------------------------------------


async def _propose(configuration: Configuration, handler: ApiHandler) -> None:
    body = handler.read_or_fail(ProposeBody)
    if body is None:
        return
    base = body.base_version
    proposed = await configuration.service.propose(
        body.id or ProposalId(new_nonce()),
        operator_of(handler),
        configuration.active.current.version if base is None else base,
        body.changes,
    )
    handler.finish_outcome(proposed.map(_view))


async def _approve(configuration: Configuration, handler: ApiHandler, name: str) -> None:
    """Approve a proposal, and accept it if no other approval is missing."""
    body = handler.read_or_fail(ApproveBody)
    if body is None:
        return
    proposal, operator = ProposalId(name), operator_of(handler)
    approved = await configuration.service.approve(proposal, operator, body.text_digest)
    if approved.is_err():
        handler.fail(approved.err_value)
        return
    accepted = await configuration.service.accept(proposal, operator)
    waits_for = accepted.err_value.message if accepted.is_err() else ""
    current = await configuration.service.proposal(proposal)
    handler.finish_outcome(current.map(lambda found: _view(found, waits_for)))


async def _accept(configuration: Configuration, handler: ApiHandler, name: str) -> None:
    proposal = ProposalId(name)
    accepted = await configuration.service.accept(proposal, operator_of(handler))
    if accepted.is_err():
        handler.fail(accepted.err_value)
        return
    handler.finish_outcome((await configuration.service.proposal(proposal)).map(_view))


async def _reject(configuration: Configuration, handler: ApiHandler, name: str) -> None:
    body = handler.read_or_fail(RejectBody)
    if body is None:
        return
    rejected = await configuration.service.reject(
        ProposalId(name), operator_of(handler), body.reason
    )
    handler.finish_outcome(rejected.map(_view))


async def _withdraw(configuration: Configuration, handler: ApiHandler, name: str) -> None:
    withdrawn = await configuration.service.withdraw(ProposalId(name), operator_of(handler))
    handler.finish_outcome(withdrawn.map(_view))


def _view(proposal: Proposal, waits_for: str = "") -> ProposalView:
    return ProposalView(proposal, digest_of(proposal.text), waits_for)
