"""``python -m tests.run`` runs every test file of the project."""

import unittest
from collections.abc import Iterator

from tests.run import ROOT, collect, folders


class Discovery(unittest.TestCase):
    def test_no_test_file_is_left_out(self):
        """Guards against a package without ``__init__.py``, which discovery skips silently."""
        discovered_modules = {type(test).__module__ for test in tests_of(collect([]))}
        files = [path for top in folders() for path in (ROOT / top).rglob("test_*.py")]
        modules = {".".join(path.relative_to(ROOT).with_suffix("").parts) for path in files}
        self.assertEqual(set(), modules - discovered_modules)


def tests_of(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield the tests of a suite and of its nested suites."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from tests_of(test)
        else:
            yield test
