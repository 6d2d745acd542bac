"""A table and a plot of the outcomes of the policies."""

import statistics
from collections.abc import Sequence
from pathlib import Path
from typing import Protocol

from bench.turns.play import Outcome

HEADER = f"{'sheet':14}{'policy':16}{'worth':>7}{'p5':>7}{'before':>8}{'after':>7}{'again':>7}"


class Played(Protocol):
    """Outcomes of all seeds of one sheet under one policy."""

    sheet: str
    policy: str
    outcomes: list[Outcome]


def table(played: dict[str, list[Played]], known: int) -> str:
    """Return a line for each known sheet and policy, and one per policy for all random sheets.

    Parameters
    ----------
    played : dict
        Outcomes for each policy, in the order of the sheets.
    known : int
        Number of sheets at the start of the list that get lines of their own.
    """
    lines = [HEADER]
    for index in range(known):
        for policy, plays in played.items():
            lines.append(_line(plays[index].sheet, policy, plays[index].outcomes))
    for policy, plays in played.items():
        outcomes = [outcome for each in plays[known:] for outcome in each.outcomes]
        if outcomes:
            lines.append(_line(f"{len(plays) - known} random", policy, outcomes))
    return "\n".join(lines)


def _line(sheet: str, policy: str, outcomes: Sequence[Outcome]) -> str:
    worth = sorted(outcome.worth for outcome in outcomes)
    values = [
        statistics.fmean(worth),
        worth[len(worth) // 20],
        statistics.fmean(outcome.before for outcome in outcomes),
        statistics.fmean(outcome.after for outcome in outcomes),
        statistics.fmean(outcome.read_again for outcome in outcomes),
    ]
    worth_mean, p5, before, after, read_again = values
    return (
        f"{sheet:14}{policy:16}{worth_mean:7.3f}{p5:7.3f}{before:8.3f}{after:7.3f}{read_again:7.3f}"
    )


def draw(played: dict[str, list[Played]], path: Path) -> None:
    """Draw the sorted worth of all sheets for each policy, as a PNG."""
    import matplotlib  # noqa: PLC0415 (slow to import, and needed for a plot only)

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for policy, plays in played.items():
        worth = sorted(outcome.worth for each in plays for outcome in each.outcomes)
        shares = [(index + 0.5) / len(worth) for index in range(len(worth))]
        axes.plot(shares, worth, label=policy)
    axes.set_xlabel("share of the sheets")
    axes.set_ylabel("worth")
    axes.set_ylim(0, 1.02)
    axes.legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(path, dpi=120)


__all__ = ["draw", "table"]
