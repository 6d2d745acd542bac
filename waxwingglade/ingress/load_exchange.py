"""Share the loads of targets with other entries, through the ledger.

An entry reports what it has in progress, and asks what others have, when a turn arrives: the answer
is there when the ledger has begun the turn and its target is chosen.  It reports again, without an
answer, when a request was sent or has ended.  If no member answers, it goes on with what it knows
itself.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from loguru import logger

from waxwingglade.base import Clock, WaxwinggladeError, ZoneId, monotonic
from waxwingglade.base.ids import new_nonce
from waxwingglade.base.tasks import start_task
from waxwingglade.decisions.load_hubs import hub_order
from waxwingglade.decisions.load_sums import REPORT_INTERVAL_S, Loads
from waxwingglade.follow.model import Replica, ServiceName
from waxwingglade.ingress.balance import Balancer
from waxwingglade.ledger.messages import ReportLoad, SharedLoads

TIMEOUT_S = 0.3
"""Timeout in seconds of a report that asks.  An answer takes about 3 ms; one that takes longer than
a turn is of no use."""

END_DELAY_S = 0.02
"""Seconds after the end of a request until it is reported, which collects other changes.  A small
part of the time of a turn."""

FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 5.0
"""Seconds for which a member that gave no answer gets no report; the pause doubles up to the
maximum.  A member of an older version never answers, and is asked again after its restart."""

MAX_MEMBERS = 3
"""Number of members that are tried.  More would get the reports of a whole zone only if several
machines fail together, and entries can do without them for that time."""

LOST_S = 1.0
"""Seconds without an answer after which the exchange counts as lost."""

Ask = Callable[[str, Any, float], Awaitable[Any]]
Tell = Callable[[str, Any], None]


class Pause(msgspec.Struct):
    """How long a member gets no report, and until when, in seconds."""

    seconds: float
    until: float


class LoadExchange:
    """Shares the loads of one entry with others.

    Parameters
    ----------
    balancer : Balancer
        Holds the loads.
    vm : str
        VM of the entry.
    zone : ZoneId
        Its availability zone.
    members : callable
        Returns the members of the ledger.
    ask : callable
        Sends a request to an address; raises `WaxwinggladeError` if there is no answer.
    tell : callable
        Sends a message to an address, without an answer.
    clock : Clock
        Monotonic seconds.

    Attributes
    ----------
    outcomes : Counter
        Number of requests that were answered (True) and that were not (False).
    hub : Replica or None
        The member that answered last, unless it failed to do so since.
    learned_at : float
        Monotonic time in seconds for which the loads of others are known.
    """

    def __init__(
        self,
        balancer: Balancer,
        vm: str,
        zone: ZoneId,
        members: Callable[[], tuple[Replica, ...]],
        ask: Ask,
        tell: Tell,
        clock: Clock = monotonic,
    ) -> None:
        self.balancer = balancer
        self.entry = f"{vm}.{new_nonce()}"
        self.zone = zone
        self.members = members
        self.ask = ask
        self.tell = tell
        self.clock = clock
        self.outcomes: Counter[bool] = Counter()
        self.hub: Replica | None = None
        self.learned_at = float("-inf")
        self.answered_at = float("-inf")
        self.unanswered_since: float | None = None
        self.is_lost = False
        self.paused: dict[str, Pause] = {}
        self.asks = False
        self.due_s: float | None = None
        self.due_at = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.asking: asyncio.Task | None = None
        balancer.load_changed = self.load_changed

    @property
    def age_s(self) -> float:
        """Age in seconds of what is known of the loads of others."""
        return self.clock() - self.learned_at

    def turn_arrived(self, service: ServiceName) -> None:
        """Ask what others have, for a turn whose target is chosen soon."""
        if service in self.balancer.uneven:
            self.asks = True
            self._report_in(0.0)

    def load_changed(self, increased: bool) -> None:
        """Report a request that was sent, or one that has ended.

        A request that was sent is reported at once, since others would send theirs to the same
        target meanwhile.
        """
        self._report_in(0.0 if increased else END_DELAY_S)

    async def stop(self) -> None:
        """Report no more."""
        if self.timer is not None:
            self.timer.cancel()
        if self.asking is not None:
            self.asking.cancel()
            await asyncio.gather(self.asking, return_exceptions=True)

    def _report_in(self, seconds: float) -> None:
        """Report after some seconds at the latest, or when the current request is answered."""
        if self.asking is not None:
            self.due_s = seconds if self.due_s is None else min(self.due_s, seconds)
            return
        loop = asyncio.get_running_loop()
        due_at = loop.time() + seconds
        if self.timer is not None:
            if self.due_at <= due_at:
                return
            self.timer.cancel()
        self.due_at = due_at
        self.timer = loop.call_at(due_at, self._report)

    def _report(self) -> None:
        self.timer = None
        loads = self.balancer.own_loads()
        is_answer_old = self.clock() - self.answered_at >= REPORT_INTERVAL_S
        if self.asks or is_answer_old or self.hub is None:
            self.asking = start_task(self._ask(loads))
            return
        self._report_while_needed(loads)
        self.tell(self.hub.address, ReportLoad(self.entry, loads))

    def _report_while_needed(self, loads: Loads) -> None:
        """Report again at once if something has changed, and later while requests last."""
        due_s, self.due_s = self.due_s, None
        if due_s is not None:
            self._report_in(due_s)
        elif any(load.in_flight for load in loads.values()):
            self._report_in(REPORT_INTERVAL_S)

    async def _ask(self, loads: Loads) -> None:
        try:
            member = self._member()
            if member is None:
                self._check_lost("no member answers")
            else:
                await self._ask_member(member, loads)
        except Exception:
            self.asking, self.hub = None, None
            self._report_in(REPORT_INTERVAL_S)
            raise
        finally:
            self.asking = None
        self._report_while_needed(loads)

    def _member(self) -> Replica | None:
        """Return the member to which this entry reports, or None if none of them answers."""
        now = self.clock()
        for member in hub_order(self.zone, self.members())[:MAX_MEMBERS]:
            pause = self.paused.get(member.address)
            if pause is None or pause.until <= now:
                return member
        return None

    async def _ask_member(self, member: Replica, loads: Loads) -> None:
        self.asks = False
        asked_at = self.clock()
        message = ReportLoad(self.entry, loads, asks=True)
        try:
            answer = await self.ask(member.address, message, TIMEOUT_S)
        except WaxwinggladeError as error:
            self.outcomes[False] += 1
            self.hub = None
            self._pause(member)
            self._check_lost(str(error))
            # The next member is asked at once.
            self.asks = True
            self.due_s = 0.0
            return
        self.outcomes[True] += 1
        self.hub = member
        self.paused.pop(member.address, None)
        self._record_answer(answer, asked_at)

    def _pause(self, member: Replica) -> None:
        before = self.paused.get(member.address)
        seconds = FIRST_PAUSE_S if before is None else min(MAX_PAUSE_S, 2 * before.seconds)
        self.paused[member.address] = Pause(seconds, self.clock() + seconds)

    def _record_answer(self, answer: SharedLoads, asked_at: float) -> None:
        self.answered_at = self.clock()
        self.unanswered_since = None
        if answer.loads is not None:
            self.learned_at = asked_at
            self.balancer.record_shared(answer.loads, asked_at)
        if self.is_lost:
            self.is_lost = False
            logger.info("load exchange regained")

    def _check_lost(self, reason: str) -> None:
        """Log it once if no member has answered for a while."""
        now = self.clock()
        if self.unanswered_since is None:
            self.unanswered_since = now
        if not self.is_lost and now - self.unanswered_since >= LOST_S:
            self.is_lost = True
            logger.bind(reason=reason).warning("load exchange lost")


__all__ = ["LoadExchange"]
