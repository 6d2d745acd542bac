"""Choice among the targets of a service that report the stretch of their VMs.

Such targets are uneven: they differ in speed, share their VMs with others, and their engines may
run out of memory.  A service is treated so from the first report of a stretch on; the choice for
all other services is unaffected.
"""

from collections.abc import Sequence

import msgspec
from loguru import logger

from waxwingglade.base import Clock, ZoneId
from waxwingglade.base.rendezvous import weight
from waxwingglade.decisions.candidates import candidates
from waxwingglade.decisions.engine_memory import (
    EngineMemory,
    has_room,
    own_tokens,
    preemption_by_rank,
    preemption_s,
)
from waxwingglade.decisions.engine_speed import EngineSpeed
from waxwingglade.decisions.placement import Engine
from waxwingglade.decisions.program_cost import UnevenEngine, move_margin_s, program_cost_s
from waxwingglade.decisions.stretch import UsualStretch, expected_stretch
from waxwingglade.follow.model import IncarnationName
from waxwingglade.ingress.dialect import Call
from waxwingglade.ingress.target_state import TargetState

SECONDS_DIGITS, LOAD_DIGITS = 4, 1
"""Decimals to which costs are rounded, so that equal targets are chosen by hash."""

TargetChoice = tuple[float, TargetState, int]
"""Cost of a target, the target, and the tokens to prefill there."""


class UnevenTurn(msgspec.Struct, frozen=True):
    """A turn for which an engine is chosen.

    Parameters
    ----------
    request : str
        Id of the turn.
    remaining : float
        Expected number of turns that its program still sends, with this one.
    tokens : int
        Memory that it needs at an engine beside shared parts.
    prompt_tokens, own_prompt_tokens : int
        Length of its prompt, and of the part that it shares with no other program.
    cache_tokens : int
        Memory of an engine of the service, 0 if unknown.
    holder : IncarnationName or None
        Engine that has cached the history of the program, if it is known.
    less_urgent : float
        Share of the turns at engines that are less urgent.
    """

    request: str
    remaining: float
    tokens: int
    prompt_tokens: int
    own_prompt_tokens: int
    cache_tokens: int
    holder: IncarnationName | None = None
    less_urgent: float = 0.0


class Option(msgspec.Struct, frozen=True):
    """A target, its estimated load, and the tokens that it would have to prefill."""

    state: TargetState
    load: float
    prefill_tokens: int = 0


class UnevenService:
    """What an entry knows about the targets of a service that report their stretch.

    Parameters
    ----------
    zone : ZoneId
        Availability zone of the entry.
    clock : Clock
        Monotonic seconds.
    other_zone_s : float
        Seconds that count for each turn at an engine of another zone.
    other_zone_load : float
        What counts for a target without an engine in another zone, as a share of its slots.
    """

    def __init__(
        self, zone: ZoneId, clock: Clock, other_zone_s: float, other_zone_load: float
    ) -> None:
        self.zone = zone
        self.clock = clock
        self.other_zone_s = other_zone_s
        self.other_zone_load = other_zone_load
        self.usual_stretch = UsualStretch()
        self.memory = EngineMemory()

    def pace(self, state: TargetState, duration_s: float) -> tuple[float, float]:
        """Return how many times longer work takes at a target now, and later."""
        slowness, _ = state.relative_slowness(self.clock())
        return self._stretched(state, slowness, duration_s)

    def _stretched(
        self, state: TargetState, slowness: float, duration_s: float
    ) -> tuple[float, float]:
        usual = self.usual_stretch.mean
        current = expected_stretch(state.stretch_report(self.clock()), usual, duration_s)
        return slowness * current, slowness * usual

    def stretch_during(self, state: TargetState, seconds: float) -> float:
        """Return the stretch that applied during work that ended now after some seconds."""
        if state.stretch is None or self.clock() - state.stretch_at > seconds:
            return self.usual_stretch.mean
        return state.stretch

    def slowness_to_mean(self, state: TargetState, states: Sequence[TargetState]) -> float:
        """Return the slowness of a target as a multiple of the mean over all targets."""
        now = self.clock()
        mean = sum(each.relative_slowness(now)[0] for each in states) / len(states)
        return state.relative_slowness(now)[0] / mean

    def engine_choices(
        self,
        speed: EngineSpeed,
        turn: UnevenTurn,
        states: Sequence[TargetState],
        prefill_tokens: Sequence[int],
        external_load: float,
    ) -> list[TargetChoice]:
        """Return the choices for a turn.

        An engine without memory for the turn costs the time that a preemption takes from its
        victim.  It remains a choice: a move elsewhere needs a prefill, too.

        Parameters
        ----------
        speed : EngineSpeed
            Estimated speed of the service's engines.
        turn : UnevenTurn
            The turn.
        states : sequence of TargetState
            The engines.
        prefill_tokens : sequence of int
            Tokens that each engine would have to prefill.
        external_load : float
            Average number of requests that other entries have at an engine.
        """
        now = self.clock()
        options = [
            Option(state, state.load(now, external_load), tokens)
            for state, tokens in zip(states, prefill_tokens, strict=True)
        ]
        for option in options:
            option.state.observe_load(option.load, now)
        chosen = self._candidates(turn.request, options)
        cached = [option for option in options if _is_holder(turn, option)]
        cached.append(min(options, key=lambda option: _prefill_order(turn, option)))
        chosen += [option for option in cached if option not in chosen]
        return [self._engine_choice(speed, turn, option) for option in chosen]

    def _engine_choice(self, speed: EngineSpeed, turn: UnevenTurn, option: Option) -> TargetChoice:
        state = option.state
        current, later = self.pace(state, speed.generation_s(1.0))
        # The mean load would let the first turns of a burst crowd at the fast engines; the current
        # one would let running programs move with each change of load.
        later_load = option.load if turn.holder is None else state.mean_load
        engine = UnevenEngine(
            Engine(option.load, state.slots, current),
            Engine(later_load, state.slots, later),
            0.0 if state.target.zone == self.zone else self.other_zone_s,
        )
        cost_s = program_cost_s(speed, engine, option.prefill_tokens, turn.remaining)
        if turn.holder is not None and not _is_holder(turn, option):
            cost_s += move_margin_s(speed, turn.remaining)
        preempted = 1.0
        if self._fits(turn, option):
            preempted = preemption_by_rank(option.load, state.slots, turn.less_urgent)
        if preempted:
            # The later turns of the program will find as little room.
            each_s = preemption_s(speed, engine.now, turn.prompt_tokens)
            cost_s += turn.remaining * preempted * each_s
        return round(cost_s, SECONDS_DIGITS), state, option.prefill_tokens

    def _candidates(self, key: str, options: list[Option]) -> list[Option]:
        """Return a few options of each zone while entries share their loads, otherwise all of them.

        Most requests stay within the zone, as a partition would interrupt all others.
        """
        now = self.clock()
        if all(option.state.fresh_shared(now) is None for option in options):
            return options
        near = [option for option in options if option.state.target.zone == self.zone]
        far = [option for option in options if option.state.target.zone != self.zone]
        return [
            option
            for places in (near, far)
            for option in candidates(key, places, lambda option: option.state.target.target)
        ]

    def _fits(self, turn: UnevenTurn, option: Option) -> bool:
        """Return whether the memory of an engine suffices for a turn beside the running ones."""
        now = self.clock()
        state, load = option.state, option.load
        running_share = min(1.0, state.slots / (load + 1))
        held = running_share * state.held_tokens(now, load, self.memory.mean_turn_tokens)
        shared = self.memory.shared_tokens(min(load + 1, state.slots), now)
        held += max(shared, turn.prompt_tokens - turn.own_prompt_tokens)
        return has_room(turn.cache_tokens, held, turn.tokens)

    def plain_choices(
        self, key: str, states: Sequence[TargetState], usual_s: float, external_load: float
    ) -> list[TargetChoice]:
        """Return the choices for a call of a service without engines; costs are shares of a call.

        Parameters
        ----------
        key : str
            Affinity key or request, by which entries agree among equal targets.
        states : sequence of TargetState
            The targets.
        usual_s : float
            Median duration of a call in seconds, 0 if unknown.
        external_load : float
            Average number of requests that other entries have at a target.
        """
        now = self.clock()
        options = [Option(state, state.load(now, external_load)) for state in states]
        with_slots = [option for option in options if option.load < option.state.slots]
        chosen = self._candidates(key, with_slots or options)
        return [self._plain_choice(option, usual_s) for option in chosen]

    def _plain_choice(self, option: Option, usual_s: float) -> TargetChoice:
        state, load = option.state, option.load
        cost = 1 + max(0.0, load - state.slots + 1) + load / state.slots
        current, _ = self._stretched(state, state.slowness(usual_s), usual_s)
        cost *= current
        if state.target.zone != self.zone:
            cost += self.other_zone_load
        return round(cost, LOAD_DIGITS), state, 0

    def check_slow(self, states: Sequence[TargetState]) -> None:
        """Log which targets have become slow, and which are as fast as usual again."""
        now = self.clock()
        for state in states:
            slowness, turns = state.relative_slowness(now)
            since = state.speed.slow_since
            if not state.speed.check_slow(slowness, turns, now):
                continue
            log = logger.bind(target=state.target.target, slowness=round(slowness, 2))
            if since is None:
                log.warning("target is slow")
            else:
                log.bind(seconds=round(now - since, 1)).info("target is no longer slow")


def _is_holder(turn: UnevenTurn, option: Option) -> bool:
    return turn.holder is not None and option.state.target.incarnation == turn.holder


def _prefill_order(turn: UnevenTurn, option: Option) -> tuple[int, int]:
    return option.prefill_tokens, weight(turn.request, option.state.target.target)


def part_tokens(call: Call) -> list[tuple[str, int]]:
    """Return the names and tokens of the parts of a call's prompt."""
    return [(part.part, part.tokens) for part in call.prompt_parts]


def memory_tokens(call: Call) -> int:
    """Return the memory that a turn is expected to need at an engine beside shared parts."""
    output = call.max_output_tokens
    if call.output_hint is not None:
        output = min(output, call.output_hint)
    return own_tokens(part_tokens(call), output)


__all__ = ["TargetChoice", "UnevenService", "UnevenTurn", "memory_tokens", "part_tokens"]
