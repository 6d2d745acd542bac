"""Report of the demo's measurements for each program class."""

from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec

from waxwingglade.demo.session import Measurement
from waxwingglade.standins import Effect

ONCE_ONLY = frozenset({"booking", "notice", "order"})
"""Tools whose calls must have at most one effect."""


class ClassReport(msgspec.Struct):
    """Measurements of one class; times are in seconds, None if no program finished.

    `wasted_cache` is the fraction of the reusable prompt tokens that were prefilled again.
    Reusable tokens were prefilled before for the same program; without any, the fraction is None.
    """

    program_class: str
    started: int
    finished: int
    p50_s: float | None
    p95_s: float | None
    p99_s: float | None
    wasted_cache: float | None
    effects: int
    doubled: int
    refusals: int


class DemoReport(msgspec.Struct):
    """Measurements of all classes, and the token-seconds that engines held for ended programs."""

    classes: list[ClassReport]
    ended_token_seconds: float


def report_classes(measured: Sequence[Measurement], effects: Iterable[Effect]) -> list[ClassReport]:
    """Return one report for each class, in the order of the class names."""
    class_of = {name: each.program_class for each in measured for name in each.programs}
    effects_of: dict[str, Counter[str]] = {}
    for effect in effects:
        if effect.tool in ONCE_ONLY:
            program = effect.key.rpartition(".")[0]
            effects_of.setdefault(class_of.get(program, ""), Counter())[effect.key] += 1
    names = sorted({each.program_class for each in measured})
    return [
        _report(
            name,
            [each for each in measured if each.program_class == name],
            effects_of.get(name, Counter()),
        )
        for name in names
    ]


def _report(name: str, measured: list[Measurement], effects: Counter[str]) -> ClassReport:
    times = sorted(each.seconds for each in measured if each.finished)
    reusable = sum(each.reusable_tokens for each in measured)
    wasted = sum(each.wasted_tokens for each in measured)
    return ClassReport(
        program_class=name,
        started=len(measured),
        finished=len(times),
        p50_s=percentile(times, 0.50),
        p95_s=percentile(times, 0.95),
        p99_s=percentile(times, 0.99),
        wasted_cache=wasted / reusable if reusable else None,
        effects=effects.total(),
        doubled=sum(count - 1 for count in effects.values()),
        refusals=sum(each.refusals for each in measured),
    )


def percentile(ordered: Sequence[float], fraction: float) -> float | None:
    """Return the least value that is not exceeded by at least a fraction of the ordered values."""
    if not ordered:
        return None
    rank = max(1, -(-len(ordered) * fraction // 1))
    return ordered[int(rank) - 1]
