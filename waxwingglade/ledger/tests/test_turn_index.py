"""The retention of turns does not depend on the order in which a replica receives them."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from waxwingglade.ledger.journal import Place
from waxwingglade.ledger.messages import Turn, TurnId
from waxwingglade.ledger.tests.builders import turn
from waxwingglade.ledger.turn_index import EXPIRY_MARGIN_S, SETTLE_S, TurnIndex

PLACE = Place(1, 0, 0)
SETTLED_S = 2 * SETTLE_S


@st.composite
def conversations(draw: st.DrawFn) -> list[Turn]:
    """Return turns, each the first of a conversation or the next one of an earlier turn."""
    turns: list[Turn] = []
    for number in range(draw(st.integers(1, 12))):
        previous = draw(st.none() | st.integers(0, number - 1)) if number else None
        turns.append(turn(number, previous, expires_at=draw(st.floats(0.0, 1000.0))))
    return turns


def index_of(turns: list[Turn], now: float = 0.0) -> TurnIndex:
    """Return an index to which turns were added in this order."""
    index = TurnIndex()
    for each in turns:
        index.add(each, PLACE, now)
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
            index.add(each, PLACE, now)
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
        index.add(turn(1, expires_at=10.0), PLACE, 0.0)
        self.assertEqual(retention(index), {"turn-1": 90.0, "turn-2": 90.0})

    def test_the_retention_at_another_replica_prolongs_a_turn(self) -> None:
        index = TurnIndex()
        index.add(turn(2, 1, expires_at=10.0), PLACE, 0.0, retain_until=90.0)
        index.add(turn(1, expires_at=5.0), PLACE, 0.0)
        self.assertEqual(retention(index), {"turn-1": 90.0, "turn-2": 90.0})


class ComparisonTest(unittest.TestCase):
    @given(conversations(), st.randoms(), st.floats(0.0, 900.0))
    def test_unexpired_turns_that_another_replica_lacks_are_named(self, turns, random, now) -> None:
        ours, theirs = (random.sample(turns, random.randint(0, len(turns))) for _ in range(2))
        own, other = index_of(ours), index_of(theirs)
        after = now + SETTLED_S
        named = set(own.names_unlike(other.checksums(after), after))
        known = {each.turn for each in theirs}
        lacking = {each.turn for each in ours if each.turn not in known and each.expires_at > after}
        self.assertLessEqual(lacking, named)
        self.assertLessEqual(named, set(own.places))

    @given(conversations(), st.randoms())
    def test_replicas_with_the_same_turns_name_none(self, turns, random) -> None:
        own, other = index_of(turns), index_of(random.sample(turns, len(turns)))
        self.assertEqual(own.names_unlike(other.checksums(SETTLED_S), SETTLED_S), [])

    def test_expired_turns_are_not_counted_before_their_removal(self) -> None:
        index = index_of([turn(1, expires_at=10.0), turn(2, 1, expires_at=90.0), turn(3)])
        self.assertEqual((index.count_unexpired(5.0), index.count_unexpired(50.0)), (3, 2))
        self.assertEqual(len(index.places), 3)

    def test_a_turn_that_is_just_being_stored_is_not_named(self) -> None:
        # Guards against reading turns again that are on their way to the other replica.
        own, other = index_of([turn(1)], now=100.0), index_of([], now=100.0)
        self.assertEqual(own.names_unlike(other.checksums(100.5), 100.5), [])
        after = 100.0 + SETTLED_S
        self.assertEqual(own.names_unlike(other.checksums(after), after), ["turn-1"])


if __name__ == "__main__":
    unittest.main()
