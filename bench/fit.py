"""Least-squares fits with the errors of their coefficients."""

from collections.abc import Mapping, Sequence

import msgspec
import numpy

INTERCEPT = "intercept"


class Estimate(msgspec.Struct, frozen=True):
    """A fitted coefficient and its standard error, in the same unit."""

    value: float
    error: float

    def times(self, factor: float) -> "Estimate":
        """Return the estimate scaled by `factor`."""
        return Estimate(self.value * factor, self.error * abs(factor))

    def plus(self, other: "Estimate") -> "Estimate":
        """Return the sum of two estimates whose errors are independent."""
        return Estimate(self.value + other.value, (self.error**2 + other.error**2) ** 0.5)


class Fit(msgspec.Struct, frozen=True):
    """A linear model of measured values.

    Parameters
    ----------
    coefficients : dict
        Estimate for each input by name, and for the intercept where there is one.
    r_squared : float
        Share of the variance that the model explains.
    points : int
        Number of measurements.
    """

    coefficients: dict[str, Estimate]
    r_squared: float
    points: int

    def __getitem__(self, name: str) -> Estimate:
        return self.coefficients[name]

    @property
    def intercept(self) -> Estimate:
        """Value of the model where every input is 0."""
        return self.coefficients[INTERCEPT]

    def at(self, **inputs: float) -> float:
        """Return the value that the model predicts for the given inputs."""
        base = self.coefficients.get(INTERCEPT, Estimate(0.0, 0.0)).value
        return base + sum(self.coefficients[name].value * x for name, x in inputs.items())


def fit(
    inputs: Mapping[str, Sequence[float]],
    values: Sequence[float],
    intercept: bool = True,
    relative: bool = False,
) -> Fit:
    """Fit ``value = intercept + sum(coefficient * input)``.

    Parameters
    ----------
    inputs : mapping of str to sequence of float
        Values of each input, one for each measurement.
    values : sequence of float
        Measured values.
    intercept : bool
        Whether the model has a constant term.
    relative : bool
        Whether to minimise relative errors, so that large values do not dominate; no value may be
        0.

    Returns
    -------
    Fit
        Coefficients with standard errors, which are infinite unless there are more measurements
        than coefficients.
    """
    names = [*inputs, INTERCEPT] if intercept else list(inputs)
    columns = [numpy.asarray(inputs[name], float) for name in inputs]
    if intercept:
        columns.append(numpy.ones(len(values)))
    design = numpy.column_stack(columns)
    measured = numpy.asarray(values, float)
    if relative:
        design = design / measured[:, None]
        measured = numpy.ones(len(values))
    solution, _, rank, _ = numpy.linalg.lstsq(design, measured, rcond=None)
    if rank < len(names):
        raise ValueError("the inputs are linearly dependent, so the coefficients are undetermined")
    residuals = measured - design @ solution
    errors = _errors(design, residuals)
    estimates = zip(solution, errors, strict=True)
    coefficients = dict(
        zip(names, (Estimate(float(v), float(e)) for v, e in estimates), strict=True)
    )
    scaled = numpy.asarray(values, float)
    explained = _r_squared(scaled, residuals * scaled if relative else residuals)
    return Fit(coefficients, explained, len(values))


def line(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Fit a straight line; its slope is the coefficient ``x``."""
    return fit({"x": xs}, ys)


def _errors(design: numpy.ndarray, residuals: numpy.ndarray) -> numpy.ndarray:
    degrees_of_freedom = design.shape[0] - design.shape[1]
    if degrees_of_freedom <= 0:
        return numpy.full(design.shape[1], numpy.inf)
    variance = float(residuals @ residuals) / degrees_of_freedom
    return numpy.sqrt(variance * numpy.diag(numpy.linalg.inv(design.T @ design)))


def _r_squared(measured: numpy.ndarray, residuals: numpy.ndarray) -> float:
    total_variation = float(((measured - measured.mean()) ** 2).sum())
    if total_variation == 0.0:
        return 1.0
    return 1.0 - float(residuals @ residuals) / total_variation
