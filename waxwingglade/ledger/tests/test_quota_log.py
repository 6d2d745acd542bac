"""What a member logs and counts of the limits of client accounts."""

import unittest

from waxwingglade.base.buffered_metrics import MAX_LABEL_VALUES, OTHER
from waxwingglade.follow.model import ClientAccountId
from waxwingglade.ledger.quota_log import MAX_LOGGED_ACCOUNTS, QuotaLog
from waxwingglade.ledger.tests.log_capture import logged_lines


class QuotaLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.usage = QuotaLog(5.0, lambda: self.now)

    def lines(self) -> list[dict]:
        """Return the lines that are written now."""
        with logged_lines("quota used") as lines:
            self.usage.write_if_due()
        return lines

    def test_each_account_has_one_line_in_an_interval(self) -> None:
        for in_window in (1, 2, 3):
            self.usage.record_granted(ClientAccountId("shop"), in_window)
        self.usage.record_refused(ClientAccountId("shop"))
        self.assertEqual([], self.lines())
        self.now += 5.0
        (line,) = self.lines()
        self.assertEqual((3, 1, 3), (line["granted"], line["refused"], line["highest"]))
        self.now += 5.0
        self.assertEqual([], self.lines())

    def test_many_accounts_add_a_limited_number_of_lines_and_series(self) -> None:
        for number in range(200):
            self.usage.record_granted(ClientAccountId(f"a{number}"), 1)
        self.now += 5.0
        lines = self.lines()
        self.assertEqual(MAX_LOGGED_ACCOUNTS, len(lines))
        self.assertEqual(200 - MAX_LOGGED_ACCOUNTS, lines[0]["left_out"])
        self.assertEqual(200 - MAX_LABEL_VALUES, self.usage.answers[OTHER, "granted"])


if __name__ == "__main__":
    unittest.main()
