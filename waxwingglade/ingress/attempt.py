"""Send one call to targets, one attempt after another, and record the outcomes."""

import asyncio
from collections.abc import Callable
from enum import Enum

import msgspec

from waxwingglade.base import TargetId, Verdict
from waxwingglade.follow.model import (
    CallKind,
    IncarnationName,
    Revision,
    Route,
    Service,
    Target,
)
from waxwingglade.ingress.balance import Balancer, Choice, History
from waxwingglade.ingress.dialect import AnswerFacts, Call, Dialect, Send
from waxwingglade.ingress.quarantine import HeldBack, Quarantine
from waxwingglade.ingress.send_grants import SendGrants
from waxwingglade.ledger.target_failures import Trial
from waxwingglade.transport import (
    ConnectionBroken,
    ConnectionPool,
    Finding,
    Http1Connection,
    HttpRequest,
    HttpResponse,
    Inactivity,
    NotConnected,
    Siblings,
    Unresponsive,
    WaitLimits,
)

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Maximum size in bytes of an answer body that is buffered before it is passed on."""

MAX_REFUSAL_BYTES = 64 * 1024
REFUSAL_TIMEOUT_S = 0.1
"""Size in bytes of the body of a refusal as not run, and seconds to wait for it.  Reading it only
serves to reuse its connection."""

MAX_CONNECT_FAILURES = 3
"""Number of unreachable targets after which a call is abandoned; nothing was sent to them."""

MIN_RESPONSE_TIMEOUT_S = 0.05
"""Minimum seconds without an answer before a connection counts as unresponsive.  This is many times
a round trip of 3 ms, and as long as a process may stall."""

USUAL_TIME_FACTOR = 4.0
"""Multiple of the usual time that a call may take before its connection is suspected.  Of calls
with log-normally distributed times and a sigma of 1, 3 in 100 exceed this multiple of the mean."""

LAST_RESPONSE_TIMEOUT_S = 1.0
"""Seconds after which the last attempt ends if its connection is dead.  This is half of the two
seconds after which callers abandon a stream without events, so that they can retry on a new
connection in time."""

SILENT_S = 0.5
"""Seconds without bytes from a target after which it may have ended under a call that is given
up."""

SERVER_ERRORS = 500
"""Lowest status that reports a failure of the target itself."""

_NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise the caller that the request did not run."""


class Ending(Enum):
    """How the connection of an attempt ended before its answer was complete."""

    LOST = "lost"
    """The target, or the network, ended it."""

    UNRESPONSIVE = "unresponsive"
    """This process closed it, as nothing arrived on it any more."""

    INVALID = "invalid"
    """The target sent bytes that are no answer."""


FAILED_ENDINGS = (Ending.LOST, Ending.INVALID)
"""Endings after which the target counts as failed."""


class Effect(Enum):
    """What an attempt changed in what is known of the failures of its request."""

    FAILED = "failed"
    """Its target counts as failed."""

    SUSPECTED = "suspected"
    """Its target may have ended, which is not yet known."""

    CLEARED = "cleared"
    """No earlier failure counts any more."""


class AttemptRecord(msgspec.Struct, omit_defaults=True):
    """Log record of one attempt.

    Parameters
    ----------
    targets_revision : Revision
        Revision of the list from which the target was chosen.
    prefill_tokens : int
        Estimate of the tokens that the target has to prefill.
    connect_s : float
        Seconds between the choice and the sending.
    ending : Ending or None
        How its connection ended before the answer was complete.
    siblings : Siblings or None
        The other connections to the target at that moment.  If the target ended, all of them are
        lost together.
    inactivity : Inactivity or None
        How long its connection had received nothing at that moment.
    finding : Finding or None
        What a probe found while its connection received nothing.
    failed_before, pending_before : int
        Targets that were known to have failed the request, and those that still ran it, when it was
        sent; 0 for a request that had not failed before.
    effect : Effect or None
        What it changed in what is known of the request.
    """

    target: TargetId
    load: float
    load_age_s: float
    targets_revision: Revision = Revision(0)
    prefill_tokens: int = 0
    connect_s: float = 0.0
    verdict: Verdict | None = None
    status: int = 0
    reason: str = ""
    seconds: float = 0.0
    ending: Ending | None = None
    siblings: Siblings | None = None
    inactivity: Inactivity | None = None
    finding: Finding | None = None
    failed_before: int = 0
    pending_before: int = 0
    effect: Effect | None = None


class Head(msgspec.Struct):
    """The head of an answer of a target, and the connection from which its body is read."""

    choice: Choice
    connection: Http1Connection
    response: HttpResponse
    facts: AnswerFacts
    record: AttemptRecord
    sent_at: float
    first_event_s: float | None = None


class NotRun(Exception):
    """A target did not run the call, so another target may be tried."""


class MayHaveRun(Exception):
    """The connection to a target broke, and the target may have run the call."""


class NoTarget(Exception):
    """No target is left to try."""


class Attempts:
    """Sends one call to targets, one after another.

    Parameters
    ----------
    call : Call
        The call.
    service : Service
        Service of the call.
    route : Route
        Route of the call, with its maximum attempts and the time limits of its answer.
    time_left : callable
        Returns the seconds that are left for a target to answer.
    quarantine : Quarantine
        Requests that are held back.
    grants : SendGrants
        Grants within the limit of the call's client account.

    Attributes
    ----------
    history : History or None
        Where the previous turns of the program ran, if that is known.
    last_target : Target or None
        Target of the last attempt.
    sent, refused : int
        Number of sendings, and of those that targets promised not to run.
    saw_unresponsive : bool
        Whether an attempt was ended because its connection was unresponsive.
    trial : Trial or None
        Current trial of a call that has failed before; None for all others.
    """

    def __init__(
        self,
        dialect: Dialect,
        pool: ConnectionPool,
        balancer: Balancer,
        call: Call,
        service: Service,
        route: Route,
        time_left: Callable[[], float],
        quarantine: Quarantine,
        grants: SendGrants,
    ) -> None:
        self.dialect = dialect
        self.pool = pool
        self.balancer = balancer
        self.call = call
        self.service = service
        self.route = route
        self.time_left = time_left
        self.quarantine = quarantine
        self.grants = grants
        self.history: History | None = None
        self.last_target: Target | None = None
        self.records: list[AttemptRecord] = []
        self.tried: list[TargetId] = []
        self.sent = 0
        self.refused = 0
        self.unreachable = 0
        self.saw_unresponsive = False
        self.trial: Trial | None = None

    @property
    def possible_runs(self) -> int:
        """Number of sendings that a target may have run."""
        return self.sent - self.refused

    @property
    def may_have_run(self) -> bool:
        """Whether some target may have run the call."""
        return any(record.verdict is not Verdict.NOT_RUN for record in self.records)

    @property
    def failed_at(self) -> IncarnationName | None:
        """Target whose last attempt ended in an error, a broken answer or no answer."""
        if self.last_target is None:
            return None
        last = self.records[-1]
        failed = last.status >= SERVER_ERRORS and last.verdict is not Verdict.NOT_RUN
        if failed or last.verdict is Verdict.MAY_HAVE_RUN:
            return self.last_target.incarnation
        return None

    @property
    def is_held(self) -> bool:
        """Whether the call is held back, as too many targets ended or broke off under it."""
        return self.quarantine.holds(self.call)

    @property
    def may_try(self) -> bool:
        """Whether the call may be sent once more."""
        if self.is_held:
            return False
        return self.sent < self.route.max_attempts and self.unreachable < MAX_CONNECT_FAILURES

    async def open(self, body: bytes, priority: int | None, last_event: int | None) -> Head:
        """Send the call to the best remaining target, and return the head of its answer.

        Raises
        ------
        NoGrant
            If the call may have run, and its client account may not send it again.
        NoTarget
            If no target is left.
        HeldBack
            If too many targets have ended or broken off under the call.
        NotRun
            If the target did not run the call.
        MayHaveRun
            If the connection broke after bytes were sent.
        """
        await self.grants.ensure(self.possible_runs + 1)
        choice, record = self._choose()
        target = choice.target
        chosen_at = self.balancer.clock()
        connection = await self._prepare(choice, record)
        send = Send(target.target, self.time_left(), priority, last_event)
        headers = self.dialect.target_headers(self.call, send)
        request = HttpRequest(self.call.method, self.call.path, headers, body)
        sent_at = self.balancer.clock()
        record.connect_s = round(sent_at - chosen_at, 3)
        self.balancer.record_sent(target, self.call)
        self.balancer.ranks_of(self.service.name).record(self.route.rank)
        if self.history is not None and not self.sent:
            self.balancer.turns_of(self.route.name).record(self.history.holder is None)
        try:
            self.sent += 1
            connection.send(request)
            self.quarantine.waiting[connection] = self
            self.pool.watch(connection, self._wait_limits(choice))
            response = await connection.read_head(self._answers_this_call)
        except ConnectionBroken as error:
            self._record_break(choice, connection, record, error)
            self.close(choice, connection)
            raise MayHaveRun(str(error)) from error
        except asyncio.CancelledError:
            self.close(choice, connection)
            if self.time_left() <= 0:
                record.reason = "no answer in time"
                self.balancer.record_failure(target)
            if self.balancer.clock() - sent_at > LAST_RESPONSE_TIMEOUT_S:
                # The caller disconnected without an event, and its retry should go to another
                # target.
                record.verdict = Verdict.MAY_HAVE_RUN
            raise
        self.pool.record_idle_timeout(target.address, response)
        facts = self.dialect.read_answer(response)
        record.status = response.status
        self.balancer.record_load(target, facts.load)
        head = Head(choice, connection, response, facts, record, sent_at)
        if facts.not_run:
            await self._refused(head)
        return head

    def _choose(self) -> tuple[Choice, AttemptRecord]:
        """Return the best remaining target, and the record of a new attempt."""
        failed_at = self.quarantine.failed_at(self.call)
        choice = self.balancer.choose(
            self.service, self.call, self.tried, self.history, self.route, failed_at
        )
        if choice is None:
            raise NoTarget
        self.last_target = choice.target
        self.tried.append(choice.target.target)
        load, age_s = round(choice.load, 1), round(choice.load_age_s, 2)
        record = AttemptRecord(
            choice.target.target, load, age_s, self.balancer.revision, choice.prefill_tokens
        )
        self.records.append(record)
        return choice, record

    async def _prepare(self, choice: Choice, record: AttemptRecord) -> Http1Connection:
        """Return a connection to a target that may get the call."""
        target = choice.target
        await self._begin_trial(target, record)
        try:
            connection = await self._connect(choice, record)
        except BaseException:
            self._withdraw_trial()
            raise
        if reason := self._reason_not_to_send(target):
            self._withdraw_trial()
            self.pool.release(target.address, connection)
            record.verdict = Verdict.NOT_RUN
            record.reason = f"{reason} while the connection was opened"
            raise NotRun(record.reason)
        return connection

    async def _begin_trial(self, target: Target, record: AttemptRecord) -> None:
        try:
            self.trial = await self.quarantine.begin_trial(self.call, target, self.route.name)
        except HeldBack:
            record.verdict = Verdict.NOT_RUN
            record.reason = "held back"
            raise
        if self.trial is not None:
            known = self.quarantine.known_failures(self.call)
            record.failed_before = known.failed_targets
            record.pending_before = known.tried_targets - known.failed_targets - 1

    def _withdraw_trial(self) -> None:
        if self.trial is not None:
            self.quarantine.withdraw(self.call, self.trial)
            self.trial = None

    def _reason_not_to_send(self, target: Target) -> str:
        """Return what has changed since a target was chosen, or an empty text."""
        if not self.balancer.accepts(target):
            return "left"
        return "held back" if self.is_held else ""

    def _wait_limits(self, choice: Choice) -> WaitLimits:
        """Return how long the connection of an attempt may be unresponsive.

        A call that may be sent again is resent early enough to be answered within its latency
        objective.  A call that may not run twice continues; only idle connections of that time
        are closed.  The last attempt continues as well if an earlier one met an unresponsive
        connection: the connections of that time are no longer in use, so its target must be slow.
        Otherwise it ends only if a probe finds that its connection is dead: a target that pauses
        looks the same without one, and the caller would lose the answer.
        """
        route = self.route
        may_retry = route.idempotent and self.may_try
        suspect_s = route.target_latency_s or LAST_RESPONSE_TIMEOUT_S
        if route.kind is not CallKind.STREAM:
            suspect_s = max(
                suspect_s / 2 if may_retry else suspect_s, USUAL_TIME_FACTOR * choice.usual_s
            )
        suspect_s = max(suspect_s, MIN_RESPONSE_TIMEOUT_S)
        if may_retry:
            return WaitLimits(suspect_s, suspect_s)
        health_path = self.service.health_path
        if not route.idempotent or self.saw_unresponsive or not health_path:
            return WaitLimits(suspect_s, None)
        probe = HttpRequest("GET", health_path, [("Host", choice.target.address)])
        return WaitLimits(suspect_s, max(suspect_s, LAST_RESPONSE_TIMEOUT_S), probe)

    async def _connect(self, choice: Choice, record: AttemptRecord) -> Http1Connection:
        try:
            return await self.pool.acquire(choice.target.address)
        except NotConnected as error:
            self.unreachable += 1
            record.verdict = Verdict.NOT_RUN
            record.reason = str(error)
            self.balancer.record_failure(choice.target)
            raise NotRun(str(error)) from error

    def _answers_this_call(self, response: HttpResponse) -> bool:
        echoed = self.dialect.read_answer(response).request
        return echoed is None or echoed == self.call.request

    async def _refused(self, head: Head) -> None:
        """Finish an attempt whose target promises not to run the call."""
        self.refused += 1
        head.record.verdict = Verdict.NOT_RUN
        head.record.reason = "refused"
        try:
            async with asyncio.timeout(REFUSAL_TIMEOUT_S):
                await head.connection.read_body(MAX_REFUSAL_BYTES)
        except (ConnectionBroken, TimeoutError):
            head.record.reason = "refused, then broken off"
        finally:
            self.close(head.choice, head.connection)
        raise NotRun(f"status {head.response.status}")

    def _record_break(
        self,
        choice: Choice,
        connection: Http1Connection,
        record: AttemptRecord,
        error: Exception,
    ) -> None:
        """Record that an answer is incomplete; a failure unless only the connection may be bad."""
        record.verdict = Verdict.MAY_HAVE_RUN
        record.reason = str(error)
        record.ending = _ending_of(connection, error)
        record.siblings = self.pool.siblings_of(connection)
        record.inactivity = self.pool.inactivity_of(connection)
        if isinstance(error, Unresponsive):
            self.saw_unresponsive = True
        else:
            self.balancer.record_failure(choice.target)

    async def report_break(self) -> None:
        """Report that the target of the last attempt ended or broke off, unless it did not."""
        target = self.last_target
        assert target is not None
        if self.records[-1].ending in FAILED_ENDINGS:
            await self.quarantine.record_break(self.call, target, self.route.name)
            self.records[-1].effect = Effect.FAILED
            self.trial = None
        self._withdraw_trial()

    def record_answer(self, head: Head) -> None:
        """Record that an answer is complete."""
        self.trial = None
        if not _may_precede_end(head.connection, head.response.status) and (
            self.quarantine.record_answer(self.call)
        ):
            head.record.effect = Effect.CLEARED
        head.record.verdict = Verdict.RAN
        head.record.seconds = round(self.balancer.clock() - head.sent_at, 4)

    def record_error(self, head: Head) -> None:
        """Record an answer of a target if its status reports an error.

        An error of an engine means that the engine is broken; a service without engines may have
        valid reasons for a single error.
        """
        if head.response.status >= SERVER_ERRORS:
            is_engine = self.service.engine is not None
            self.balancer.record_failure(head.choice.target, is_error=is_engine)

    def record_break(self, head: Head, error: Exception) -> None:
        """Record that an answer was truncated."""
        self._record_break(head.choice, head.connection, head.record, error)

    def close(self, choice: Choice, connection: Http1Connection) -> None:
        """Return a connection to the pool, and record the end of the request at its target."""
        self.quarantine.waiting.pop(connection, None)
        record = self.records[-1]
        record.finding = self.pool.finding_of(connection)
        self.pool.release(choice.target.address, connection)
        self.balancer.record_end(choice.target, self.call)
        self._record_undecided(choice.target, connection, record)
        if record.ending not in FAILED_ENDINGS:
            self._withdraw_trial()

    def _record_undecided(
        self, target: Target, connection: Http1Connection, record: AttemptRecord
    ) -> None:
        """Record that the target may have ended, by what arrived before the end of an attempt."""
        if record.verdict is Verdict.NOT_RUN or record.ending in FAILED_ENDINGS:
            return
        answered = not connection.in_use
        if answered and not _may_precede_end(connection, record.status):
            return
        if not answered:
            record.inactivity = record.inactivity or self.pool.inactivity_of(connection)
        silent_s = 0.0 if record.ending is Ending.UNRESPONSIVE else SILENT_S
        suspected = record.effect is not Effect.SUSPECTED and (
            answered or self.pool.is_silent(connection, silent_s)
        )
        self.quarantine.record_undecided(
            self.call, target, self.route.name, is_silent=not answered, is_suspected=suspected
        )
        if suspected:
            record.effect = Effect.SUSPECTED

    def suspect_if_silent(self, connection: Http1Connection) -> None:
        """Suspect that the target has ended if the call has waited long without bytes from it."""
        target, record = self.last_target, self.records[-1]
        assert target is not None
        if record.effect is not None or connection.paused:
            return
        if self.pool.is_silent(connection, LAST_RESPONSE_TIMEOUT_S):
            self.quarantine.record_undecided(self.call, target, self.route.name, is_suspected=True)
            record.effect = Effect.SUSPECTED


def _may_precede_end(connection: Http1Connection, status: int) -> bool:
    """Return whether a target that ends may have sent a complete answer as its last one."""
    return status >= SERVER_ERRORS or connection.unframed


def _ending_of(connection: Http1Connection, error: Exception) -> Ending:
    if isinstance(error, Unresponsive):
        return Ending.UNRESPONSIVE
    return Ending.INVALID if connection.lost_at is None else Ending.LOST


def promises_not_run(status: int) -> bool:
    """Return whether a status promises the caller that its request did not run."""
    return status in _NOT_RUN_STATUSES


__all__ = [
    "AttemptRecord",
    "Attempts",
    "Effect",
    "Ending",
    "Head",
    "MayHaveRun",
    "NoTarget",
    "NotRun",
    "promises_not_run",
]
