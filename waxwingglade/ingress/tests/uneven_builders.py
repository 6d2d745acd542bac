"""Builders of services with targets of different speed, for tests of the ingress."""

from waxwingglade.base import TargetId, ZoneId
from waxwingglade.decisions.shared_load import TargetLoad
from waxwingglade.follow.model import EngineTraits, Service, ServiceName, Target
from waxwingglade.ingress.balance import Balancer, Choice, History
from waxwingglade.ingress.dialect import Call, LoadStamp, PromptPart
from waxwingglade.ingress.tests.builders import call, target, targets

CACHE_TOKENS = 225_391
SHARED_TOKENS = 12_600
MODELS = Service(ServiceName("engines"), 100, EngineTraits(8, CACHE_TOKENS, 30), "/health")
PREFILL_TOKENS_PER_MS = 471
SLOW, FAST = 1.9, 0.87


def turn(name: str, own_tokens: int = 1_680, shared: str = "shared") -> Call:
    """Return a turn of a program of the same name."""
    made = call(name, name)
    made.prompt_parts = (PromptPart(shared, SHARED_TOKENS), PromptPart(f"own-{name}", own_tokens))
    made.max_output_tokens = 210
    return made


class Fleet:
    """An entry with engines or plain targets, all in its zone if not stated otherwise.

    Parameters
    ----------
    slowness : sequence of float
        Slowness of each target, as observed by all entries; their names are e0, e1 and so on.
    """

    def __init__(self, *slowness: float, service: str = "engines", zones: int = 1) -> None:
        self.now = 100.0
        self.slowness = slowness
        self.balancer = Balancer(ZoneId("zone-0"), lambda: self.now)
        self.targets = [
            target(f"e{number}", service, f"zone-{number % zones}")
            for number in range(len(slowness))
        ]
        self.balancer.update(targets(*self.targets))
        for each in self.targets:
            self.report(each.target, 1.0)
        self.balancer.speed_of(MODELS.name).prefill.slope = 1 / PREFILL_TOKENS_PER_MS
        self.share()

    def report(self, name: TargetId | str, stretch: float) -> None:
        """Let a target report a stretch to this entry, and the load that the entry knows."""
        one = self.target(name)
        in_flight = self.balancer.states[one.target].in_flight
        self.balancer.record_load(one, LoadStamp(in_flight, 0, 8, stretch))

    def share(self, **loads: TargetLoad) -> None:
        """Receive what the other entries observed."""
        for each, slowness in zip(self.targets, self.slowness, strict=True):
            state = self.balancer.states[each.target]
            state.shared = loads.get(each.target, TargetLoad(slowness=slowness, turns=50.0))
            state.shared_at = self.now

    def target(self, name: TargetId | str) -> Target:
        """Return a target."""
        return next(each for each in self.targets if each.target == name)

    def place(self, placed: Call, holder: str | None = None, service: Service = MODELS) -> Choice:
        """Choose a target for a call and send it; a holder is the target of the turns before."""
        history = History(self.target(holder).incarnation if holder else None)
        choice = self.balancer.choose(service, placed, (), history)
        assert choice is not None
        self.balancer.record_sent(choice.target, placed)
        return choice

    def complete(self, choice: Choice, gap_s: float, events: int = 7, stretch: float = 1.0) -> None:
        """Let a turn end, with the time between its events and the stretch that it reports."""
        self.now += 0.05
        self.report(choice.target.target, stretch)
        self.now += gap_s * (events - 1)
        seconds = 0.05 + gap_s * (events - 1)
        self.balancer.record_turn(choice, 0.05, seconds, events)


__all__ = ["CACHE_TOKENS", "FAST", "MODELS", "SHARED_TOKENS", "SLOW", "Fleet", "turn"]
