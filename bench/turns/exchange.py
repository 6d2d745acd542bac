"""Exchange of loads between the simulated entries, without the network."""

from collections.abc import Iterable

from bench.turns.policies import Policy, ProductPolicy
from waxwingglade.decisions.shared_load import EntryLoad, TargetLoad

DECAY = 0.97
"""Factor by which each exchange reduces the weight of earlier turns."""


def exchange(policies: Iterable[Policy], now: float) -> None:
    """Tell each entry what the others have in progress at each target."""
    balancers = [policy.balancer for policy in policies if isinstance(policy, ProductPolicy)]
    for target in balancers[0].states if balancers else ():
        states = [balancer.states[target] for balancer in balancers]
        reports = [state.entry_load(now) for state in states]
        for state, own in zip(states, reports, strict=True):
            state.shared = _combine(reports, own, state.shared)
            state.shared_at = now


def _combine(reports: list[EntryLoad], own: EntryLoad, before: TargetLoad | None) -> TargetLoad:
    turns = sum(report.turns for report in reports)
    slowness_sum = sum(report.slowness_sum for report in reports)
    if before is not None and before.slowness is not None:
        turns += DECAY * before.turns
        slowness_sum += DECAY * before.turns * before.slowness
    latest = min(
        (report for report in reports if report.stretch is not None),
        key=lambda report: report.stretch_age_s,
        default=EntryLoad(),
    )
    return TargetLoad(
        sum(report.in_flight for report in reports) - own.in_flight,
        sum(report.tokens for report in reports) - own.tokens,
        latest.stretch,
        latest.stretch_age_s,
        slowness_sum / turns if turns else None,
        turns,
    )


__all__ = ["exchange"]
