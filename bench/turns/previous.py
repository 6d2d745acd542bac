"""The former placement: constants for the engines of two firms, and no sharing between entries."""

from collections import OrderedDict

from waxwingglade.base import Clock, ProgramId, TargetId, ZoneId
from waxwingglade.base.rendezvous import weight
from waxwingglade.decisions.placement import home_targets
from waxwingglade.follow.model import Service, Target
from waxwingglade.ingress.balance import Balancer, History
from waxwingglade.ingress.dialect import Call
from waxwingglade.ingress.target_state import TargetState

PREFILL_TOKENS_PER_S = 247_000.0
TURN_S = 0.22
BATCH_SLOWDOWN = 0.6
SHARED_WEIGHT = 4.0
OTHER_ZONE_S = 0.03


class PreviousBalancer(Balancer):
    """Chooses engines by constants; `last_target` records only what this entry has sent."""

    def __init__(self, zone: ZoneId, clock: Clock) -> None:
        super().__init__(zone, clock)
        self.last_target: OrderedDict[ProgramId | None, TargetId] = OrderedDict()

    def record_sent(self, target: Target, call: Call) -> None:
        """Record a sent request."""
        super().record_sent(target, call)
        self.last_target[call.program] = target.target

    def _engine_choices(
        self,
        service: Service,
        call: Call,
        states: list[TargetState],
        usual_s: float,
        history: History | None,
    ) -> list[tuple[float, TargetState, int]]:
        now = self.clock()
        shared = call.prompt_parts[0]
        home = home_targets(shared.part, [(s.target.target, s.target.zone) for s in states])
        home_in_zone = [
            state.target.target
            for state in states
            if state.target.target in home and state.target.zone == self.zone
        ]
        hashed = max(home_in_zone, key=lambda name: weight(call.program, name), default=None)
        preferred = self.last_target.get(call.program, hashed)
        choices = []
        for state in states:
            load = state.load(now)
            seconds = TURN_S * (1 + BATCH_SLOWDOWN * min(1.0, load / state.slots))
            if load >= state.slots:
                seconds += TURN_S * (load - state.slots + 1) / state.slots
            tokens = 0.0
            if shared.part not in state.cached_parts and state.target.target not in home:
                tokens += SHARED_WEIGHT * shared.tokens
            own = call.prompt_parts[-1]
            if own.part not in state.cached_parts and state.target.target != preferred:
                tokens += own.tokens
            seconds += tokens / PREFILL_TOKENS_PER_S * (1 + load / state.slots)
            if state.target.zone != self.zone:
                seconds += OTHER_ZONE_S
            choices.append((seconds, state, 0))
        return choices


__all__ = ["PreviousBalancer"]
