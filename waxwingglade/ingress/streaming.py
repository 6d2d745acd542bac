"""Serve calls that are answered by a stream of events, and record turns and budgets."""

import asyncio
import time

import msgspec

from waxwingglade.base import wall
from waxwingglade.decisions.admission import AdmissionRequest, retry_after_s
from waxwingglade.follow.model import IncarnationName
from waxwingglade.ingress.attempt import MAX_ANSWER_BYTES, Attempts, Head, promises_not_run
from waxwingglade.ingress.balance import Balancer, History
from waxwingglade.ingress.events import Event, EventSplitter, StreamError
from waxwingglade.ingress.quorum_monitor import QuorumLost, QuorumMonitor, RotationEstimate
from waxwingglade.ingress.quota import (
    check_may_begin_program,
    over_limit,
    retry_until_granted,
    take_quota,
)
from waxwingglade.ingress.refusal import (
    BAD_GATEWAY,
    BUDGET_SPENT,
    NOT_FOUND,
    UNAVAILABLE,
    Refusal,
)
from waxwingglade.ingress.serving import (
    Priority,
    Serving,
    check_status,
    open_answer,
    report_break,
)
from waxwingglade.ledger.client import LedgerClient
from waxwingglade.ledger.messages import (
    BeginTurn,
    BudgetSpent,
    Busy,
    ConfirmTurn,
    EndTurn,
    NoSuchTurn,
    QuotaSpent,
    Turn,
    TurnBegun,
    Unavailable,
)
from waxwingglade.transport import ConnectionBroken

OK = 200
BEGIN_WITHOUT_QUORUM_S = 0.1
"""Seconds that a turn waits to begin while no majority is reachable.  A decision takes about 5 ms,
and a caller that is refused early can go to another entry."""

MIN_BEGIN_TIMEOUT_S = 0.9
"""Minimum timeout in seconds to begin a turn, unless the caller has less time left."""

BEGIN_TIMEOUT_SHARE = 0.5
"""Timeout to begin a turn as a share of the remaining time; the rest is left for the answer."""

UNDECIDED_RETRY_S = 1.0
"""Seconds after which a caller may retry a turn on which the ledger did not decide although its
majority is reachable."""

STORE_WITHOUT_QUORUM_S = 1.0
"""Seconds that a turn waits to be stored or confirmed while no majority is reachable.  For about as
long, the balancer would still send its caller back to this zone."""

BUSY_RETRY_S = 0.3
"""Seconds after which a caller may retry a turn that arrived while all replicas were at capacity:
each had as many decisions pending as it can answer in time, a quarter of a second."""


class Relay(msgspec.Struct):
    """Progress of a stream that is relayed to the caller.

    Parameters
    ----------
    events : int
        Number of events passed to the caller.
    last_event : int or None
        Id of the last one.
    data : list of bytes
        Data of the events, for a turn that is stored.
    target : IncarnationName or None
        Target that produced the last event.
    failed_at : IncarnationName or None
        Target that failed the turn.
    confirming : Task or None
        Task that confirms the reservation until the end of the turn.  It must succeed before the
        first event is passed on.  None where no confirmation is needed.
    """

    events: int = 0
    last_event: int | None = None
    data: list[bytes] = msgspec.field(default_factory=list)
    target: IncarnationName | None = None
    failed_at: IncarnationName | None = None
    confirming: asyncio.Task[bool] | None = None


class LedgerAccess(msgspec.Struct):
    """The ledger client of an entry, with its quorum and rotation state."""

    ledger: LedgerClient
    quorum_monitor: QuorumMonitor
    rotation: RotationEstimate


async def serve_stream(
    serving: Serving, attempts: Attempts, ledger_access: LedgerAccess, priority: Priority
) -> None:
    """Serve a call and pass its events on as they arrive."""
    ledger = ledger_access.ledger
    _admit(serving, attempts.balancer, _is_first_stored_turn(serving))
    relay = Relay(last_event=serving.call.last_event if serving.route.resumable else None)
    begun = await _begin_turn(serving, attempts, ledger_access)
    prompt = b"".join(turn.asked + turn.answered for turn in begun.chain) + serving.call.body
    ended = False
    try:
        if _is_first_counted_turn(serving, attempts):
            _admit(serving, attempts.balancer, is_first=True)
        if begun.granter:
            relay.confirming = asyncio.create_task(
                _confirm_turn(serving, ledger_access, begun.granter)
            )
        await _relay_attempts(serving, attempts, relay, prompt, priority)
        if serving.exchange.done:
            return
        await _end_turn(serving, ledger_access, relay)
        ended = True
    except Refusal as refusal:
        if promises_not_run(refusal.status):
            relay.failed_at = attempts.failed_at
            await _release_before_answer(serving, ledger, relay)
            ended = True
        raise
    finally:
        if relay.confirming is not None:
            relay.confirming.cancel()
        # A turn that is interrupted, even while it is being stored, must release its reservation.
        # Releasing a resolved reservation again has no effect.
        if not ended:
            relay.failed_at = attempts.failed_at
            _release_reservation(serving, ledger, relay)


def _is_first_stored_turn(serving: Serving) -> bool:
    """Return whether a stored turn is the first of its program, by its own headers."""
    return serving.route.keeps_turns and serving.call.previous_turn is None


def _is_first_counted_turn(serving: Serving, attempts: Attempts) -> bool:
    """Return whether the ledger reports that no turn of the program has ended yet.

    Where turns are not stored, only the ledger can identify the first turn of a program.  Without
    this check, an overload of the engines would outlast the burst of programs that caused it.
    """
    history = attempts.history
    return not serving.route.keeps_turns and history is not None and history.holder is None


def _admit(serving: Serving, balancer: Balancer, is_first: bool) -> None:
    """Refuse a turn that the engines could not begin in time."""
    service = serving.service
    if service.engine is None:
        return
    wait_limit_s = min(serving.route.patience_s, serving.time_left())
    share = balancer.ranks_of(service.name).share_up_to(serving.route.rank)
    request = AdmissionRequest(wait_limit_s, is_first, share)
    retry_s = retry_after_s(
        balancer.speed_of(service.name), balancer.engines(service.name), request
    )
    if retry_s is not None:
        raise Refusal(UNAVAILABLE, "not run: the engines have all that they can do", retry_s)


async def _begin_turn(
    serving: Serving, attempts: Attempts, ledger_access: LedgerAccess
) -> TurnBegun:
    """Reserve the tokens of a turn, and return the turns before it."""
    call, ledger = serving.call, ledger_access.ledger
    previous = call.previous_turn if serving.route.keeps_turns else None
    budget = _budget(serving)
    if previous is None and budget is None:
        await take_quota(serving, ledger, attempts.grants)
        return TurnBegun()
    if _is_first_stored_turn(serving):
        await check_may_begin_program(serving, ledger)
    message = BeginTurn(
        serving.turn,
        call.program if budget is not None else None,
        call.max_output_tokens,
        budget or 0,
        previous,
        call.account,
        _is_first_stored_turn(serving),
        confirms=True,
        limit=serving.limit,
    )
    requested_at = time.monotonic()
    try:
        answer = await retry_until_granted(
            lambda: ledger_access.quorum_monitor.wait(
                ledger.begin(message, _begin_timeout_s(serving.time_left())), BEGIN_WITHOUT_QUORUM_S
            )
        )
    except QuorumLost:
        answer = Unavailable("no majority is in reach")
    except asyncio.CancelledError:
        # The ledger may have reserved the tokens, which no other turn could use then.
        _release_undecided(serving, ledger)
        raise
    serving.trace.reserved_s = round(time.monotonic() - requested_at, 4)
    if isinstance(answer, TurnBegun):
        serving.record_grant(answer.grant)
        attempts.grants.add()
        attempts.history = _history(serving, answer)
        return answer
    if isinstance(answer, BudgetSpent):
        reason = f"the budget is spent: {answer.spent} used, {answer.reserved} reserved"
        raise Refusal(BUDGET_SPENT, reason)
    if isinstance(answer, NoSuchTurn):
        raise Refusal(NOT_FOUND, "no such turn")
    if isinstance(answer, QuotaSpent):
        raise over_limit(serving, ledger, answer)
    if isinstance(answer, Busy):
        raise Refusal(UNAVAILABLE, "not run: the ledger has too much to do", BUSY_RETRY_S)
    # If every process that has the release were killed, the next turn of the program would still
    # count this reservation.  So the release is recorded before the caller gets its answer.
    await ledger.wait_until_recorded(_release_undecided(serving, ledger))
    reason = f"not run: the ledger did not decide: {answer.reason}"
    retry_s = (
        UNDECIDED_RETRY_S
        if ledger_access.quorum_monitor.has_quorum
        else ledger_access.rotation.until_removed_s
    )
    raise Refusal(UNAVAILABLE, reason, retry_s)


def _begin_timeout_s(left_s: float) -> float:
    """Return the timeout in seconds to begin a turn while a majority is reachable."""
    return min(left_s, max(MIN_BEGIN_TIMEOUT_S, BEGIN_TIMEOUT_SHARE * left_s))


async def _confirm_turn(serving: Serving, ledger_access: LedgerAccess, granter: str) -> bool:
    """Confirm the reservation of a turn until its end; return whether the ledger agreed."""
    program = serving.call.program
    assert program is not None
    message = ConfirmTurn(serving.turn, program, granter)
    try:
        return await ledger_access.quorum_monitor.wait(
            ledger_access.ledger.confirm(message, serving.time_left()), STORE_WITHOUT_QUORUM_S
        )
    except QuorumLost:
        return False


def _history(serving: Serving, begun: TurnBegun) -> History | None:
    """Return where the previous turns ran, or None if that is unknown."""
    if begun.chain and (target := begun.chain[-1].target) is not None:
        return History(target, begun.failed_at, len(begun.chain))
    if _is_first_stored_turn(serving):
        return History(None, begun.failed_at)
    if serving.route.keeps_turns and begun.target is None:
        return None
    # A program whose turns are not stored and of which no turn has ended has an empty history.
    return History(begun.target, begun.failed_at)


def _budget(serving: Serving) -> int | None:
    return serving.call.token_budget if serving.call.program is not None else None


def _end_message(serving: Serving, relay: Relay, store: bool) -> EndTurn:
    """Return the message that ends a turn, and stores it if it is complete."""
    engine = serving.service.engine
    used = relay.events * (engine.tokens_per_event if engine else 1)
    program = serving.call.program if _budget(serving) is not None else None
    stored = None
    if store and serving.route.keeps_turns:
        previous = serving.call.previous_turn
        stored = Turn(
            serving.turn,
            previous,
            serving.call.body,
            b"".join(relay.data),
            wall() + serving.route.retention_s,
            relay.target,
            serving.call.account,
        )
    return EndTurn(serving.turn, program, used, stored, relay.target, relay.failed_at)


def _release_reservation(serving: Serving, ledger: LedgerClient, relay: Relay) -> None:
    """Replace the reservation of an incomplete turn by the tokens that it used."""
    message = _end_message(serving, relay, store=False)
    if message.program is not None:
        ledger.resolve_later(message)


async def _await_confirmation(serving: Serving, confirming: asyncio.Task[bool]) -> None:
    """Wait for the confirmation of the reservation; raise a `Refusal` if it is not confirmed."""
    waiting_since = time.monotonic()
    confirmed = await confirming
    serving.trace.confirmed_s = round(time.monotonic() - waiting_since, 4)
    if not confirmed:
        # The tokens may have been reserved for another turn, and the budget does not cover both.
        raise Refusal(BAD_GATEWAY, "the turn's reservation was not confirmed")


async def _release_before_answer(serving: Serving, ledger: LedgerClient, relay: Relay) -> None:
    """Release the reservation of a turn that did not run, before its caller is notified."""
    message = _end_message(serving, relay, store=False)
    if message.program is not None:
        await ledger.resolve_first(message)


def _release_undecided(serving: Serving, ledger: LedgerClient) -> list[asyncio.Task[bool]]:
    """Release the tokens that the ledger may have reserved for an undecided turn.

    Returns the tasks that notify the replicas, for `LedgerClient.wait_until_recorded`.
    """
    message = _end_message(serving, Relay(), store=False)
    return [] if message.program is None else ledger.resolve_refused(message)


async def _end_turn(serving: Serving, ledger_access: LedgerAccess, relay: Relay) -> None:
    """End the stream as complete once the turn is stored."""
    message = _end_message(serving, relay, store=True)
    if message.kept is None:
        await serving.exchange.end_stream()
        if message.program is not None:
            ledger_access.ledger.resolve_later(message)
        return
    requested_at = time.monotonic()
    try:
        stored = await ledger_access.quorum_monitor.wait(
            ledger_access.ledger.end(message, serving.time_left()), STORE_WITHOUT_QUORUM_S
        )
    except QuorumLost:
        stored = False
        _release_reservation(serving, ledger_access.ledger, relay)
    serving.trace.kept_s = round(time.monotonic() - requested_at, 4)
    if not stored:
        serving.trace.reason = "the turn could not be kept"
        serving.exchange.abort()
        return
    await serving.exchange.end_stream()


async def _relay_attempts(
    serving: Serving, attempts: Attempts, relay: Relay, prompt: bytes, priority: Priority
) -> None:
    """Send the call until a stream is complete or an answer without a stream was passed on."""
    while True:
        head = await open_answer(serving, attempts, prompt, priority, relay.last_event)
        try:
            await _relay_answer(serving, attempts, head, relay)
        except (ConnectionBroken, StreamError) as error:
            attempts.record_break(head, error)
            await report_break(serving, attempts, error)
            continue
        finally:
            attempts.close(head.choice, head.connection)
        attempts.record_answer(head)
        if head.first_event_s is not None:
            attempts.balancer.record_turn(
                head.choice, head.first_event_s, head.record.seconds, relay.events
            )
        return


async def _relay_answer(serving: Serving, attempts: Attempts, head: Head, relay: Relay) -> None:
    response = head.response
    if response.status != OK:
        body = await head.connection.read_body(MAX_ANSWER_BYTES)
        attempts.record_error(head)
        check_status(response.status, head.facts.certified)
        if serving.exchange.answered:
            raise ConnectionBroken(f"status {response.status} within a stream", sent=True)
        await serving.exchange.answer(response.status, response.headers, body)
        return
    check_status(response.status, head.facts.certified)
    splitter = EventSplitter()
    while (piece := await head.connection.read_piece()) is not None:
        for event in splitter.feed(piece):
            await _relay_event(serving, head, event, relay)
    if splitter.rest:
        raise ConnectionBroken("the stream ended within an event", sent=True)
    if not serving.exchange.answered:
        raise ConnectionBroken("a stream without an event", sent=True)


async def _relay_event(serving: Serving, head: Head, event: Event, relay: Relay) -> None:
    """Pass one event on, unless the caller already has it."""
    last = relay.last_event
    if event.number is not None and last is not None and event.number <= last:
        return
    if head.first_event_s is None:
        head.first_event_s = time.monotonic() - head.sent_at
    if relay.confirming is not None and serving.trace.confirmed_s is None:
        await _await_confirmation(serving, relay.confirming)
    if not serving.exchange.answered:
        serving.exchange.begin_stream(head.response.status, head.response.headers)
        serving.trace.first_event_s = round(time.monotonic() - serving.exchange.arrived_at, 4)
    # Counted before it is written: tokens that may have reached the caller count as used.
    if event.data is not None:
        relay.events += 1
        relay.data.append(event.data + b"\n")
        relay.target = head.choice.target.incarnation
    if event.number is not None:
        relay.last_event = event.number
    serving.trace.events = relay.events
    await serving.exchange.write(event.raw)


__all__ = ["LedgerAccess", "serve_stream"]
