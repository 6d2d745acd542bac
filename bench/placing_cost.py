"""Processor time for placing a turn by the number of engines: ``python -m bench.placing_cost``."""

import time

from waxwingglade.base import ProgramId, TargetId, ZoneId
from waxwingglade.decisions.admission import AdmissionRequest, retry_after_s
from waxwingglade.follow.model import (
    EngineTraits,
    IncarnationName,
    Revision,
    Service,
    ServiceName,
    Target,
    TargetList,
)
from waxwingglade.ingress.balance import Balancer, History
from waxwingglade.ingress.dialect import Call, PromptPart, RequestId

ENGINES = Service(ServiceName("engines"), 0, EngineTraits(24, 190_000, 3))
SIZES = (10, 30, 100, 300, 600)
TURNS = 500
ZONES = 4


def make_engines(number: int) -> TargetList:
    """Return a number of engines in four zones."""
    targets = [
        Target(
            TargetId(f"i-{n:010x}"), ENGINES.name, f"10.0.0.1:{n + 1}", ZoneId(f"z{n % ZONES}"), 24
        )
        for n in range(number)
    ]
    return TargetList(Revision(1), tuple(targets))


def make_turn(number: int) -> Call:
    """Return a turn of one of 300 programs, with one of 16 shared prompt parts."""
    call = Call(RequestId(f"r{number}"), "POST", "/", "", [])
    call.program = ProgramId(f"p{number % 300}")
    shared = PromptPart(f"shared-{number % 16}", 2_560)
    call.prompt_parts = (shared, PromptPart(f"own-{number % 300}", 2_000))
    return call


def turn_cost_us(number: int) -> float:
    """Return the processor time of one turn from admission to its end, in microseconds."""
    balancer = Balancer(ZoneId("z0"))
    balancer.update(make_engines(number))
    history = History(IncarnationName("i-0000000003"))
    calls = [make_turn(n) for n in range(TURNS)]
    started_at = time.process_time()
    for call in calls:
        speed = balancer.speed_of(ENGINES.name)
        retry_after_s(speed, balancer.engines(ENGINES.name), AdmissionRequest(wait_limit_s=2.0))
        choice = balancer.choose(ENGINES, call, (), history)
        assert choice is not None
        balancer.record_sent(choice.target, call)
        balancer.record_turn(choice, 0.1, 0.5, 11)
        balancer.record_end(choice.target, call)
    return (time.process_time() - started_at) / TURNS * 1e6


def main() -> None:
    """Print a line for each number of engines."""
    for number in SIZES:
        print(f"{number:4d} engines: {turn_cost_us(number):8.0f} µs a turn")


if __name__ == "__main__":
    main()
