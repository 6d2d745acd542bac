"""A straight line through what was observed lately, drawn to a prior while little was."""

import msgspec

FORGETTING = 0.98
"""Weight that an observation keeps with each later one: the last 50 make up two thirds of the line,
a second or two of an entry's turns under load."""

PRIOR_WEIGHT = 1.0
"""Observations that each end of the prior counts as; it never fades, so that where all observations
lie at one place the line still has a slope."""

OUTLIER = 3.0
"""How many times what the line says an observation may count as; a connection that hung for seconds
says nothing of an engine's pace."""


class Prior(msgspec.Struct, frozen=True):
    """What is assumed before anything was observed.

    Parameters
    ----------
    at_0, at_1 : float
        Values of the line at 0 and 1, in the unit of what is observed.
    min_slope, max_slope : float
        Bounds of the line's rise from 0 to 1.
    """

    at_0: float
    at_1: float
    min_slope: float
    max_slope: float


class FadingLinearFit:
    """A line fitted by least squares, in which observations fade with each later one.

    Parameters
    ----------
    prior : Prior
        What it begins with.
    """

    def __init__(self, prior: Prior) -> None:
        self.prior = prior
        self.weight = 0.0
        self.x = self.y = self.xx = self.xy = 0.0
        self.intercept, self.slope = prior.at_0, prior.at_1 - prior.at_0

    def predict(self, x: float) -> float:
        """Return the line's value at a place."""
        return self.intercept + self.slope * x

    def observe(self, x: float, y: float) -> None:
        """Take in an observation."""
        y = min(y, OUTLIER * self.predict(x))
        self.weight = FORGETTING * self.weight + 1
        self.x = FORGETTING * self.x + x
        self.y = FORGETTING * self.y + y
        self.xx = FORGETTING * self.xx + x * x
        self.xy = FORGETTING * self.xy + x * y
        self._fit()

    def _fit(self) -> None:
        prior = self.prior
        weight = self.weight + 2 * PRIOR_WEIGHT
        x = self.x + PRIOR_WEIGHT
        y = self.y + PRIOR_WEIGHT * (prior.at_0 + prior.at_1)
        xx = self.xx + PRIOR_WEIGHT
        xy = self.xy + PRIOR_WEIGHT * prior.at_1
        slope = (weight * xy - x * y) / (weight * xx - x * x)
        self.slope = min(prior.max_slope, max(prior.min_slope, slope))
        self.intercept = max(0.0, (y - self.slope * x) / weight)


__all__ = ["FadingLinearFit", "Prior"]
