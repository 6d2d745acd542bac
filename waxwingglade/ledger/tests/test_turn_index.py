"""The retention of turns does not depend on the order in which a replica receives them."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from waxwingglade.ledger.journal import Place
from waxwingglade.ledger.messages import Turn, TurnId
from waxwingglade.ledger.tests.builders import turn
from waxwingglade.ledger.turn_index import EXPIRY_MARGIN_S, TurnIndex

PLACE = Place(1, 0, 0)


@st.composite
def conversations(draw: st.DrawFn) -> list[Turn]:
    """Return turns, each the first of a conversation or the next one of an earlier turn."""
    turns: list[Turn] = []
    for number in range(draw(st.integers(1, 12))):
        previous = draw(st.none() | st.integers(0, number - 1)) if number else None
        turns.append(turn(number, previous, expires_at=draw(st.floats(0.0, 1000.0))))
    return turns


def index_of(turns: list[Turn]) -> TurnIndex:
    """Return an index to which turns were added in this order."""
    index = TurnIndex()
    for each in turns:
        index.add(each, PLACE)
    return index


def retention(index: TurnIndex) -> dict[TurnId, float]:
    """Return how long each turn is retained."""
    return {name: where.expires_at for name, where in index.places.items()}


class RetentionTest(unittest.TestCase):
    @given(conversations(), st.randoms())
    def test_retention_is_the_same_in_any_order_of_arrival(self, turns, random) -> None:
        # Guards against the deletion of a conversation's beginning that arrived after later turns.
        shuffled = random.sample(turns, len(turns))
        self.assertEqual(retention(index_of(shuffled)), retention(index_of(turns)))

    @given(conversations(), st.randoms(), st.floats(0.0, 1100.0))
    def test_whatever_a_retained_turn_continues_is_retained_or_a_known_gap(
        self, turns, random, now
    ) -> None:
        # Guards against gaps in a chain that hide the turns before them from prolongation.
        stored = random.sample(turns, random.randint(0, len(turns)))
        index = index_of(stored)
        index.remove_expired(now)
        known = {each.turn for each in stored}
        for name, where in index.places.items():
            previous = where.previous
            if previous is None:
                continue
            if previous in known:
                self.assertIn(previous, index.places)
                self.assertGreaterEqual(index.places[previous].expires_at, where.expires_at)
            else:
                self.assertGreaterEqual(index.gaps[previous], where.expires_at, name)

    @given(conversations(), st.randoms(), st.floats(0.0, 900.0))
    def test_late_turns_fill_gaps_in_any_order_between_sweeps(self, turns, random, now) -> None:
        late = random.sample(turns, random.randint(0, len(turns)))
        index = index_of([each for each in turns if each not in late])
        for each in late:
            index.add(each, PLACE)
            index.remove_expired(now)
        needed = {
            name
            for name, until in retention(index_of(turns)).items()
            if until >= now - EXPIRY_MARGIN_S
        }
        missing = needed - set(index.places)
        # A turn that is needed only by later ones may have come before them; it is asked for again.
        for name in missing:
            successors = [each for each in turns if each.previous == name]
            self.assertTrue(
                name in index.gaps or any(each.turn in missing for each in successors), name
            )

    def test_a_turn_that_is_stored_again_keeps_its_longer_retention(self) -> None:
        index = index_of([turn(1, expires_at=10.0), turn(2, 1, expires_at=90.0)])
        index.add(turn(1, expires_at=10.0), PLACE)
        self.assertEqual(retention(index), {"turn-1": 90.0, "turn-2": 90.0})

    def test_the_retention_at_another_replica_prolongs_a_turn(self) -> None:
        index = TurnIndex()
        index.add(turn(2, 1, expires_at=10.0), PLACE, retain_until=90.0)
        index.add(turn(1, expires_at=5.0), PLACE)
        self.assertEqual(retention(index), {"turn-1": 90.0, "turn-2": 90.0})


if __name__ == "__main__":
    unittest.main()
