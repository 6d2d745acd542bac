"""The ledger as an entry uses it: the nearest replica, and the next one if that gives no answer."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import msgspec
import xxhash
from loguru import logger

from waxwingglade.base import Clock, WaxwinggladeError, ZoneId, monotonic
from waxwingglade.base.tasks import start_task
from waxwingglade.follow.model import Replica
from waxwingglade.ledger.messages import (
    BeginTurn,
    BudgetSpent,
    Busy,
    EndTurn,
    NoSuchTurn,
    NoteEnd,
    TurnBegun,
    TurnEnded,
    TurnId,
    Unavailable,
)
from waxwingglade.transport.links import LinkFailed, Links

ASK_S = 0.4
"""Seconds for an answer before another replica is asked; a decision usually takes some 5 ms."""

BEGIN_S = 0.9
"""Seconds for the beginning of a turn, over all replicas that are tried."""

KEEP_S = 1.5
"""Seconds for keeping a turn, while the end of its response waits."""

SETTLE_TRIES_S = (0.3, 0.6, 1.2, 2.4, 4.8, 9.6)
"""Pauses before a settlement is tried again after the response has ended.  Each try asks as many
replicas as fit into `ASK_S`: a ledger that can't keep up must not be asked more for it."""

TELL_S = 0.25
"""Seconds that a settlement may take before all replicas are told of the turn's end.  It usually
takes some 5 ms, and 0.24 s at a process that has as much to do as it takes on; telling all of a
ledger that is merely busy would make it busier."""

HAND_OVER_S = 0.1
"""Seconds for which a process that ends waits until replicas have noted what it has not settled; a
flush of a disk takes some 1 ms."""

MOST_BUSY = 2
"""Replicas that may answer that they have too much to do before a caller is refused."""

RETRY_PAUSE_S = 0.05
AVOID_S = 1.0
"""Seconds for which a replica that gave no answer, or reached no majority, is asked last."""

SLOW_S = 0.2
"""Seconds from which on a line tells whom a request was sent to, and what each answered."""


class Asked(msgspec.Struct, omit_defaults=True):
    """One asking of a replica, for the log: when it began, how long it took, what came of it."""

    replica: str
    after_s: float
    seconds: float
    answer: str


class LedgerClient:
    """The ledger for one entry.

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
        self.settling: set[asyncio.Task] = set()
        self.unsettled: dict[TurnId, EndTurn] = {}

    async def begin(
        self, message: BeginTurn, timeout_s: float
    ) -> TurnBegun | BudgetSpent | NoSuchTurn | Unavailable | Busy:
        """Reserve a turn's tokens and get the chain before it, within `timeout_s` seconds.

        `Busy` says that no replica did anything, so that nothing has to be settled.
        """
        answer = await self._try(message, min(timeout_s, BEGIN_S), lambda _: True)
        if isinstance(answer, TurnBegun | BudgetSpent | NoSuchTurn | Unavailable | Busy):
            return answer
        return Unavailable("no replica answered")

    async def end(self, message: EndTurn) -> bool:
        """Keep a turn and settle its reservation; return whether the turn is kept.

        A settlement that did not come about is tried again in the background.
        """
        answer = await self._try(
            message, KEEP_S, lambda ended: isinstance(ended, TurnEnded) and ended.kept
        )
        ended = answer if isinstance(answer, TurnEnded) else TurnEnded(False, False)
        if not ended.settled and message.program is not None:
            # The caller is about to have its whole answer, and may go on at once, elsewhere.
            self.tell_all(message)
            self._start(self._settle(message))
        return ended.kept

    def settle_later(self, message: EndTurn) -> None:
        """Settle a reservation without waiting for it."""
        self._start(self._settle_now(message))

    def settle_refused(self, message: EndTurn) -> None:
        """Settle what may be reserved for a turn on which the ledger did not decide.

        All replicas are told at once: the caller that is refused may come back before a majority
        has settled it.
        """
        self.tell_all(message)
        self._start(self._settle_now(message, told=True))

    async def finish(self, timeout_s: float) -> None:
        """Wait until what is being settled is settled, and hand the rest over after `timeout_s`.

        What no replica has heard of counts as spent, and may cost a program its turn.
        """
        if self.settling:
            await asyncio.wait(self.settling, timeout=max(0.0, timeout_s))
        rest = list(self.settling)
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)
        if self.unsettled:
            await self._hand_over()

    async def _hand_over(self) -> None:
        """Tell the replicas what is not settled, and wait until they have noted it."""
        logger.bind(turns=len(self.unsettled)).warning("reservations not settled at the end")
        for message in self.unsettled.values():
            self.tell_all(message)
        self.unsettled.clear()
        telling = list(self.settling)
        _, late = await asyncio.wait(telling, timeout=HAND_OVER_S) if telling else ((), ())
        for task in late:
            task.cancel()
        await asyncio.gather(*telling, return_exceptions=True)

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = start_task(coroutine)
        self.settling.add(task)
        task.add_done_callback(self.settling.discard)

    def tell_all(self, message: EndTurn) -> None:
        """Tell every replica that a turn has ended, without waiting for it.

        Each of them settles it with the next change of the account, and says so when it is asked.
        """
        note = NoteEnd(msgspec.structs.replace(message, kept=None))
        for replica in self.replicas():
            self._start(self._tell(replica, note))

    async def _tell(self, replica: Replica, note: NoteEnd) -> None:
        try:
            await self.links.to(replica.address).request(note, ASK_S)
        except LinkFailed as error:
            logger.bind(replica=replica.vm, turn=note.end.turn, reason=str(error)).info(
                "replica not told of a turn's end"
            )

    async def _settle_now(self, message: EndTurn, told: bool = False) -> None:
        self.unsettled[message.turn] = message
        telling = asyncio.get_running_loop().call_later(TELL_S, self.tell_all, message)
        if told:
            telling.cancel()
        try:
            answer = await self._try(message, KEEP_S, lambda _: True)
        finally:
            telling.cancel()
        if isinstance(answer, TurnEnded) and answer.settled:
            self.unsettled.pop(message.turn, None)
            return
        await self._settle(message)

    async def _settle(self, message: EndTurn) -> None:
        message = msgspec.structs.replace(message, kept=None)
        self.unsettled[message.turn] = message
        for pause_s in SETTLE_TRIES_S:
            await asyncio.sleep(pause_s * (0.5 + random.random()))
            answer = await self._try(message, ASK_S, lambda _: True)
            if isinstance(answer, TurnEnded) and answer.settled:
                self.unsettled.pop(message.turn, None)
                return
        self.unsettled.pop(message.turn, None)
        logger.bind(turn=message.turn, program=message.program).warning("reservation not settled")

    async def _try(self, message: Any, timeout_s: float, good: Callable[[Any], bool]) -> Any:
        """Ask one replica after the other until an answer is good or the time is over.

        Where the first two have too much to do, no more are asked: that would be more to do.
        `Busy` is returned only then, when nobody else was asked, so it says that nothing was done.
        """
        began_at = self.clock()
        asked: list[Asked] = []
        try:
            answer = await self._try_in_turn(message, began_at + timeout_s, good, asked)
        finally:
            self._log_slow(message, self.clock() - began_at, asked)
        return answer

    async def _try_in_turn(
        self, message: Any, end_at: float, good: Callable[[Any], bool], asked: list[Asked]
    ) -> Any:
        """Ask until `end_at`, and note each asking in `asked`."""
        began_at = self.clock()
        last: Any = None
        busy = 0
        while True:
            for replica in self._in_order(message):
                asked_at = self.clock()
                left_s = end_at - asked_at
                if left_s <= 0:
                    return last
                note = Asked(replica.vm, round(asked_at - began_at, 3), 0.0, "under way")
                asked.append(note)
                answer = await self._ask(replica, message, min(ASK_S, left_s), note)
                note.seconds = round(self.clock() - asked_at, 3)
                if _could_not_act(message, answer):
                    self.avoided[replica.address] = self.clock() + AVOID_S
                if _is_answer(answer) and good(answer):
                    return answer
                if isinstance(answer, Busy):
                    busy += 1
                    if busy == MOST_BUSY and last is None:
                        return answer
                    continue
                last = answer or Unavailable("no replica answered")
            if self.clock() + RETRY_PAUSE_S >= end_at:
                return last
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _ask(self, replica: Replica, message: Any, timeout_s: float, note: Asked) -> Any:
        """Ask one replica; None if it gives no answer."""
        try:
            answer = await self.links.to(replica.address).request(message, timeout_s)
        except LinkFailed as error:
            note.answer = "no answer" if error.sent else "not connected"
            logger.bind(replica=replica.vm, turn=message.turn, reason=str(error)).info(
                "replica not asked"
            )
        except WaxwinggladeError as error:
            note.answer = str(error)
            logger.warning("replica {}: {}", replica.vm, error)
        else:
            note.answer = _told(answer)
            return answer
        return None

    def _log_slow(self, message: Any, seconds: float, asked: list[Asked]) -> None:
        """Log whom a request was sent to that took long."""
        if seconds < SLOW_S:
            return
        logger.bind(
            turn=message.turn,
            program=message.program,
            request=type(message).__name__,
            seconds=round(seconds, 3),
            asked=msgspec.to_builtins(asked),
        ).info("ledger slow to answer")

    def _in_order(self, message: Any) -> list[Replica]:
        """Return the replicas to ask: the nearest first, and those that failed lately last.

        Of these the one that failed longest ago comes first, so that where all have failed they are
        asked in turn, and not always the nearest.
        Entries of a zone ask the same one for a program: it then knows the account, and a change
        takes one round instead of two.
        """
        now = self.clock()
        key = message.program or message.turn

        def order(replica: Replica) -> tuple[float, bool, int]:
            until = self.avoided.get(replica.address, 0.0)
            avoided = until if until > now else 0.0
            weight = xxhash.xxh32_intdigest(f"{key}|{replica.disk}".encode())
            return avoided, replica.zone != self.zone, weight

        return sorted(self.replicas(), key=order)


def _told(answer: Any) -> str:
    """Return what a replica answered, in a few words."""
    if isinstance(answer, TurnEnded):
        kept = "kept" if answer.kept else "not kept"
        return f"{kept}, {'settled' if answer.settled else 'not settled'}"
    if isinstance(answer, Unavailable):
        return answer.reason
    return type(answer).__name__


def _is_answer(answer: Any) -> bool:
    """Return whether a replica has decided something."""
    return answer is not None and not isinstance(answer, Unavailable | Busy)


def _could_not_act(message: Any, answer: Any) -> bool:
    """Return whether another replica should be asked next time.

    One that has just started may know no members, and answers at once that it has not settled a
    turn.  One that has kept a turn knows them; if it has not settled it as well, the account is
    held up, for every replica.
    """
    if not _is_answer(answer):
        return True
    if not isinstance(answer, TurnEnded):
        return False
    return not (answer.settled or (message.kept is not None and answer.kept))


__all__ = ["LedgerClient"]
