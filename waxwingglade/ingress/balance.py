"""Choose a target for a request: the least expected time, with what need not be read again.

Entries decide alone.  What those of a zone must agree on without talking, where a shared part of a
prompt lives and which target a program prefers, follows from rendezvous hashing of names.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable

import msgspec
import xxhash

from waxwingglade.base import Clock, ProgramId, TargetId, ZoneId, monotonic
from waxwingglade.follow.model import Service, ServiceName, Target, TargetList
from waxwingglade.ingress.dialect import Call, LoadStamp

PREFILL_TOKENS_PER_S = 247_000.0
"""Prompt tokens that an engine reads in a second; from the sheets of both users' engines."""

TURN_S = 0.22
"""Seconds of a usual turn on an idle engine: some 260 tokens at 0.8 ms."""

CROWDING = 0.6
"""By how much a full batch slows each of its requests; from the engines' step times at 14,000
tokens of context."""

SHARED_WEIGHT = 4.0
"""How many times its reading time a shared part counts that a target would have to read: reading
it again is priced beyond the time that it takes."""

LOAD_TRUST_S = 0.5
"""Seconds in which half of the trust in a reported load is lost; reports lag by 0.2 s."""

OTHER_ZONE_S = 0.03
"""Seconds that a target in another zone counts as slower.  The round trip takes only 3 ms more; the
rest keeps answers from hanging on a cut between zones, and bytes within the zone."""

OTHER_ZONE_LOAD = 1.0
"""The same for plain services, as a share of a target's slots."""

FIRST_EJECTION_S = 0.5
LONGEST_EJECTION_S = 4.0
"""Seconds for which a target that failed gets no work while others are left; doubled."""

PACE_SMOOTHING = 0.15
SLOW_FROM = 1.6
"""How many times slower than the others a target must have been to count as slow; answers of one
service differ by about as much by themselves."""

MAX_PACE = 10.0
FAILURES_TO_EJECT = 2
REMEMBERED = 4_000
"""Programs whose last target is remembered."""

HISTORY = 64


class TargetState:
    """What this entry knows of one target beyond its registration."""

    def __init__(self, target: Target) -> None:
        self.target = target
        self.in_flight = 0
        self.sends: deque[tuple[float, int]] = deque(maxlen=HISTORY)
        self.foreign = 0.0
        self.stamped_at = float("-inf")
        self.failures = 0
        self.ejected_until = float("-inf")
        self.unit_s: float | None = None
        self.held: OrderedDict[str, None] = OrderedDict()

    def load(self, now: float) -> float:
        """Return the requests believed to be at the target."""
        age = max(0.0, now - self.stamped_at)
        return self.in_flight + self.foreign * 0.5 ** (age / LOAD_TRUST_S)

    def note(self, now: float, change: int) -> None:
        """Count a request sent (+1) or ended (-1)."""
        self.in_flight += change
        self.sends.append((now, self.in_flight))

    def report(self, now: float, stamp: LoadStamp) -> None:
        """Take in a load that the target reported with an answer."""
        own = max(1, self.in_flight)
        self.foreign = max(0.0, stamp.running + stamp.waiting - own)
        self.stamped_at = now

    def pace(self, usual_s: float) -> float:
        """Return how many times slower than usual the target is, 1 if it is not clearly slow."""
        if self.unit_s is None or usual_s <= 0:
            return 1.0
        return min(MAX_PACE, max(1.0, self.unit_s / usual_s / SLOW_FROM))

    def learn(self, unit_s: float) -> None:
        """Take in how long a unit of work took."""
        before = unit_s if self.unit_s is None else self.unit_s
        self.unit_s = before + PACE_SMOOTHING * (unit_s - before)

    def remember(self, part: str) -> None:
        """Note that the target has read a part of a prompt."""
        self.held[part] = None
        self.held.move_to_end(part)
        while len(self.held) > REMEMBERED:
            self.held.popitem(last=False)


class Choice(msgspec.Struct, frozen=True):
    """A target, and what spoke for it; `usual_s` is the time of a unit of work at its service."""

    target: Target
    cost_s: float
    load: float
    load_age_s: float
    usual_s: float = 0.0


class Balancer:
    """The targets as one entry sees them.

    Parameters
    ----------
    zone : ZoneId
        The entry's availability zone.
    clock : Clock
        Monotonic seconds.
    """

    def __init__(self, zone: ZoneId, clock: Clock = monotonic) -> None:
        self.zone = zone
        self.clock = clock
        self.states: dict[TargetId, TargetState] = {}
        self.by_service: dict[ServiceName, list[TargetState]] = {}
        self.last_target: OrderedDict[ProgramId, TargetId] = OrderedDict()
        self.revision = -1

    def update(self, targets: TargetList) -> list[Target]:
        """Take in the registered targets; return those that are gone."""
        if targets.revision == self.revision:
            return []
        self.revision = targets.revision
        present = {target.target for target in targets.targets}
        gone = [state.target for name, state in self.states.items() if name not in present]
        for target in gone:
            del self.states[target.target]
        self.by_service = {}
        for target in targets.targets:
            state = self.states.get(target.target)
            if state is None:
                state = self.states[target.target] = TargetState(target)
            state.target = target
            self.by_service.setdefault(target.service, []).append(state)
        return gone

    def choose(self, service: Service, call: Call, avoid: Iterable[TargetId]) -> Choice | None:
        """Return the best target for a call, or None if there is none.

        Parameters
        ----------
        service : Service
            Service that the call goes to.
        call : Call
            The call.
        avoid : iterable of TargetId
            Targets that it was sent to already.
        """
        now = self.clock()
        tried = set(avoid)
        states = [
            state
            for state in self.by_service.get(service.name, ())
            if not state.target.leaving and state.target.target not in tried
        ]
        usable = [state for state in states if state.ejected_until <= now] or states
        if not usable:
            return None
        usual_s = _usual_unit_s(self.by_service.get(service.name, ()))
        if service.engine is not None:
            costs = self._engine_costs(call, usable, usual_s, now)
        else:
            costs = self._plain_costs(call, usable, usual_s, now)
        cost, _, state = min(costs, key=lambda entry: entry[:2])
        age_s = min(now - state.stamped_at, 1e6)
        return Choice(state.target, cost, state.load(now), age_s, usual_s)

    def _engine_costs(
        self, call: Call, states: list[TargetState], usual_s: float, now: float
    ) -> list[tuple[float, int, TargetState]]:
        shared = call.prompt_parts[0] if len(call.prompt_parts) > 1 else None
        homes = _homes(shared.part, states) if shared else set()
        preferred = self._preferred(call, states, homes)
        costs = []
        for state in states:
            load = state.load(now)
            slots = max(1, state.target.slots)
            seconds = TURN_S * (1 + CROWDING * min(1.0, load / slots))
            if load >= slots:
                seconds += TURN_S * (load - slots + 1) / slots
            fresh, again = self._tokens_to_read(call, state, shared is not None, homes, preferred)
            seconds += (fresh + SHARED_WEIGHT * again) / PREFILL_TOKENS_PER_S * (1 + load / slots)
            seconds *= state.pace(usual_s)
            if state.target.zone != self.zone:
                seconds += OTHER_ZONE_S
            costs.append((seconds, _weight(call.request, state.target.target), state))
        return costs

    def _tokens_to_read(
        self,
        call: Call,
        state: TargetState,
        has_shared: bool,
        homes: set[TargetId],
        preferred: TargetId | None,
    ) -> tuple[int, int]:
        """Return the tokens of its own, and of the shared part, that a target would read."""
        name = state.target.target
        fresh = again = 0
        for index, part in enumerate(call.prompt_parts):
            if part.part in state.held:
                continue
            if index == 0 and has_shared:
                if name not in homes:
                    again += part.tokens
            elif name != preferred:
                fresh += part.tokens
        return fresh, again

    def _preferred(
        self, call: Call, states: list[TargetState], homes: set[TargetId]
    ) -> TargetId | None:
        """Return the target that probably holds what the program has said so far."""
        if call.program is None:
            return None
        last = self.last_target.get(call.program)
        if last is not None:
            return last
        names = [
            state.target.target
            for state in states
            if state.target.target in homes and state.target.zone == self.zone
        ]
        return max(names, key=lambda name: _weight(call.program, name), default=None)

    def _plain_costs(
        self, call: Call, states: list[TargetState], usual_s: float, now: float
    ) -> list[tuple[float, int, TargetState]]:
        costs = []
        key = call.affinity or call.request
        for state in states:
            slots = max(1, state.target.slots)
            load = state.load(now)
            cost = (1 + max(0.0, load - slots + 1) + load / slots) * state.pace(usual_s)
            if state.target.zone != self.zone:
                cost += OTHER_ZONE_LOAD
            costs.append((round(cost, 1), _weight(key, state.target.target), state))
        return costs

    # What became of it

    def sent(self, target: TargetId, call: Call) -> None:
        """Note a request sent."""
        state = self.states.get(target)
        if state is None:
            return
        state.note(self.clock(), 1)
        for part in call.prompt_parts:
            state.remember(part.part)
        if call.program is not None and call.prompt_parts:
            self.last_target[call.program] = target
            self.last_target.move_to_end(call.program)
            while len(self.last_target) > REMEMBERED:
                self.last_target.popitem(last=False)

    def ended(self, target: TargetId) -> None:
        """Note the end of a request."""
        if state := self.states.get(target):
            state.note(self.clock(), -1)

    def heard(self, target: TargetId, load: LoadStamp | None) -> None:
        """Take in an answer of a target, with its load."""
        state = self.states.get(target)
        if state is None:
            return
        if load is not None:
            state.report(self.clock(), load)

    def succeeded(self, target: TargetId, unit_s: float) -> None:
        """Note a whole answer.

        Parameters
        ----------
        target : TargetId
            Who gave it.
        unit_s : float
            Seconds for a unit of work: an event of a stream, or a plain answer.
        """
        state = self.states.get(target)
        if state is None:
            return
        state.failures = 0
        state.ejected_until = float("-inf")
        state.learn(unit_s)

    def failed(self, target: TargetId) -> None:
        """Note that a target broke off or could not be reached."""
        state = self.states.get(target)
        if state is None:
            return
        state.failures += 1
        if state.failures < FAILURES_TO_EJECT:
            return
        doublings = state.failures - FAILURES_TO_EJECT
        pause_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**doublings)
        state.ejected_until = self.clock() + pause_s


def _weight(key: str | None, target: TargetId) -> int:
    return xxhash.xxh32_intdigest(f"{key}|{target}".encode())


def _homes(part: str, states: list[TargetState]) -> set[TargetId]:
    """Return the targets where a shared part is read: half of those of each zone."""
    zones: dict[ZoneId, list[TargetId]] = {}
    for state in states:
        zones.setdefault(state.target.zone, []).append(state.target.target)
    homes: set[TargetId] = set()
    for names in zones.values():
        names.sort(key=lambda name: _weight(part, name))
        homes.update(names[: (len(names) + 1) // 2])
    return homes


def _usual_unit_s(states: Iterable[TargetState]) -> float:
    """Return the median of the targets' seconds for a unit of work, 0 if none is known."""
    known = sorted(state.unit_s for state in states if state.unit_s is not None)
    return known[(len(known) - 1) // 2] if known else 0.0


__all__ = ["Balancer", "Choice"]
