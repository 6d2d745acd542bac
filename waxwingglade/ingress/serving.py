"""Serve one call: find its route, send it on, and give exactly one final answer."""

import time
from collections.abc import Callable

import msgspec

from waxwingglade.base import FormatError
from waxwingglade.follow.model import CallKind, ClientAccount, Route, Service
from waxwingglade.ingress.accounts import AccountTable
from waxwingglade.ingress.attempt import (
    MAX_ANSWER_BYTES,
    SERVER_ERRORS,
    Attempts,
    Head,
    MayHaveRun,
    NoTarget,
    NotRun,
    promises_not_run,
)
from waxwingglade.ingress.dialect import Call, Dialect
from waxwingglade.ingress.exchange import Exchange
from waxwingglade.ingress.refusal import (
    BAD_GATEWAY,
    BAD_REQUEST,
    NOT_FOUND,
    TIMED_OUT,
    UNAVAILABLE,
    Refusal,
)
from waxwingglade.ingress.routes import RouteTable
from waxwingglade.ledger.messages import TurnId
from waxwingglade.transport import Broken

AUTHORIZATION = "Authorization"
MIN_SEND_S = 0.01
"""Seconds of its time that a call must have left to be worth sending."""


class Trace(msgspec.Struct):
    """What is logged of one call.

    Parameters
    ----------
    call : Call or None
        The call, once it could be read.
    version : int
        Configuration version that it was served under.
    reason : str
        Why it ended as it did, where that is not plain from the status.
    account : str
        Client account that sent it; empty where none needs a key.
    reserved_s, confirmed_s, kept_s : float or None
        Seconds that its caller waited for the ledger: to begin the turn, for its reservation to be
        confirmed when the first event had come, and to keep the turn.
    """

    call: Call | None = None
    version: int = 0
    route: str = ""
    account: str = ""
    reason: str = ""
    attempts: Attempts | None = None
    events: int = 0
    first_event_s: float | None = None
    reserved_s: float | None = None
    confirmed_s: float | None = None
    kept_s: float | None = None


Identify = Callable[[AccountTable, Call], ClientAccount | None]
"""Returns the account that sends a call; `Refusal` if that is none, or can't be known."""


class Serving(msgspec.Struct):
    """One call, with what decides on it."""

    exchange: Exchange
    call: Call
    route: Route
    service: Service
    trace: Trace
    end_at: float
    account: ClientAccount | None = None

    def time_left(self) -> float:
        """Return the seconds that are left for a target."""
        return self.end_at - time.monotonic()

    @property
    def turn(self) -> TurnId:
        """Name of the call as a turn."""
        return TurnId(self.call.request)


def read_call(
    exchange: Exchange,
    dialect: Dialect,
    table: RouteTable | None,
    trace: Trace,
    identify: Identify = lambda _accounts, _call: None,
) -> Serving:
    """Decode a request, and find its route and who sends it; `Refusal` if it cannot be served."""
    try:
        call = dialect.read_call(exchange.method, exchange.path, exchange.header_list())
    except FormatError as error:
        raise Refusal(BAD_REQUEST, str(error)) from error
    trace.call = call
    call.body = exchange.body
    if table is None:
        raise Refusal(UNAVAILABLE, "no configuration is known yet")
    trace.version = table.configuration.version
    route = table.match(call.host, call.path)
    if route is None and call.previous_turn is not None:
        # The turn before was served, so the route was there: this version may be older than that.
        # The caller would give the conversation up on a 404, and there is no proof that the turn is
        # unknown.
        raise Refusal(UNAVAILABLE, "not run: no route for a turn that goes on")
    if route is None:
        raise Refusal(NOT_FOUND, "no route")
    trace.route = route.name
    account = None
    if table.accounts is None:
        # Without accounts the header is the target's business.
        call.headers += [(AUTHORIZATION, value) for value in call.credentials]
    elif not route.public:
        account = identify(table.accounts, call)
    if account is not None:
        trace.account = call.account = account.name
        if account.rank is not None:
            route = msgspec.structs.replace(route, rank=account.rank)
    key = call.program or call.affinity or call.request
    name = table.service_for(route, key)
    service = table.services.get(name) or Service(name)
    seconds = route.timeout_s
    if call.deadline_s is not None:
        seconds = min(seconds, call.deadline_s)
    end_at = exchange.arrived_at + seconds
    return Serving(exchange, call, route, service, trace, end_at, account)


Priority = Callable[[Serving], int | None]


async def open_answer(
    serving: Serving,
    attempts: Attempts,
    body: bytes,
    priority: Priority,
    last_event: int | None = None,
) -> Head:
    """Send a call until a target has taken it, and return the head of its answer.

    Raises
    ------
    Refusal
        If no target took the call, or one may have run it that may not run twice.
    """
    while True:
        if serving.time_left() < MIN_SEND_S:
            raise timeout_refusal(attempts)
        if not attempts.may_try:
            raise exhausted_refusal(attempts)
        try:
            return await attempts.open(body, priority(serving), last_event)
        except NoTarget as error:
            raise exhausted_refusal(attempts) from error
        except NotRun:
            continue
        except MayHaveRun as error:
            raise_unless_retryable(serving, attempts, error)


def raise_unless_retryable(serving: Serving, attempts: Attempts, error: Exception) -> None:
    """Raise the final answer of a call that a target broke off, unless it may be sent again."""
    if serving.route.idempotent and attempts.may_try:
        return
    raise Refusal(BAD_GATEWAY, f"the target broke off: {error}") from error


async def serve_plain(serving: Serving, attempts: Attempts, priority: Priority) -> None:
    """Serve a call whose answer is passed on once it is whole."""
    while True:
        head = await open_answer(serving, attempts, serving.call.body, priority)
        try:
            body = await head.connection.read_body(MAX_ANSWER_BYTES)
        except Broken as error:
            attempts.record_break(head, error)
            raise_unless_retryable(serving, attempts, error)
            continue
        finally:
            attempts.close(head.choice, head.connection)
        attempts.record_answer(head)
        attempts.record_error(head)
        status = head.response.status
        check_status(status, head.facts.certified)
        if status < SERVER_ERRORS:
            attempts.balancer.succeeded(head.choice.target, head.record.seconds)
        await serving.exchange.answer(status, head.response.headers, body)
        return


def check_status(status: int, certified: bool) -> None:
    """Keep back an answer of a target that would tell the caller something untrue."""
    if 200 <= status < 300 and not certified:
        raise Refusal(BAD_GATEWAY, "the target did not vouch for its answer")
    if promises_not_run(status):
        # The target did not promise it, so the caller must not be told that the call did not run.
        raise Refusal(BAD_GATEWAY, f"the target answered {status}")


def exhausted_refusal(attempts: Attempts) -> Refusal:
    """Return the final answer of a call that no target took."""
    if attempts.may_have_run:
        return Refusal(BAD_GATEWAY, "the target broke off")
    if not attempts.records:
        return Refusal(UNAVAILABLE, "no target")
    return Refusal(UNAVAILABLE, f"not run: {attempts.records[-1].reason}")


def timeout_refusal(attempts: Attempts | None) -> Refusal:
    """Return the final answer of a call whose time is over."""
    if attempts is not None and attempts.may_have_run:
        return Refusal(TIMED_OUT, "the time of the request is over")
    return Refusal(UNAVAILABLE, "not run: the time of the request is over")


def is_stream(route: Route) -> bool:
    """Return whether the calls of a route are answered by events."""
    return route.kind is CallKind.STREAM


__all__ = [
    "Priority",
    "Serving",
    "Trace",
    "check_status",
    "is_stream",
    "open_answer",
    "raise_unless_retryable",
    "read_call",
    "serve_plain",
    "timeout_refusal",
]
