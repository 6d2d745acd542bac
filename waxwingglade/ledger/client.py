"""Client of the ledger for an entry: asks the nearest replica, and the next one if it fails."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine, Iterable, Iterator
from typing import Any, TypeVar

import msgspec
from loguru import logger

from waxwingglade.base import Clock, WaxwinggladeError, ZoneId, monotonic
from waxwingglade.base.rendezvous import weight
from waxwingglade.base.tasks import start_task
from waxwingglade.follow.model import Replica
from waxwingglade.ledger.failure_client import FailureClient
from waxwingglade.ledger.messages import (
    BeginTurn,
    BudgetSpent,
    Busy,
    ConfirmTurn,
    EndNoted,
    EndTurn,
    NoSuchTurn,
    NoteEnd,
    QuotaSpent,
    QuotaTaken,
    TakeQuota,
    TurnBegun,
    TurnConfirmed,
    TurnEnded,
    TurnId,
    Unavailable,
)
from waxwingglade.ledger.quota_client import QuotaClient
from waxwingglade.transport.links import LinkFailed, Links

REPLICA_TIMEOUT_S = 0.4
"""Timeout in seconds of a request to one replica, after which another replica is asked.  A replica
usually answers within about 5 ms."""

RESOLVE_TIMEOUT_S = 1.5
"""Seconds for the first attempt to resolve a reservation, over all replicas."""

RESOLVE_PAUSES_S = (0.3, 0.6, 1.2, 2.4, 4.8, 9.6)
"""Pauses in seconds before the further attempts to resolve a reservation, after the response has
ended.  Each attempt is limited to `REPLICA_TIMEOUT_S` in total, so that retries do not overload a
ledger that is already slow."""

NOTIFY_DELAY_S = 0.25
"""Seconds after which all replicas are notified of the end of a turn whose reservation is not
resolved yet.  Resolving takes about 5 ms usually and 0.24 s at a process at full load; a shorter
delay would notify all replicas of a ledger that is merely busy, and add to its load."""

RECORDED_TIMEOUT_S = 0.1
"""Seconds for which a refusal waits until a majority has recorded the end of its turn or resolved
its reservation: longer than a flush of a slow disk, and short compared with the time after which a
caller retries."""

SHUTDOWN_TIMEOUT_S = 0.1
"""Seconds for which a process that shuts down waits until the replicas have recorded the ends whose
reservations are not resolved.  A flush of a disk takes about 1 ms."""

MAX_BUSY_ANSWERS = 2
"""Number of replicas that answer `Busy` after which a caller is refused."""

RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 1.0
"""Upper bound in seconds of the pause, which doubles with each round of requests to the replicas,
since each request sends the turn to all members."""

BUSY_PAUSE_S = 0.25
"""Seconds before busy replicas are asked again to store a turn, about the time that they need for
their pending work."""

AVOID_S = 1.0
"""Seconds for which a replica that did not answer, or reached no majority, is asked last."""

NOT_CONNECTED = "not connected"
"""Value of `Asked.answer` for a replica to which nothing was sent."""

SLOW_LOG_S = 0.2
"""Seconds from which on a request is logged, with the replicas that it was sent to and their
answers."""

T = TypeVar("T")


class Asked(msgspec.Struct):
    """A request to one replica, for the log.

    Parameters
    ----------
    replica : str
        VM of the replica.
    began_at, ended_at : float
        Start and end in monotonic seconds; the end is None while the request is in progress.
    answer : str
        Short description of the answer.
    """

    replica: str
    began_at: float
    ended_at: float | None = None
    answer: str = "under way"


class LedgerClient:
    """Client of the ledger for one entry.

    Parameters
    ----------
    links : Links
        Connections to replicas.
    replicas : callable
        The replicas, in any order.
    zone : ZoneId
        Availability zone of the entry.
    clock : Clock
        Monotonic seconds.
    """

    def __init__(
        self,
        links: Links,
        replicas: Callable[[], Iterable[Replica]],
        zone: ZoneId,
        clock: Clock = monotonic,
    ) -> None:
        self.links = links
        self.replicas = replicas
        self.zone = zone
        self.clock = clock
        self.avoided: dict[str, float] = {}
        self.resolving: set[asyncio.Task] = set()
        self.unresolved: dict[TurnId, EndTurn] = {}
        self.quotas = QuotaClient(links, self._spread, self._avoid, clock)
        self.failures = FailureClient(links, replicas, clock)

    async def begin(
        self, message: BeginTurn, timeout_s: float
    ) -> TurnBegun | BudgetSpent | NoSuchTurn | QuotaSpent | Unavailable | Busy:
        """Reserve a turn's tokens and get the chain before it, within `timeout_s` seconds.

        `Busy` and `QuotaSpent` mean that no replica has reserved anything, so that there is no
        reservation to resolve.
        """
        end_at = self.clock() + timeout_s
        if message.client is not None and (spent := self.quotas.cached_refusal(message.client)):
            return spent
        with self._log_if_slow(message) as asked:
            answer = await self._ask_in_order(message, end_at, lambda _: True, asked)
            if isinstance(answer, QuotaSpent):
                # This member's quota share is used up; another member may still grant the turn.
                assert message.client is not None
                others = [each for each in self._in_order(message) if each.vm != asked[-1].replica]
                answer = await self.quotas.take_from(
                    others, TakeQuota(message.client, message.limit), answer, end_at
                )
                if isinstance(answer, QuotaTaken):
                    counted = msgspec.structs.replace(message, is_counted=True)
                    grant = answer.grant
                    answer = await self._ask_in_order(counted, end_at, lambda _: True, asked)
                    if isinstance(answer, TurnBegun):
                        answer = msgspec.structs.replace(answer, grant=grant)
            if isinstance(answer, QuotaSpent | Busy) and any(map(_may_have_acted, asked)):
                answer = Unavailable(f"a replica gave no answer, another {_describe(answer)}")
        if isinstance(
            answer, TurnBegun | BudgetSpent | NoSuchTurn | QuotaSpent | Unavailable | Busy
        ):
            return answer
        return Unavailable("no replica answered")

    async def confirm(self, message: ConfirmTurn, timeout_s: float) -> bool:
        """Confirm the reservation of a turn, so that it holds until the turn ends.

        Until it is confirmed, the reservation may expire, and the caller must not get any token.
        Returns whether the reservation is confirmed.
        """
        end_at = self.clock() + timeout_s
        with self._log_if_slow(message) as asked:
            answer = await self._ask_in_order(message, end_at, lambda _: True, asked, retry=True)
        return isinstance(answer, TurnConfirmed)

    async def end(self, message: EndTurn, timeout_s: float) -> bool:
        """Store a turn and resolve its reservation; return whether the turn is stored.

        The caller has received nearly all of its answer by then, so storing is retried until the
        caller's time is over.  A reservation that could not be resolved is retried in the
        background.

        Parameters
        ----------
        timeout_s : float
            Seconds that the caller has left; one replica is asked even if there are none.
        """
        end_at = self.clock() + timeout_s
        with self._log_if_slow(message) as asked:
            first_until = self.clock() + REPLICA_TIMEOUT_S
            answer = await self._ask_in_order(message, first_until, _is_stored, asked)
            if _is_stored(answer):
                if not answer.settled:
                    # A majority has recorded the end already, so no replica is notified here.
                    self._start(self._resolve(message))
                return True
            self._resolve_in_background(message)
            # Resolving the reservation in each attempt would delay the account for all of them.
            alone = msgspec.structs.replace(message, program=None)
            return _is_stored(
                await self._ask_in_order(alone, end_at, _is_stored, asked, retry=True)
            )

    def _resolve_in_background(self, message: EndTurn) -> None:
        """Resolve a reservation in the background, as its caller may continue at another entry."""
        if message.program is None:
            return
        self.notify_all(message)
        self._start(self._resolve(message))

    def resolve_later(self, message: EndTurn) -> None:
        """Resolve a reservation without waiting for the result."""
        self._start(self._resolve_now(message))

    async def resolve_first(self, message: EndTurn) -> None:
        """Resolve the reservation of a turn that was not run, within `RECORDED_TIMEOUT_S`.

        The caller is refused only afterwards: otherwise its next turn, at another entry, would
        count a reservation whose end only this process has recorded.
        """
        resolving = self._start(self._resolve_now(message))
        await asyncio.wait({resolving}, timeout=RECORDED_TIMEOUT_S)

    def resolve_refused(self, message: EndTurn) -> list[asyncio.Task[bool]]:
        """Resolve the reservation that may exist for a turn on which the ledger did not decide.

        All replicas are notified at once, since the refused caller may retry before a majority has
        resolved the reservation.  Returns the tasks that notify them, for `wait_until_recorded`.
        """
        notifying = self.notify_all(message)
        self._start(self._resolve_now(message, notified=True))
        return notifying

    async def wait_until_recorded(self, notifying: list[asyncio.Task[bool]]) -> bool:
        """Wait until a majority has recorded a turn's end, for `RECORDED_TIMEOUT_S` at most.

        An end that is durable at a majority survives a restart of this process and of the replicas.
        Returns whether a majority has recorded the end.
        """
        missing = len(notifying) // 2 + 1
        open_tasks = set(notifying)
        end_at = self.clock() + RECORDED_TIMEOUT_S
        while missing > 0 and open_tasks and (left_s := end_at - self.clock()) > 0:
            done, open_tasks = await asyncio.wait(
                open_tasks, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            missing -= sum(not task.cancelled() and task.result() for task in done)
        return missing <= 0

    async def finish(self, timeout_s: float) -> None:
        """Wait for reservations to be resolved, and leave the rest to the replicas at `timeout_s`.

        A reservation whose end no replica has received counts as spent, and may cause a later turn
        of its program to be refused.
        """
        await self.failures.finish(min(timeout_s, SHUTDOWN_TIMEOUT_S))
        if self.resolving:
            await asyncio.wait(self.resolving, timeout=max(0.0, timeout_s))
        rest = list(self.resolving)
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)
        if self.unresolved:
            await self._notify_unresolved()

    async def _notify_unresolved(self) -> None:
        """Notify the replicas of the unresolved ends, and wait until they have recorded them."""
        logger.bind(turns=len(self.unresolved)).warning("reservations unresolved at shutdown")
        for message in self.unresolved.values():
            self.notify_all(message)
        self.unresolved.clear()
        notifying = list(self.resolving)
        _, late = (
            await asyncio.wait(notifying, timeout=SHUTDOWN_TIMEOUT_S) if notifying else ((), ())
        )
        for task in late:
            task.cancel()
        await asyncio.gather(*notifying, return_exceptions=True)

    def _start(self, coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        task = start_task(coroutine)
        self.resolving.add(task)
        task.add_done_callback(self.resolving.discard)
        return task

    def notify_all(self, message: EndTurn) -> list[asyncio.Task[bool]]:
        """Notify every replica that a turn has ended, without waiting for the answers.

        Each replica resolves the reservation with its next change of the account, and reports the
        end on request.
        """
        notice = NoteEnd(msgspec.structs.replace(message, kept=None))
        return [self._start(self._notify(replica, notice)) for replica in self.replicas()]

    async def _notify(self, replica: Replica, notice: NoteEnd) -> bool:
        try:
            answer = await self.links.to(replica.address).request(notice, REPLICA_TIMEOUT_S)
        except LinkFailed as error:
            logger.bind(replica=replica.vm, turn=notice.end.turn, reason=str(error)).info(
                "replica not notified of the end of a turn"
            )
            return False
        return isinstance(answer, EndNoted)

    async def _resolve_now(self, message: EndTurn, notified: bool = False) -> None:
        self.unresolved[message.turn] = message
        delayed_notice = asyncio.get_running_loop().call_later(
            NOTIFY_DELAY_S, self.notify_all, message
        )
        if notified:
            delayed_notice.cancel()
        try:
            answer = await self._ask_in_order(
                message, self.clock() + RESOLVE_TIMEOUT_S, lambda _: True, []
            )
        finally:
            delayed_notice.cancel()
        if isinstance(answer, TurnEnded) and answer.settled:
            self.unresolved.pop(message.turn, None)
            return
        await self._resolve(message)

    async def _resolve(self, message: EndTurn) -> None:
        message = msgspec.structs.replace(message, kept=None)
        self.unresolved[message.turn] = message
        for pause_s in RESOLVE_PAUSES_S:
            await asyncio.sleep(pause_s * (0.5 + random.random()))
            answer = await self._ask_in_order(
                message, self.clock() + REPLICA_TIMEOUT_S, lambda _: True, []
            )
            if isinstance(answer, TurnEnded) and answer.settled:
                self.unresolved.pop(message.turn, None)
                return
        self.unresolved.pop(message.turn, None)
        logger.bind(turn=message.turn, program=message.program).warning("reservation not resolved")

    async def _ask_in_order(
        self,
        message: Any,
        end_at: float,
        accepts: Callable[[Any], bool],
        asked: list[Asked],
        retry: bool = False,
    ) -> Any:
        """Ask one replica after the other until an answer is acceptable or the time is over.

        Returns `Busy` if the first `MAX_BUSY_ANSWERS` replicas answer it: to ask more replicas
        would add to the load.  No other replica has answered before, so `Busy` means that nothing
        was done.

        Parameters
        ----------
        accepts : callable
            Whether an answer ends the requests.
        asked : list of Asked
            Extended by each request.
        retry : bool
            Whether to ask again after a pause, until `end_at`.
        """
        last: Any = None
        busy = 0
        pause_s = RETRY_PAUSE_S
        while True:
            for replica in self._in_order(message):
                left_s = end_at - self.clock()
                if left_s <= 0:
                    return last
                attempt = Asked(replica.vm, self.clock())
                asked.append(attempt)
                answer = await self._ask(replica, message, min(REPLICA_TIMEOUT_S, left_s), attempt)
                if _should_avoid(message, answer):
                    self._avoid(replica)
                if _is_answer(answer) and accepts(answer):
                    return answer
                if isinstance(answer, Busy):
                    busy += 1
                    if busy >= MAX_BUSY_ANSWERS and retry:
                        break
                    if busy == MAX_BUSY_ANSWERS and last is None:
                        return answer
                    continue
                last = answer or Unavailable("no replica answered")
            if retry and busy:
                pause_s = max(pause_s, BUSY_PAUSE_S * (0.5 + random.random()))
                busy = 0
            if retry:
                # Leaves time to ask one more replica before the end.
                pause_s = max(
                    RETRY_PAUSE_S, min(pause_s, end_at - self.clock() - REPLICA_TIMEOUT_S)
                )
            if self.clock() + pause_s >= end_at:
                return last
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)

    async def _ask(self, replica: Replica, message: Any, timeout_s: float, attempt: Asked) -> Any:
        """Ask one replica, and record its answer in `attempt`; None if it does not answer."""
        try:
            answer = await self.links.to(replica.address).request(message, timeout_s)
        except LinkFailed as error:
            attempt.answer = "no answer" if error.sent else NOT_CONNECTED
            logger.bind(replica=replica.vm, turn=message.turn, reason=str(error)).info(
                "replica not asked"
            )
        except WaxwinggladeError as error:
            attempt.answer = str(error)
            logger.warning("replica {}: {}", replica.vm, error)
        else:
            attempt.answer = _describe(answer)
            return answer
        finally:
            attempt.ended_at = self.clock()
        return None

    @contextlib.contextmanager
    def _log_if_slow(self, message: BeginTurn | ConfirmTurn | EndTurn) -> Iterator[list[Asked]]:
        """Collect the requests to replicas, and log them if they took long."""
        began_at = self.clock()
        asked: list[Asked] = []
        try:
            yield asked
        finally:
            now = self.clock()
            if now - began_at >= SLOW_LOG_S:
                logger.bind(
                    turn=message.turn,
                    program=message.program,
                    request=type(message).__name__,
                    seconds=round(now - began_at, 3),
                    asked=[_log_fields(each, began_at, now) for each in asked],
                ).info("ledger slow to answer")

    def _avoid(self, replica: Replica) -> None:
        """Move a replica to the end of the order for `AVOID_S`."""
        self.avoided[replica.address] = self.clock() + AVOID_S

    def _in_order(self, message: Any) -> list[Replica]:
        """Return the replicas to ask for a turn, in this order.

        All entries of a zone ask the same replica for a program, so that this replica has the
        account cached and a change takes one round of messages instead of two.
        """
        order = self._spread(message.program or message.turn)
        if isinstance(message, ConfirmTurn):
            order.sort(key=lambda replica: replica.disk != message.granter)
        return order

    def _spread(self, key: str) -> list[Replica]:
        """Return the replicas in the order to ask: nearest first, recently failed ones last.

        The recently failed ones are ordered by the time of the failure, the earliest first, so that
        they are asked in turn if all have failed, and not always the nearest.
        """
        now = self.clock()

        def order(replica: Replica) -> tuple[float, bool, int]:
            until = self.avoided.get(replica.address, 0.0)
            avoided = until if until > now else 0.0
            return avoided, replica.zone != self.zone, weight(key, replica.disk)

        return sorted(self.replicas(), key=order)


def _may_have_acted(asked: Asked) -> bool:
    """Return whether a replica may have reserved something, judging by its answer."""
    return asked.answer not in (NOT_CONNECTED, Busy.__name__, QuotaSpent.__name__)


def _log_fields(asked: Asked, began_at: float, now: float) -> dict[str, Any]:
    """Return the log fields of a request to a replica, with times relative to `began_at`."""
    ended_at = now if asked.ended_at is None else asked.ended_at
    return {
        "replica": asked.replica,
        "after_s": round(asked.began_at - began_at, 3),
        "seconds": round(ended_at - asked.began_at, 3),
        "answer": asked.answer,
    }


def _is_stored(answer: Any) -> bool:
    """Return whether an answer says that a turn is stored."""
    return isinstance(answer, TurnEnded) and answer.kept


def _describe(answer: Any) -> str:
    """Return a short description of an answer, for the log."""
    if isinstance(answer, TurnEnded):
        kept = "kept" if answer.kept else "not kept"
        return f"{kept}, {'settled' if answer.settled else 'not settled'}"
    if isinstance(answer, Unavailable):
        return answer.reason
    return type(answer).__name__


def _is_answer(answer: Any) -> bool:
    """Return whether an answer is a decision."""
    return answer is not None and not isinstance(answer, Unavailable | Busy)


def _should_avoid(message: Any, answer: Any) -> bool:
    """Return whether the replica that answered should be avoided next time.

    A replica that has just started may have no set of members yet, and answers at once that it has
    neither stored the turn nor resolved its reservation.  A replica that has stored a turn has the
    members; if the reservation is not resolved then, the account is delayed for every replica.
    """
    if not _is_answer(answer):
        return True
    if not isinstance(answer, TurnEnded):
        return False
    return not (answer.kept if message.kept is not None else answer.settled)


__all__ = ["LedgerClient"]
