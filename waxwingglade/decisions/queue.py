"""Queue of waiting calls.

There is one lane for each of the three urgencies.  Within a lane, weighted fair queuing selects the
tenant, and the tenant's call with the earliest program deadline is served first.  Calls below the
urgent lane that have waited long are guaranteed a small share of the grants.
"""

import asyncio
import itertools
from collections import deque
from collections.abc import Callable, Iterator
from enum import Enum
from typing import Any

from sortedcontainers import SortedKeyList, SortedList

from waxwingglade.base import Clock, Err, ErrorCode, Failure, Ok, Outcome, TenantId, Verdict
from waxwingglade.decisions.targets import URGENCIES, TargetView
from waxwingglade.decisions.work import Work
from waxwingglade.settings.decisions import DecisionSettings

LANE_OF = {urgency: lane for lane, urgency in enumerate(URGENCIES)}
SMOOTHING = 0.1
MIN_RETRY_S = 0.1

Rank = Callable[[Work], float]


def due_first(work: Work) -> float:
    """Rank a call by the deadline of its program; the lowest rank is served first."""
    return work.deadline_at


class TicketState(Enum):
    """State of a call in the queue."""

    WAITING = "waiting"
    GRANTED = "granted"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class Ticket:
    """A call in the queue."""

    def __init__(
        self, queue: "ProgramQueue", work: Work, key: tuple[float, int], now: float
    ) -> None:
        self.queue = queue
        self.work = work
        self.key = key
        self.lane = LANE_OF[work.policy.urgency]
        self.offered_at = now
        self.state = TicketState.WAITING
        self.answer: asyncio.Future[Outcome[Any]] | None = None
        self.preferred: TargetView | None = None
        self.preferred_cost_s = 0.0
        self.prefer_until = 0.0


class TenantLane:
    """Waiting calls of one tenant and urgency."""

    def __init__(self) -> None:
        self.tickets: SortedKeyList = SortedKeyList(key=lambda ticket: ticket.key)
        self.virtual_s = 0.0


class Lane:
    """Waiting calls of one urgency.

    `interval_s` is the smoothed time between grants while calls wait; it serves to predict waits.
    """

    def __init__(self) -> None:
        self.tenants: dict[TenantId, TenantLane] = {}
        self.order: SortedList = SortedList()
        self.arrivals: deque[Ticket] = deque()
        self.virtual_s = 0.0
        self.count = 0
        self.interval_s = 0.0
        self.busy_since = 0.0

    def add(self, ticket: Ticket, now: float) -> None:
        """Add a call."""
        tenant = ticket.work.tenant
        lane = self.tenants.setdefault(tenant, TenantLane())
        if not lane.tickets:
            lane.virtual_s = max(lane.virtual_s, self.virtual_s)
            self.order.add((lane.virtual_s, tenant))
        lane.tickets.add(ticket)
        self.arrivals.append(ticket)
        if not self.count:
            self.busy_since = now
        self.count += 1

    def discard(self, ticket: Ticket) -> None:
        """Remove a call without a charge to its tenant."""
        tenant = ticket.work.tenant
        lane = self.tenants[tenant]
        lane.tickets.remove(ticket)
        self.count -= 1
        if not lane.tickets:
            self.order.remove((lane.virtual_s, tenant))
        if len(self.arrivals) > 2 * self.count + 16:
            self.arrivals = deque(
                waiting for waiting in self.arrivals if waiting.state is TicketState.WAITING
            )

    def charge(self, tenant: TenantId, seconds: float) -> None:
        """Charge service time to a tenant, which moves it back in the order of tenants."""
        lane = self.tenants[tenant]
        self.virtual_s = max(self.virtual_s, lane.virtual_s)
        if lane.tickets:
            self.order.remove((lane.virtual_s, tenant))
        lane.virtual_s += seconds
        if lane.tickets:
            self.order.add((lane.virtual_s, tenant))

    def observe_grant(self, now: float) -> None:
        """Update `interval_s` with the time since the last grant, or since calls began to wait."""
        sample = max(0.0, now - self.busy_since)
        self.busy_since = now
        self.interval_s += SMOOTHING * (sample - self.interval_s)

    def heads(self, limit: int) -> Iterator[Ticket]:
        """Return the next calls: the first call of each tenant in order, then the second calls."""
        tenants = [self.tenants[tenant].tickets for _, tenant in self.order[:limit]]
        found = 0
        for place in itertools.count():
            column = [tickets[place] for tickets in tenants if place < len(tickets)]
            for ticket in column:
                yield ticket
                found += 1
                if found >= limit:
                    return
            if not column:
                return

    def oldest(self) -> Ticket | None:
        """Return the call that has waited longest."""
        while self.arrivals and self.arrivals[0].state is not TicketState.WAITING:
            self.arrivals.popleft()
        return self.arrivals[0] if self.arrivals else None


class ProgramQueue:
    """Waiting calls of one pool at one entry.

    Parameters
    ----------
    settings : DecisionSettings
        Constants of the decisions.
    clock : Clock
        Monotonic seconds.
    rank : callable
        Order of a tenant's calls of equal urgency.
    """

    def __init__(self, settings: DecisionSettings, clock: Clock, rank: Rank = due_first) -> None:
        self.settings = settings
        self.clock = clock
        self.rank = rank
        self.lanes = [Lane() for _ in URGENCIES]
        self.waiting_of: dict[TenantId, int] = {}
        self.lower_credit = 0.0
        self.numbers = itertools.count()

    def __len__(self) -> int:
        return sum(lane.count for lane in self.lanes)

    def offer(self, work: Work, service_s: float = 0.0) -> Outcome[Ticket]:
        """Add a call to the queue, or refuse it at once.

        Parameters
        ----------
        work : Work
            The call.
        service_s : float
            Least seconds that the call takes after its grant.

        Returns
        -------
        Outcome[Ticket]
            The ticket of the waiting call; `NOT_RUN` with a retry delay if the program's deadline
            can't be met or the tenant has too many calls waiting.
        """
        now = self.clock()
        wait_s = self.expected_wait_s(work)
        if now + wait_s + service_s > work.deadline_at:
            return Err(too_late(wait_s))
        ticket = Ticket(self, work, (self.rank(work), next(self.numbers)), now)
        if self.waiting_of.get(work.tenant, 0) >= work.policy.queue_limit:
            last = self._last_of(work.tenant)
            if last is None or (last.lane, last.key) <= (ticket.lane, ticket.key):
                return Err(overloaded(wait_s))
            self.refuse(last, overloaded(self.expected_wait_s(last.work)))
        self.lanes[ticket.lane].add(ticket, now)
        self.waiting_of[work.tenant] = self.waiting_of.get(work.tenant, 0) + 1
        return Ok(ticket)

    def expected_wait_s(self, work: Work) -> float:
        """Return the expected wait of a call behind those of the same urgency, in seconds."""
        lane = self.lanes[LANE_OF[work.policy.urgency]]
        if not lane.count:
            return 0.0
        return max(lane.count * lane.interval_s, self.clock() - lane.busy_since)

    def candidates(self) -> Iterator[Ticket]:
        """Return the calls to consider for a free slot, best first."""
        claimant = self.claimant()
        if claimant is not None:
            yield claimant
        for lane in self.lanes:
            if not lane.count:
                continue
            for ticket in list(lane.heads(self.settings.look_ahead)):
                if ticket is not claimant:
                    yield ticket

    def claimant(self) -> Ticket | None:
        """Return the aged call that gets the next grant, if the share of such grants allows it."""
        if self.lower_credit < 1:
            return None
        return self._aged()

    def is_claimant(self, ticket: Ticket) -> bool:
        """Return whether `ticket` is the aged call that gets the next grant."""
        return ticket is self.claimant()

    def take(self, ticket: Ticket, service_s: float) -> None:
        """Remove a granted call, and charge `service_s` to its tenant."""
        lane = self.lanes[ticket.lane]
        if self.is_claimant(ticket):
            self.lower_credit -= 1
        elif self._aged() is not None:
            self.lower_credit = min(1.0, self.lower_credit + self.settings.lower_share)
        self._leave(ticket, TicketState.GRANTED)
        lane.charge(ticket.work.tenant, service_s / ticket.work.policy.weight)
        lane.observe_grant(self.clock())

    def refuse(self, ticket: Ticket, failure: Failure) -> None:
        """Remove a call and return the refusal to its waiter."""
        self._leave(ticket, TicketState.REFUSED)
        if ticket.answer is not None and not ticket.answer.done():
            ticket.answer.set_result(Err(failure))

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a call that its caller has abandoned; return whether it was still waiting."""
        if ticket.state is not TicketState.WAITING:
            return False
        self._leave(ticket, TicketState.CANCELLED)
        return True

    def _leave(self, ticket: Ticket, state: TicketState) -> None:
        ticket.state = state
        self.lanes[ticket.lane].discard(ticket)
        left = self.waiting_of[ticket.work.tenant] - 1
        if left:
            self.waiting_of[ticket.work.tenant] = left
        else:
            del self.waiting_of[ticket.work.tenant]

    def _aged(self) -> Ticket | None:
        """Return the call below the urgent lane that has waited longest, if at least `ageing_s`."""
        before = self.clock() - self.settings.ageing_s
        found = [lane.oldest() for lane in self.lanes[1:]]
        aged = [ticket for ticket in found if ticket is not None and ticket.offered_at <= before]
        return min(aged, key=lambda ticket: ticket.offered_at, default=None)

    def _last_of(self, tenant: TenantId) -> Ticket | None:
        """Return the call of `tenant` that would be served last."""
        for lane in reversed(self.lanes):
            own = lane.tenants.get(tenant)
            if own is not None and own.tickets:
                return own.tickets[-1]
        return None


def too_late(wait_s: float) -> Failure:
    """Return the refusal of a call whose program can't meet its deadline."""
    text = "the program's deadline cannot be met"
    return Failure(Verdict.NOT_RUN, ErrorCode.DEADLINE, text, max(MIN_RETRY_S, wait_s))


def overloaded(wait_s: float) -> Failure:
    """Return the refusal of a call whose tenant has too many waiting calls."""
    text = "too many calls of this tenant are waiting"
    return Failure(Verdict.NOT_RUN, ErrorCode.OVERLOADED, text, max(MIN_RETRY_S, wait_s))
