"""Fits of known lines, and the load of one entry at the fleet's target size."""

import math
import unittest

from bench.fit import Estimate, fit, line
from bench.fleet import FleetSize
from bench.report import percentile, spread


class Fits(unittest.TestCase):
    def test_exact_line_is_fitted_exactly(self):
        fitted = line([1, 2, 3, 4], [5, 7, 9, 11])
        self.assertAlmostEqual(2.0, fitted["x"].value)
        self.assertAlmostEqual(3.0, fitted.intercept.value)
        self.assertAlmostEqual(0.0, fitted["x"].error)
        self.assertAlmostEqual(1.0, fitted.r_squared)
        self.assertAlmostEqual(23.0, fitted.at(x=10))

    def test_error_of_a_slope_is_its_standard_error(self):
        # Residuals are 1, -2, 1 for a slope of 1: the variance is 6 / 1, the spread of x is 2.
        fitted = line([0, 1, 2], [1, -1, 3])
        self.assertAlmostEqual(1.0, fitted["x"].value)
        self.assertAlmostEqual(math.sqrt(6 / 2), fitted["x"].error)

    def test_two_inputs_have_separate_coefficients(self):
        tokens, calls = [10, 20, 10, 40], [1, 1, 5, 2]
        values = [3 + 0.5 * t + 7 * c for t, c in zip(tokens, calls, strict=True)]
        fitted = fit({"tokens": tokens, "calls": calls}, values)
        self.assertAlmostEqual(0.5, fitted["tokens"].value)
        self.assertAlmostEqual(7.0, fitted["calls"].value)

    def test_linearly_dependent_inputs_are_rejected(self):
        with self.assertRaises(ValueError):
            fit({"a": [1, 2, 3], "b": [2, 4, 6]}, [1, 2, 3])

    def test_error_is_infinite_without_degrees_of_freedom(self):
        self.assertEqual(math.inf, line([1, 2], [1, 2])["x"].error)

    def test_relative_fit_is_not_dominated_by_large_values(self):
        # One large value is 10% off; the small values lie on y = 2 x.
        xs, ys = [1, 2, 4, 1000], [2, 4, 8, 2200]
        absolute, relative = fit({"x": xs}, ys), fit({"x": xs}, ys, relative=True)
        self.assertGreater(abs(absolute.at(x=1) - 2), 0.1)
        self.assertLess(abs(relative.at(x=1) - 2), 0.1)

    def test_errors_of_sums_combine_as_independent(self):
        total = Estimate(1.0, 3.0).times(2).plus(Estimate(5.0, 8.0))
        self.assertEqual(Estimate(7.0, 10.0), total)


class Reports(unittest.TestCase):
    def test_percentile_is_a_value_by_rank(self):
        values = list(range(100, 0, -1))
        self.assertEqual(51, percentile(values, 0.5))
        self.assertEqual(100, percentile(values, 0.99))
        self.assertEqual(100, percentile(values, 1.0))

    def test_spread_has_median_and_range(self):
        result = spread([3.0, 1.0, 2.0])
        self.assertEqual(
            (2.0, 1.0, 3.0, 3), (result.median, result.least, result.most, result.count)
        )


class Fleet(unittest.TestCase):
    def test_load_of_one_entry(self):
        size = FleetSize()
        self.assertAlmostEqual(30.8, size.calls_per_entry, 1)
        self.assertAlmostEqual(10_769, size.tokens_per_entry, 0)
        self.assertAlmostEqual(350.0, size.tokens_per_call)
        self.assertAlmostEqual(384.6, size.programs_per_entry, 1)
        self.assertAlmostEqual(571.4, size.targets_per_zone, 1)
        self.assertAlmostEqual(12.5, size.seconds_between_turns)
        self.assertAlmostEqual(1_068 / 86_400, size.entry_changes_per_s)
