"""Choose the target with the least expected time for a request, counting cached prompt parts.

Each entry decides by itself.  The entries of a zone agree without communication on the targets that
cache a shared prompt part and on the preferred target of a program, by rendezvous hashing of names.
The ledger reports where the previous turn ran.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from functools import lru_cache

import msgspec

from waxwingglade.base import Clock, TargetId, ZoneId, monotonic
from waxwingglade.base.rendezvous import weight
from waxwingglade.decisions.engine_memory import own_tokens
from waxwingglade.decisions.engine_speed import (
    UNEVEN_EVENT_GAP_PRIOR,
    CompletedTurn,
    EngineSpeed,
)
from waxwingglade.decisions.placement import Engine, home_targets, turn_cost_s, uncached_tokens
from waxwingglade.decisions.program_cost import DEFAULT_TURNS, remaining_turns
from waxwingglade.decisions.program_starts import ProgramLength
from waxwingglade.decisions.ranks import RankShares
from waxwingglade.decisions.shared_load import EntryLoad, TargetLoad
from waxwingglade.decisions.target_speed import bounded_ratio
from waxwingglade.follow.model import (
    IncarnationName,
    Revision,
    Route,
    RouteName,
    Service,
    ServiceName,
    Target,
    TargetList,
)
from waxwingglade.ingress.dialect import Call, LoadStamp
from waxwingglade.ingress.target_state import TargetState, median_unit_s
from waxwingglade.ingress.uneven import (
    TargetChoice,
    UnevenService,
    UnevenTurn,
    memory_tokens,
    part_tokens,
)

EXTERNAL_LOAD_SMOOTHING = 0.05
"""Weight of one report in the moving average of the load from other entries.  The last twenty
reports make up two thirds of it."""

NOTHING_SHARED = TargetLoad()
NOTHING_TO_SHARE = EntryLoad()

OTHER_ZONE_PENALTY_S = 0.03
"""Seconds added to the cost of a target in another zone.  The round trip takes only 3 ms more; the
rest protects answers from partitions between zones, and keeps traffic within the zone."""

OTHER_ZONE_LOAD_PENALTY = 1.0
"""The same for services without engines, as a share of the slots of a target."""


MAX_CACHED_HOMES = 256
"""Number of shared prompt parts, each with one list of targets, whose home targets are cached.  The
programs of a deployment share some ten parts, and targets change every few minutes."""

_cached_home_targets = lru_cache(MAX_CACHED_HOMES)(home_targets)


class Choice(msgspec.Struct, frozen=True):
    """A chosen target, with its cost and load.

    `usual_s` is the median time in seconds of a unit of work at the service.
    """

    target: Target
    cost_s: float
    load: float
    load_age_s: float
    usual_s: float = 0.0
    prefill_tokens: int = 0


class History(msgspec.Struct, frozen=True):
    """Where the previous turns of a program ran.

    Parameters
    ----------
    holder : IncarnationName or None
        Target that has the previous turns in its cache; None for a first turn.
    failed_at : IncarnationName or None
        Target that failed the last turn of the program; it is used only if there is no other.
    turns : int or None
        Number of the previous turns; None if it is unknown.
    """

    holder: IncarnationName | None
    failed_at: IncarnationName | None = None
    turns: int | None = None


class Balancer:
    """Tracks the targets and chooses among them for one entry.

    Parameters
    ----------
    zone : ZoneId
        Availability zone of the entry.
    clock : Clock
        Monotonic seconds.

    Attributes
    ----------
    uneven : dict
        State of the services whose targets report their stretch; entries share the loads of these.
    load_changed : callable
        Called when the load of such a target changes; the argument is whether it increased.
    """

    def __init__(self, zone: ZoneId, clock: Clock = monotonic) -> None:
        self.zone = zone
        self.clock = clock
        self.states: dict[TargetId, TargetState] = {}
        self.by_service: dict[ServiceName, list[TargetState]] = {}
        self.speeds: dict[ServiceName, EngineSpeed] = {}
        self.usual_external_load: dict[ServiceName, float] = {}
        self.ranks: dict[ServiceName, RankShares] = {}
        self.program_lengths: dict[RouteName | None, ProgramLength] = {}
        self.uneven: dict[ServiceName, UnevenService] = {}
        self.targets: TargetList | None = None
        self.load_changed: Callable[[bool], None] = lambda _: None

    def update(self, targets: TargetList) -> list[Target]:
        """Update the targets in use and return the removed incarnations.

        The state of a target that restarted under the same name is discarded: its cache is empty,
        and its former load and failures no longer apply.
        """
        if targets == self.targets:
            return []
        states: dict[TargetId, TargetState] = {}
        for target in targets.targets:
            state = self.states.get(target.target)
            if state is None or state.target.started_ms != target.started_ms:
                state = TargetState(target, self.clock)
            states[target.target] = state
        removed = [
            state.target for name, state in self.states.items() if states.get(name) is not state
        ]
        # Nothing is changed before this, so a list that failed to be taken over can be tried again.
        self.targets = targets
        self.states = states
        self.by_service = {}
        for target in targets.targets:
            state = states[target.target]
            state.target = target
            self.by_service.setdefault(target.service, []).append(state)
        return removed

    @property
    def revision(self) -> Revision:
        """Revision of the list of targets, 0 while there is none."""
        return self.targets.revision if self.targets else Revision(0)

    def speed_of(self, service: ServiceName) -> EngineSpeed:
        """Return the observed speed of the engines of a service."""
        return self.speeds.setdefault(service, EngineSpeed())

    def ranks_of(self, service: ServiceName) -> RankShares:
        """Return the shares of the ranks among the turns that this entry sends to a service."""
        return self.ranks.setdefault(service, RankShares())

    def turns_of(self, route: RouteName | None) -> ProgramLength:
        """Return the number of turns of the programs that this entry serves on a route."""
        return self.program_lengths.setdefault(route, ProgramLength(DEFAULT_TURNS))

    def choose(
        self,
        service: Service,
        call: Call,
        avoid: Iterable[TargetId],
        history: History | None = None,
        route: Route | None = None,
        failed_at: frozenset[IncarnationName] = frozenset(),
    ) -> Choice | None:
        """Return the best target for a call, or None if there is none.

        Parameters
        ----------
        service : Service
            Service of the call.
        call : Call
            The call.
        avoid : iterable of TargetId
            Targets that were already tried.
        history : History or None
            Where the previous turns of the program ran, if that is known.
        route : Route or None
            Route of the call, if known; programs of one route are of similar length.
        failed_at : frozenset of IncarnationName
            Targets that failed the call or may have ended under it; they are used only if there is
            no other.
        """
        now = self.clock()
        usable = self._usable(service.name, set(avoid))
        if history is not None and history.failed_at is not None:
            failed_at |= {history.failed_at}
        if failed_at:
            others = [state for state in usable if state.target.incarnation not in failed_at]
            usable = others or usable
        if not usable:
            return None
        usual_s = median_unit_s(self.by_service.get(service.name, ()))
        if service.engine is not None:
            key = call.request
            if service.name in self.uneven:
                choices = self._uneven_choices(service, call, usable, history, route)
            else:
                choices = self._engine_choices(service, call, usable, usual_s, history)
        else:
            key = call.affinity or call.request
            choices = self._plain_choices(service.name, key, usable, usual_s)
        cost, state, tokens = _cheapest(choices, key)
        age_s = min(now - max(state.load_reported_at, state.shared_at), 1e6)
        load = state.load(now, self.usual_external_load.get(service.name, 0.0))
        return Choice(state.target, cost, load, age_s, usual_s, tokens)

    def _usable(self, service: ServiceName, tried: set[TargetId]) -> list[TargetState]:
        """Return the usable targets; ejected ones only if there are no others."""
        states = [
            state
            for state in self.by_service.get(service, ())
            if not state.target.leaving and state.target.target not in tried
        ]
        now = self.clock()
        return [state for state in states if not state.is_ejected(now)] or states

    def engines(self, service: ServiceName) -> Iterator[Engine]:
        """Yield the usable engines of a service."""
        now = self.clock()
        external_load = self.usual_external_load.get(service, 0.0)
        usual_s = median_unit_s(self.by_service.get(service, ()))
        usable = self._usable(service, set())
        return (state.as_engine(now, external_load, usual_s) for state in usable)

    def _engine_choices(
        self,
        service: Service,
        call: Call,
        states: list[TargetState],
        usual_s: float,
        history: History | None,
    ) -> list[TargetChoice]:
        now = self.clock()
        speed = self.speed_of(service.name)
        external_load = self.usual_external_load.get(service.name, 0.0)
        prefill_tokens = self._prefill_tokens(call, states, history)
        choices = []
        for state, tokens in zip(states, prefill_tokens, strict=True):
            seconds = turn_cost_s(speed, state.as_engine(now, external_load, usual_s), tokens)
            if state.target.zone != self.zone:
                seconds += OTHER_ZONE_PENALTY_S
            choices.append((seconds, state, tokens))
        return choices

    def _uneven_choices(
        self,
        service: Service,
        call: Call,
        states: list[TargetState],
        history: History | None,
        route: Route | None,
    ) -> list[TargetChoice]:
        assert service.engine is not None
        is_first = history is not None and history.holder is None
        turns_before = 0 if is_first else history.turns if history else None
        parts = part_tokens(call)
        turn = UnevenTurn(
            call.request,
            remaining_turns(self.turns_of(route.name if route else None), turns_before),
            memory_tokens(call),
            sum(tokens for _, tokens in parts),
            own_tokens(parts, 0),
            service.engine.cache_tokens,
            history.holder if history else None,
            1 - self.ranks_of(service.name).share_up_to(route.rank) if route else 0.0,
        )
        return self.uneven[service.name].engine_choices(
            self.speed_of(service.name),
            turn,
            states,
            self._prefill_tokens(call, states, history),
            self.usual_external_load.get(service.name, 0.0),
        )

    def _prefill_tokens(
        self, call: Call, states: list[TargetState], history: History | None
    ) -> list[int]:
        """Return the number of tokens that each target would have to prefill."""
        if not call.prompt_parts:
            return [0] * len(states)
        parts = part_tokens(call)
        shared = call.prompt_parts[0] if len(parts) > 1 else None
        places = tuple((state.target.target, state.target.zone) for state in states)
        home = _cached_home_targets(shared.part, places) if shared else set()
        preferred = history.holder if history else self._preferred(call, states, home)
        prefill_tokens = []
        for state in states:
            if preferred is not None and state.target.incarnation == preferred:
                prefill_tokens.append(0)
                continue
            assumed = shared.part if shared and state.target.target in home else None
            prefill_tokens.append(uncached_tokens(parts, state.cached_parts, assumed))
        return prefill_tokens

    def _preferred(
        self, call: Call, states: list[TargetState], home: set[TargetId]
    ) -> IncarnationName | None:
        """Return the target that probably has the previous turns of the program in its cache.

        A first turn has no such target.  If the history of the program is unknown, entries agree on
        a target by hashing.
        """
        last_part = call.prompt_parts[-1].part
        if call.program is None or any(last_part in state.cached_parts for state in states):
            return None
        near = [
            state.target
            for state in states
            if state.target.target in home and state.target.zone == self.zone
        ]
        if not near:
            return None
        return max(near, key=lambda target: weight(call.program, target.target)).incarnation

    def _plain_choices(
        self, service: ServiceName, key: str, states: list[TargetState], usual_s: float
    ) -> list[TargetChoice]:
        external_load = self.usual_external_load.get(service, 0.0)
        if service in self.uneven:
            return self.uneven[service].plain_choices(key, states, usual_s, external_load)
        now = self.clock()
        choices = []
        for state in states:
            load = state.load(now, external_load)
            cost = 1 + max(0.0, load - state.slots + 1) + load / state.slots
            cost *= state.slowness(usual_s)
            if state.target.zone != self.zone:
                cost += OTHER_ZONE_LOAD_PENALTY
            choices.append((round(cost, 1), state, 0))
        return choices

    def accepts(self, target: Target) -> bool:
        """Return whether an incarnation of a target still accepts new work."""
        state = self._state(target)
        return state is not None and not state.target.leaving

    # Outcomes

    def _state(self, target: Target) -> TargetState | None:
        """Return the state of an incarnation of a target, or None if it was removed."""
        state = self.states.get(target.target)
        if state is None or state.target.started_ms != target.started_ms:
            return None
        return state

    def record_sent(self, target: Target, call: Call) -> None:
        """Record a request that was sent."""
        state = self._state(target)
        if state is None:
            return
        state.in_flight += 1
        state.tokens += memory_tokens(call)
        for part in call.prompt_parts:
            state.record_prompt_part(part.part, part.tokens)
        if call.prompt_parts and (uneven := self.uneven.get(target.service)):
            uneven.memory.record_sent(part_tokens(call), memory_tokens(call), self.clock())
        if target.service in self.uneven:
            self.load_changed(True)

    def record_end(self, target: Target, call: Call) -> None:
        """Record the end of a request that was sent."""
        state = self._state(target)
        if state is None:
            return
        state.in_flight -= 1
        state.tokens -= memory_tokens(call)
        if target.service in self.uneven:
            self.load_changed(False)

    def record_load(self, target: Target, load: LoadStamp | None) -> None:
        """Record the load that a target reported with an answer."""
        if load is None:
            return
        state = self._state(target)
        if state is None:
            return
        state.record_load(self.clock(), load)
        before = self.usual_external_load.get(target.service, 0.0)
        self.usual_external_load[target.service] = before + EXTERNAL_LOAD_SMOOTHING * (
            state.external_load - before
        )
        if load.stretch is not None and state.stretch is not None:
            self.uneven_service(target.service).usual_stretch.observe(state.stretch)

    def uneven_service(self, service: ServiceName) -> UnevenService:
        """Return the state of a service whose targets report their stretch."""
        if service not in self.uneven:
            self.speeds[service] = EngineSpeed(UNEVEN_EVENT_GAP_PRIOR)
            self.uneven[service] = UnevenService(
                self.zone, self.clock, OTHER_ZONE_PENALTY_S, OTHER_ZONE_LOAD_PENALTY
            )
        return self.uneven[service]

    def check_slow(self) -> None:
        """Log changes of which targets are slow."""
        for service, uneven in self.uneven.items():
            uneven.check_slow(self.by_service.get(service, ()))

    def own_loads(self) -> dict[IncarnationName, EntryLoad]:
        """Return what this entry has at targets and has observed since the last call."""
        now = self.clock()
        loads = {}
        for service in self.uneven:
            for state in self.by_service.get(service, ()):
                load = state.entry_load(now)
                if load != NOTHING_TO_SHARE:
                    loads[state.target.incarnation] = load
        return loads

    def record_shared(self, loads: Mapping[IncarnationName, TargetLoad], as_of: float) -> None:
        """Record what other entries have at targets.

        Parameters
        ----------
        loads : mapping
            Loads by target; a target that is missing has none.
        as_of : float
            Monotonic time in seconds for which they hold.
        """
        for service in self.uneven:
            for state in self.by_service.get(service, ()):
                state.record_shared(loads.get(state.target.incarnation, NOTHING_SHARED), as_of)

    def record_turn(
        self, choice: Choice, first_event_s: float, seconds: float, events: int
    ) -> None:
        """Record a complete stream, with the seconds to its first event and to its end."""
        state = self._state(choice.target)
        if state is None:
            return
        uneven = self.uneven.get(choice.target.service)
        stretch = slowness = 1.0
        if uneven:
            stretch = uneven.stretch_during(state, seconds)
            slowness = uneven.slowness_to_mean(state, self.by_service[choice.target.service])
        turn = CompletedTurn(
            choice.load / state.slots,
            choice.prefill_tokens,
            first_event_s,
            seconds,
            events,
            stretch,
            slowness,
        )
        ratio = self.speed_of(choice.target.service).observe(turn)
        if uneven and events > 1:
            state.observe_ratio(bounded_ratio(ratio), self.clock())
        state.record_success()
        state.observe(ratio)

    def record_success(self, target: Target, unit_s: float) -> None:
        """Record a complete answer that is no stream.

        Parameters
        ----------
        target : Target
            Target that answered.
        unit_s : float
            Duration of the answer in seconds.
        """
        state = self._state(target)
        if state is None:
            return
        state.record_success()
        if uneven := self.uneven.get(target.service):
            unit_s /= uneven.stretch_during(state, unit_s)
        state.observe(unit_s)

    def record_failure(self, target: Target, is_error: bool = False) -> None:
        """Record that a target broke off, was unreachable, or answered with an error."""
        state = self._state(target)
        if state is None:
            return
        state.record_failure(is_error)
        if target.service in self.uneven:
            self.load_changed(True)


def _cheapest(choices: list[TargetChoice], key: str) -> TargetChoice:
    """Return the choice with the least cost, by the weight of its target among equal ones."""
    least = min(choice[0] for choice in choices)
    equal = [choice for choice in choices if choice[0] == least]
    if len(equal) == 1:
        return equal[0]
    return min(equal, key=lambda choice: weight(key, choice[1].target.target))


__all__ = ["Balancer", "Choice", "History"]
