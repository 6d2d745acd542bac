"""Tests of the functions that change a program's account."""

import unittest

from waxwingglade.base import ProgramId
from waxwingglade.follow.model import IncarnationName
from waxwingglade.ledger.account import Reservation, committed, reserve, resolve_reservation
from waxwingglade.ledger.messages import NEW_ACCOUNT, EndTurn, TurnId

ONE, TWO, THREE = TurnId("one"), TurnId("two"), TurnId("three")


def end(
    turn: TurnId, used: int, target: str | None = None, failed_at: str | None = None
) -> EndTurn:
    """Return the message that ends a turn."""
    ran_at = IncarnationName(target) if target else None
    failed = IncarnationName(failed_at) if failed_at else None
    return EndTurn(turn, ProgramId("p"), used, target=ran_at, failed_at=failed)


class AccountTest(unittest.TestCase):
    def test_reservations_count_until_they_are_resolved(self) -> None:
        account, first = reserve(NEW_ACCOUNT, ONE, 60, 100, 0.0)
        account, second = reserve(account, TWO, 60, 100, 0.0)
        self.assertEqual((first, second), (Reservation.GRANTED, Reservation.SPENT))
        account = resolve_reservation(account, end(ONE, 30), 0.0)
        account, third = reserve(account, THREE, 60, 100, 0.0)
        self.assertEqual(third, Reservation.GRANTED)
        self.assertEqual(committed(account), 90)

    def test_repeats_change_nothing(self) -> None:
        account, _ = reserve(NEW_ACCOUNT, ONE, 60, 100, 0.0)
        again, outcome = reserve(account, ONE, 60, 100, 0.0)
        self.assertEqual((again, outcome), (account, Reservation.GRANTED))
        settled = resolve_reservation(account, end(ONE, 30), 0.0)
        self.assertEqual(resolve_reservation(settled, end(ONE, 45), 0.0), settled)

    def test_a_turn_that_ended_does_not_begin_again(self) -> None:
        account = resolve_reservation(NEW_ACCOUNT, end(ONE, 0), 0.0)
        account, outcome = reserve(account, ONE, 60, 100, 0.0)
        self.assertEqual(outcome, Reservation.ENDED)
        self.assertEqual(committed(account), 0)

    def test_a_budget_of_exactly_one_turn_suffices_for_it(self) -> None:
        _, outcome = reserve(NEW_ACCOUNT, ONE, 100, 100, 0.0)
        self.assertEqual(outcome, Reservation.GRANTED)

    def test_the_engine_of_the_last_turn_that_ran_is_recorded(self) -> None:
        account = resolve_reservation(NEW_ACCOUNT, end(ONE, 10, "engine-1"), 0.0)
        self.assertEqual(account.target, "engine-1")
        account = resolve_reservation(account, end(TWO, 0), 0.0)
        self.assertEqual(account.target, "engine-1", "a turn that was not run has no engine")
        account = resolve_reservation(account, end(THREE, 10, "engine-2"), 0.0)
        self.assertEqual(account.target, "engine-2")

    def test_the_engine_that_failed_the_last_turn_is_recorded_until_one_completes(self) -> None:
        account = resolve_reservation(NEW_ACCOUNT, end(ONE, 0, failed_at="engine-1"), 0.0)
        self.assertEqual(account.failed_at, "engine-1")
        account = resolve_reservation(account, end(TWO, 10, "engine-2"), 0.0)
        self.assertIsNone(account.failed_at)
