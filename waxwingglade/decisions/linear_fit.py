"""Linear regression over recent observations, regularised by a prior."""

import msgspec

DECAY = 0.98
"""Factor by which each new observation reduces the weight of the earlier ones.  The last 50, one to
two seconds of an entry's turns under load, have about two thirds of the total weight."""

PRIOR_WEIGHT = 1.0
"""Weight of each end of the prior, in observations.  It is constant, so that the slope is defined
even if all observations have the same x."""

MAX_DEVIATION_FACTOR = 3.0
"""Limit of an observation, as a multiple of the predicted value.  A connection that stalls for
seconds carries no information on an engine's speed."""


class Prior(msgspec.Struct, frozen=True):
    """Line that is assumed before the first observation.

    Parameters
    ----------
    at_0, at_1 : float
        Values of the line at 0 and 1, in the unit of the observations.
    min_slope, max_slope : float
        Bounds of the line's slope.
    min_relative_slope : float
        Least slope as a multiple of the value at 0.  If x is known only roughly, the fitted slope
        is too small.
    """

    at_0: float
    at_1: float
    min_slope: float
    max_slope: float
    min_relative_slope: float = 0.0


class FadingLinearFit:
    """Least-squares line with exponentially decaying weights of the observations.

    Parameters
    ----------
    prior : Prior
        Line before the first observation.
    """

    def __init__(self, prior: Prior) -> None:
        self.prior = prior
        self.weight = 0.0
        self.x = self.y = self.xx = self.xy = 0.0
        self.intercept, self.slope = prior.at_0, prior.at_1 - prior.at_0

    def predict(self, x: float) -> float:
        """Return the value of the line at `x`."""
        return self.intercept + self.slope * x

    def observe(self, x: float, y: float) -> None:
        """Update the line with an observation."""
        y = min(y, MAX_DEVIATION_FACTOR * self.predict(x))
        self.weight = DECAY * self.weight + 1
        self.x = DECAY * self.x + x
        self.y = DECAY * self.y + y
        self.xx = DECAY * self.xx + x * x
        self.xy = DECAY * self.xy + x * y
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
        if self.slope < prior.min_relative_slope * self.intercept:
            self.intercept = y / (weight + prior.min_relative_slope * x)
            self.slope = prior.min_relative_slope * self.intercept


__all__ = ["FadingLinearFit", "Prior"]
