"""Input and results of one simulated run of a workload."""

import msgspec


class Scenario(msgspec.Struct, frozen=True):
    """Load as a share of 100%, and the fault of the first engine, if any."""

    load: float
    slow_engine: bool = False
    lost_engine: bool = False


class ProgramResult(msgspec.Struct):
    """Result of a program; `latency_s` is the time to its end or failure."""

    program_class: str
    latency_s: float
    finished: bool
    refusals: int = 0


class RunResult(msgspec.Struct):
    """Measurements of one run."""

    programs: list[ProgramResult]
    prompt_tokens: int
    prefilled_tokens: int
    wasted_tokens: int
    ended_token_s: float
    decision_us: list[float]


class ProgramFailed(Exception):
    """Raised when a program cannot end before its deadline."""


__all__ = ["ProgramFailed", "ProgramResult", "RunResult", "Scenario"]
