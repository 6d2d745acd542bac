"""Serve a call that is answered by events, and keep turns and budgets."""

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
    raise_unless_retryable,
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
from waxwingglade.transport import Broken

OK = 200
BEGIN_WITHOUT_QUORUM_S = 0.1
"""Seconds that a turn waits to begin while no majority is in reach; a decision takes some 5 ms, and
a caller that is refused early can go elsewhere."""

MIN_BEGIN_TIMEOUT_S = 0.9
"""Seconds for which a turn may always wait to begin, if its caller has them."""

BEGIN_TIMEOUT_SHARE = 0.5
"""The same as a share of what the caller has left, so that the rest can do for its answer."""

UNDECIDED_RETRY_S = 1.0
"""Seconds after which a caller may come back with a turn on which the ledger did not decide, though
its majority is in reach."""

STORE_WITHOUT_QUORUM_S = 1.0
"""Seconds that a turn waits to be kept while no majority is in reach; about as long as its caller
would be sent back to this zone."""

BUSY_RETRY_S = 0.3
"""The same for a turn that came while all replicas had as much to decide as they can answer in
time, a quarter of a second."""


class Relay(msgspec.Struct):
    """What of a stream has reached the caller.

    Parameters
    ----------
    events : int
        Events handed to the caller.
    last_event : int or None
        Id of the last one.
    data : list of bytes
        Data of the events, for a turn that is kept.
    target : IncarnationName or None
        Target that made the last event.
    failed_at : IncarnationName or None
        Target that failed the turn.
    confirming : Task or None
        What makes the reservation count until the turn ends, to be done before the first event;
        None where that is not needed.
    """

    events: int = 0
    last_event: int | None = None
    data: list[bytes] = msgspec.field(default_factory=list)
    target: IncarnationName | None = None
    failed_at: IncarnationName | None = None
    confirming: asyncio.Task[bool] | None = None


class LedgerAccess(msgspec.Struct):
    """An entry's way to the ledger, and what is known of whether it is open."""

    ledger: LedgerClient
    quorum_monitor: QuorumMonitor
    rotation: RotationEstimate


async def serve_stream(
    serving: Serving, attempts: Attempts, ledger_access: LedgerAccess, priority: Priority
) -> None:
    """Serve a call whose events are passed on as they come."""
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
        # Whatever cuts a turn off, also while it is being kept, its reservation is replaced;
        # settling one that is settled changes nothing.
        if not ended:
            relay.failed_at = attempts.failed_at
            _release_reservation(serving, ledger, relay)


def _is_first_stored_turn(serving: Serving) -> bool:
    """Return whether a turn says itself that its program begins with it."""
    return serving.route.keeps_turns and serving.call.previous_turn is None


def _is_first_counted_turn(serving: Serving, attempts: Attempts) -> bool:
    """Return whether the ledger has told that no turn of a program has ended yet.

    Where turns are not kept, nothing else tells the turn with which a program begins, and a burst
    beyond what engines carry would go on after its cause.
    """
    history = attempts.history
    return not serving.route.keeps_turns and history is not None and history.holder is None


def _admit(serving: Serving, balancer: Balancer, is_first: bool) -> None:
    """Refuse a turn that engines could not begin in time."""
    service = serving.service
    if service.engine is None:
        return
    patience_s = min(serving.route.patience_s, serving.time_left())
    share = balancer.ranks_of(service.name).share_up_to(serving.route.rank)
    waiting = AdmissionRequest(patience_s, is_first, share)
    retry_s = retry_after_s(
        balancer.speed_of(service.name), balancer.engines(service.name), waiting
    )
    if retry_s is not None:
        raise Refusal(UNAVAILABLE, "not run: the engines have all that they can do", retry_s)


async def _begin_turn(
    serving: Serving, attempts: Attempts, ledger_access: LedgerAccess
) -> TurnBegun:
    """Reserve the turn's tokens, and return the turns before it."""
    call, ledger = serving.call, ledger_access.ledger
    previous = call.previous_turn if serving.route.keeps_turns else None
    budget = _budget(serving)
    if previous is None and budget is None:
        await take_quota(serving, ledger)
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
    )
    asked_at = time.monotonic()
    try:
        answer = await retry_until_granted(
            lambda: ledger_access.quorum_monitor.wait(
                ledger.begin(message, _begin_timeout_s(serving.time_left())), BEGIN_WITHOUT_QUORUM_S
            )
        )
    except QuorumLost:
        answer = Unavailable("no majority is in reach")
    except asyncio.CancelledError:
        # The ledger may have reserved the tokens, and no other turn could use them any more.
        _release_undecided(serving, ledger)
        raise
    serving.trace.reserved_s = round(time.monotonic() - asked_at, 4)
    if isinstance(answer, TurnBegun):
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
    # Its caller's next turn would count this one if all who know of its end were killed.
    await ledger.noted(_release_undecided(serving, ledger))
    reason = f"not run: the ledger did not decide: {answer.reason}"
    retry_s = (
        UNDECIDED_RETRY_S
        if ledger_access.quorum_monitor.has_quorum
        else ledger_access.rotation.until_removed_s
    )
    raise Refusal(UNAVAILABLE, reason, retry_s)


def _begin_timeout_s(left_s: float) -> float:
    """Return the seconds for which a turn waits to begin while a majority is in reach."""
    return min(left_s, max(MIN_BEGIN_TIMEOUT_S, BEGIN_TIMEOUT_SHARE * left_s))


async def _confirm_turn(serving: Serving, ledger_access: LedgerAccess, granter: str) -> bool:
    """Make the turn's reservation count until it ends; return whether it does."""
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
    """Return where the turns before ran; None if that is not known."""
    if begun.chain and (target := begun.chain[-1].target) is not None:
        return History(target, begun.failed_at)
    if _is_first_stored_turn(serving):
        return History(None, begun.failed_at)
    if serving.route.keeps_turns and begun.target is None:
        return None
    # A program without kept turns, none of whose turns has ended, begins anew.
    return History(begun.target, begun.failed_at)


def _budget(serving: Serving) -> int | None:
    return serving.call.token_budget if serving.call.program is not None else None


def _end_message(serving: Serving, relay: Relay, keep: bool) -> EndTurn:
    """Return the message that settles a turn, and keeps it if it is whole."""
    engine = serving.service.engine
    used = relay.events * (engine.tokens_per_event if engine else 1)
    program = serving.call.program if _budget(serving) is not None else None
    kept = None
    if keep and serving.route.keeps_turns:
        previous = serving.call.previous_turn
        kept = Turn(
            serving.turn,
            previous,
            serving.call.body,
            b"".join(relay.data),
            wall() + serving.route.retention_s,
            relay.target,
            serving.call.account,
        )
    return EndTurn(serving.turn, program, used, kept, relay.target, relay.failed_at)


def _release_reservation(serving: Serving, ledger: LedgerClient, relay: Relay) -> None:
    """Replace the reservation of a turn that did not end whole."""
    message = _end_message(serving, relay, keep=False)
    if message.program is not None:
        ledger.settle_later(message)


async def _await_confirmation(serving: Serving, confirming: asyncio.Task[bool]) -> None:
    """Wait until the turn's reservation counts; `Refusal` if it does not."""
    waits_since = time.monotonic()
    confirmed = await confirming
    serving.trace.confirmed_s = round(time.monotonic() - waits_since, 4)
    if not confirmed:
        # Another turn may have got the reservation, and the budget does not hold both.
        raise Refusal(BAD_GATEWAY, "the turn's reservation was not confirmed")


async def _release_before_answer(serving: Serving, ledger: LedgerClient, relay: Relay) -> None:
    """Give back the reservation of a turn that was not run, before its caller is told so."""
    message = _end_message(serving, relay, keep=False)
    if message.program is not None:
        await ledger.settle_first(message)


def _release_undecided(serving: Serving, ledger: LedgerClient) -> list[asyncio.Task[bool]]:
    """Give back what the ledger may have reserved for a turn that it did not decide on.

    Returns what tells the replicas, for `LedgerClient.noted`.
    """
    message = _end_message(serving, Relay(), keep=False)
    return [] if message.program is None else ledger.settle_refused(message)


async def _end_turn(serving: Serving, ledger_access: LedgerAccess, relay: Relay) -> None:
    """End the stream as complete, once the turn is kept."""
    message = _end_message(serving, relay, keep=True)
    if message.kept is None:
        await serving.exchange.end_stream()
        if message.program is not None:
            ledger_access.ledger.settle_later(message)
        return
    asked_at = time.monotonic()
    try:
        kept = await ledger_access.quorum_monitor.wait(
            ledger_access.ledger.end(message, serving.time_left()), STORE_WITHOUT_QUORUM_S
        )
    except QuorumLost:
        kept = False
        _release_reservation(serving, ledger_access.ledger, relay)
    serving.trace.kept_s = round(time.monotonic() - asked_at, 4)
    if not kept:
        serving.trace.reason = "the turn could not be kept"
        serving.exchange.abort()
        return
    await serving.exchange.end_stream()


async def _relay_attempts(
    serving: Serving, attempts: Attempts, relay: Relay, prompt: bytes, priority: Priority
) -> None:
    """Send the call until a stream has come to its end, or an answer of another kind is given."""
    while True:
        head = await open_answer(serving, attempts, prompt, priority, relay.last_event)
        try:
            await _relay_answer(serving, attempts, head, relay)
        except (Broken, StreamError) as error:
            attempts.record_break(head, error)
            raise_unless_retryable(serving, attempts, error)
            continue
        finally:
            attempts.close(head.choice, head.connection)
        attempts.record_answer(head)
        if head.first_event_s is not None:
            attempts.balancer.turn_ended(
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
            raise Broken(f"status {response.status} within a stream", sent=True)
        await serving.exchange.answer(response.status, response.headers, body)
        return
    check_status(response.status, head.facts.certified)
    splitter = EventSplitter()
    while (piece := await head.connection.read_piece()) is not None:
        for event in splitter.feed(piece):
            await _relay_event(serving, head, event, relay)
    if splitter.rest:
        raise Broken("the stream ended within an event", sent=True)
    if not serving.exchange.answered:
        raise Broken("a stream without an event", sent=True)


async def _relay_event(serving: Serving, head: Head, event: Event, relay: Relay) -> None:
    """Pass one event on, unless the caller already has it."""
    known = relay.last_event
    if event.number is not None and known is not None and event.number <= known:
        return
    if head.first_event_s is None:
        head.first_event_s = time.monotonic() - head.sent_at
    if relay.confirming is not None and serving.trace.confirmed_s is None:
        await _await_confirmation(serving, relay.confirming)
    if not serving.exchange.answered:
        serving.exchange.begin_stream(head.response.status, head.response.headers)
        serving.trace.first_event_s = round(time.monotonic() - serving.exchange.arrived_at, 4)
    # Counted before it is written: what may have reached the caller counts as spent.
    if event.data is not None:
        relay.events += 1
        relay.data.append(event.data + b"\n")
        relay.target = head.choice.target.incarnation
    if event.number is not None:
        relay.last_event = event.number
    serving.trace.events = relay.events
    await serving.exchange.write(event.raw)


__all__ = ["LedgerAccess", "serve_stream"]
