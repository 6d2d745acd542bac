"""Serve one call: find its route, send it to a target, and give exactly one final answer."""

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
from waxwingglade.ingress.quarantine import HeldBack
from waxwingglade.ingress.refusal import (
    BAD_GATEWAY,
    BAD_REQUEST,
    NOT_FOUND,
    TIMED_OUT,
    UNAVAILABLE,
    Refusal,
)
from waxwingglade.ingress.routes import RouteTable
from waxwingglade.ingress.send_grants import NoGrant
from waxwingglade.ingress.shutdown import ShutdownSchedule
from waxwingglade.ledger.messages import AccountLimit, Grant, TurnId
from waxwingglade.transport import ConnectionBroken

AUTHORIZATION = "Authorization"
MIN_SEND_S = 0.01
"""Minimum remaining seconds for which a call is still sent."""


class TracedGrant(msgspec.Struct, frozen=True):
    """A grant of a call within the limit of its client account.

    Parameters
    ----------
    after_s : float
        Seconds from the arrival of the call's head to the grant.
    """

    after_s: float
    grant: Grant


class Trace(msgspec.Struct):
    """Facts about one call for its log line and metrics.

    Parameters
    ----------
    call : Call or None
        The call, once it is decoded.
    version : int
        Version of the configuration by which the call is served.
    reason : str
        Reason for its outcome, where the status does not suffice.
    account : str
        Client account of the call; empty where no key is needed.
    reserved_s, confirmed_s, kept_s : float or None
        Seconds that the caller waited for the ledger: to begin the turn, to confirm its reservation
        after the first event arrived, and to store the turn.
    grants : list of TracedGrant
        Grants within the limit of its client account, in order.
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
    grants: list[TracedGrant] = msgspec.field(default_factory=list)


Identify = Callable[[AccountTable, Call], ClientAccount | None]
"""Returns the account of a call; raises `Refusal` if there is none or it cannot be determined."""


class Serving(msgspec.Struct):
    """One call, with its route, service, deadline, account and the limit of the account.

    Parameters
    ----------
    shutdown : ShutdownSchedule
        Decides until when the call may be sent if the entry stops.
    answer_grace_s : float
        Seconds after `end_at` in which the target may still answer that the time is over.
    """

    exchange: Exchange
    call: Call
    route: Route
    service: Service
    trace: Trace
    end_at: float
    account: ClientAccount | None = None
    limit: AccountLimit | None = None
    shutdown: ShutdownSchedule = msgspec.field(default_factory=ShutdownSchedule)
    answer_grace_s: float = 0.0

    @property
    def may_start(self) -> bool:
        """Whether a target may begin to work on the call, as the entry will not exit before."""
        return self.shutdown.allows_until(self.end_at + self.answer_grace_s)

    def time_left(self) -> float:
        """Return the seconds that are left for a target to answer."""
        return self.end_at - time.monotonic()

    def record_grant(self, grant: Grant | None) -> None:
        """Record for the log how a member granted the call, if the member has counted it."""
        if grant is None:
            return
        after_s = round(time.monotonic() - self.exchange.arrived_at, 4)
        self.trace.grants.append(TracedGrant(after_s, grant))

    @property
    def turn(self) -> TurnId:
        """Id of the turn that the call requests."""
        return TurnId(self.call.request)


def read_call(
    exchange: Exchange,
    dialect: Dialect,
    table: RouteTable | None,
    trace: Trace,
    identify: Identify = lambda _accounts, _call: None,
) -> Serving:
    """Decode a request and find its route and account; `Refusal` if it cannot be served."""
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
        # The previous turn was served, so the route exists, and this version of the configuration
        # may be too old to have it.  A 404 would make the caller abandon the conversation although
        # the turn may be valid.
        raise Refusal(UNAVAILABLE, "not run: no route for a turn that goes on")
    if route is None:
        raise Refusal(NOT_FOUND, "no route")
    trace.route = route.name
    account, limit = None, None
    if table.accounts is None:
        # Without accounts the header is passed on to the target.
        call.headers += [(AUTHORIZATION, value) for value in call.credentials]
    elif not route.public:
        account = identify(table.accounts, call)
    if account is not None:
        trace.account = call.account = account.name
        limit = AccountLimit.of(account, table.configuration)
        if account.rank is not None:
            route = msgspec.structs.replace(route, rank=account.rank)
    key = call.program or call.affinity or call.request
    name = table.service_for(route, key)
    service = table.services.get(name) or Service(name)
    seconds = route.timeout_s
    if call.deadline_s is not None:
        seconds = min(seconds, call.deadline_s)
    end_at = exchange.arrived_at + seconds
    return Serving(exchange, call, route, service, trace, end_at, account, limit)


Priority = Callable[[Serving], int | None]


async def open_answer(
    serving: Serving,
    attempts: Attempts,
    body: bytes,
    priority: Priority,
    last_event: int | None = None,
) -> Head:
    """Send a call until a target accepts it, and return the head of its answer.

    Raises
    ------
    Refusal
        If no target accepted the call, or if one may have run a call that may not run twice.
    """
    while True:
        if serving.time_left() < MIN_SEND_S:
            raise timeout_refusal(attempts)
        if not attempts.may_try:
            raise exhausted_refusal(attempts)
        if not attempts.may_have_run and not serving.may_start:
            raise stopped_refusal(attempts)
        try:
            return await attempts.open(body, priority(serving), last_event)
        except NoTarget as error:
            raise exhausted_refusal(attempts) from error
        except NoGrant as error:
            raise ungranted_refusal(attempts, error) from error
        except HeldBack as error:
            raise held_refusal(attempts) from error
        except NotRun:
            continue
        except MayHaveRun as error:
            await report_break(serving, attempts, error)


async def report_break(serving: Serving, attempts: Attempts, error: Exception) -> None:
    """Report an answer that broke off; raise a `Refusal` unless the call may be sent again."""
    await attempts.report_break()
    if serving.route.idempotent and attempts.may_try:
        return
    raise Refusal(BAD_GATEWAY, f"the target broke off: {error}") from error


async def serve_plain(serving: Serving, attempts: Attempts, priority: Priority) -> None:
    """Serve a call whose answer is passed on once it is complete."""
    while True:
        head = await open_answer(serving, attempts, serving.call.body, priority)
        try:
            body = await head.connection.read_body(MAX_ANSWER_BYTES)
        except ConnectionBroken as error:
            attempts.record_break(head, error)
            await report_break(serving, attempts, error)
            continue
        finally:
            attempts.close(head.choice, head.connection)
        attempts.record_answer(head)
        attempts.record_error(head)
        status = head.response.status
        check_status(status, head.facts.certified)
        if status < SERVER_ERRORS:
            attempts.balancer.record_success(head.choice.target, head.record.seconds)
        await serving.exchange.answer(status, head.response.headers, body)
        return


def check_status(status: int, certified: bool) -> None:
    """Raise a `Refusal` instead of an answer that would make a false promise to the caller."""
    if 200 <= status < 300 and not certified:
        raise Refusal(BAD_GATEWAY, "the target did not vouch for its answer")
    if promises_not_run(status):
        # The status promises that the call did not run, but the target did not certify that.
        raise Refusal(BAD_GATEWAY, f"the target answered {status}")


def exhausted_refusal(attempts: Attempts) -> Refusal:
    """Return the final answer of a call that no target accepted."""
    if attempts.may_have_run:
        return Refusal(BAD_GATEWAY, "the target broke off")
    if attempts.is_held:
        return held_refusal(attempts)
    if not attempts.records:
        return Refusal(UNAVAILABLE, "no target")
    return Refusal(UNAVAILABLE, f"not run: {attempts.records[-1].reason}")


def ungranted_refusal(attempts: Attempts, error: NoGrant) -> Refusal:
    """Return the final answer of a call that has no grant for its next sending."""
    if attempts.may_have_run:
        return Refusal(BAD_GATEWAY, f"the target broke off, not sent again: {error.reason}")
    return Refusal(UNAVAILABLE, f"not run: {error.reason}")


def held_refusal(attempts: Attempts) -> Refusal:
    """Return the final answer of a call that is held back, perhaps after it was sent before."""
    if attempts.may_have_run:
        return Refusal(BAD_GATEWAY, "the target broke off, and the call is held back")
    return attempts.quarantine.refusal(attempts.call)


def timeout_refusal(attempts: Attempts | None) -> Refusal:
    """Return the final answer of a call whose time has run out."""
    if attempts is not None and attempts.may_have_run:
        return Refusal(TIMED_OUT, "the time of the request is over")
    return Refusal(UNAVAILABLE, "not run: the time of the request is over")


def stopped_refusal(attempts: Attempts | None) -> Refusal:
    """Return the final answer of a call that would last longer than the entry."""
    if attempts is not None and attempts.may_have_run:
        return Refusal(BAD_GATEWAY, "the entry stops before the target has answered")
    return Refusal(UNAVAILABLE, "not run: the entry stops")


def is_stream(route: Route) -> bool:
    """Return whether the calls of a route are answered by a stream of events."""
    return route.kind is CallKind.STREAM


__all__ = [
    "Priority",
    "Serving",
    "Trace",
    "TracedGrant",
    "check_status",
    "is_stream",
    "open_answer",
    "read_call",
    "report_break",
    "serve_plain",
    "stopped_refusal",
    "timeout_refusal",
]
