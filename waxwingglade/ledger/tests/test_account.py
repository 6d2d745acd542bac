"""The rules of a program's account."""

import unittest

from waxwingglade.ledger.account import Reservation, committed, reserve, settle
from waxwingglade.ledger.messages import NEW_ACCOUNT, TurnId

ONE, TWO, THREE = TurnId("one"), TurnId("two"), TurnId("three")


class AccountTest(unittest.TestCase):
    def test_reservations_count_until_they_are_settled(self) -> None:
        account, first = reserve(NEW_ACCOUNT, ONE, 60, 100, 0.0)
        account, second = reserve(account, TWO, 60, 100, 0.0)
        self.assertEqual((first, second), (Reservation.GRANTED, Reservation.SPENT))
        account = settle(account, ONE, 30, 0.0)
        account, third = reserve(account, THREE, 60, 100, 0.0)
        self.assertEqual(third, Reservation.GRANTED)
        self.assertEqual(committed(account), 90)

    def test_repeats_change_nothing(self) -> None:
        account, _ = reserve(NEW_ACCOUNT, ONE, 60, 100, 0.0)
        again, outcome = reserve(account, ONE, 60, 100, 0.0)
        self.assertEqual((again, outcome), (account, Reservation.GRANTED))
        settled = settle(account, ONE, 30, 0.0)
        self.assertEqual(settle(settled, ONE, 45, 0.0), settled)

    def test_a_turn_that_ended_does_not_begin_again(self) -> None:
        account = settle(NEW_ACCOUNT, ONE, 0, 0.0)
        account, outcome = reserve(account, ONE, 60, 100, 0.0)
        self.assertEqual(outcome, Reservation.ENDED)
        self.assertEqual(committed(account), 0)

    def test_a_budget_of_exactly_one_turn_holds_it(self) -> None:
        _, outcome = reserve(NEW_ACCOUNT, ONE, 100, 100, 0.0)
        self.assertEqual(outcome, Reservation.GRANTED)
