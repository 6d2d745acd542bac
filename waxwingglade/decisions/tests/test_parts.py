"""Parts of a limit never add up to more than the whole, however members come, go and lag."""

import random
import unittest

from waxwingglade.decisions.quota_share import QuotaShare, QuotaShareRules

RULES = QuotaShareRules(max_view_age_s=5.0, window_s=5.0, usual_members=5)
MOST = 60
STEP_S = 0.25


class PartsTest(unittest.TestCase):
    def parts(self, own: str = "a", **fields: bool | int) -> QuotaShare:
        return QuotaShare(RULES, own, **fields)

    def test_a_member_that_joined_grants_nothing_before_others_must_have_heard(self) -> None:
        parts = self.parts()
        parts.update_members(2, "abcde", 100.0)
        self.assertEqual(0, parts.share_of(MOST, "shop", 100.0 + RULES.settle_s - 0.1))
        self.assertEqual(12, parts.share_of(MOST, "shop", 100.0 + RULES.settle_s))

    def test_a_member_that_was_one_before_its_restart_goes_on(self) -> None:
        parts = self.parts(joined_before=True)
        parts.update_members(2, "abcde", 100.0)
        self.assertEqual(12, parts.share_of(MOST, "shop", 100.0))

    def test_who_was_removed_and_joins_again_waits(self) -> None:
        parts = self.parts(joined_before=True)
        for epoch, members in ((2, "abcde"), (3, "bcde"), (4, "abcde")):
            parts.update_members(epoch, members, 100.0 + epoch)
        self.assertEqual(0, parts.share_of(MOST, "shop", 105.0))

    def test_parts_grow_only_once_nobody_goes_by_the_larger_set(self) -> None:
        parts = self.parts(joined_before=True)
        parts.update_members(2, "abcdef", 100.0)
        parts.update_members(3, "abcde", 200.0)
        self.assertEqual(10, parts.share_of(MOST, "shop", 200.0 + RULES.settle_s - 0.1))
        self.assertEqual(12, parts.share_of(MOST, "shop", 200.0 + RULES.settle_s))

    def test_sets_that_were_never_heard_of_may_have_been_larger(self) -> None:
        parts = self.parts(joined_before=True)
        parts.update_members(2, "abcde", 100.0)
        parts.update_members(4, "abcde", 200.0)
        self.assertEqual(10, parts.share_of(MOST, "shop", 200.0))

    def test_the_remainder_is_dealt_out_and_all_of_the_limit_is_used(self) -> None:
        for most in (1, 3, 7, 59, 61):
            total = 0
            for own in "abcde":
                parts = self.parts(own, joined_before=True)
                parts.update_members(2, "abcde", 0.0)
                total += parts.share_of(most, "shop", 100.0)
            self.assertEqual(most, total)

    def test_changing_sets_and_members_that_lag_never_grant_more_than_the_limit(self) -> None:
        """Members hear of sets late or in part, and grant all that they may, all the time."""
        for seed in range(30):
            self.assertLessEqual(self.most_granted(random.Random(seed)), MOST)

    def most_granted(self, chance: random.Random) -> int:
        """Return the most that was granted in any window of one history."""
        names = [f"m{number}" for number in range(9)]
        history = [(0.0, 1, tuple(names[:5]))]
        parts = {name: QuotaShare(RULES, name, joined_before=name in names[:5]) for name in names}
        granted: dict[str, list[float]] = {name: [] for name in names}
        lag_s = dict.fromkeys(names, 0.0)
        most, now = 0, 0.0
        while now < 60.0:
            now += STEP_S
            if chance.random() < 0.08:
                history.append((now, history[-1][1] + 1, self.changed(chance, history, names)))
            for name in names:
                lag_s[name] = chance.choice((lag_s[name] + STEP_S, 0.0, 1.0))
                if lag_s[name] <= RULES.max_view_age_s:
                    self.grant(parts[name], granted[name], history, now, now - lag_s[name])
            since = now - RULES.window_s
            most = max(most, sum(at > since for times in granted.values() for at in times))
        return most

    def changed(
        self,
        chance: random.Random,
        history: list[tuple[float, int, tuple[str, ...]]],
        names: list[str],
    ) -> tuple[str, ...]:
        """Return a set with one member more or less."""
        members = history[-1][2]
        others = [name for name in names if name not in members]
        if others and (len(members) <= 4 or (len(members) < 7 and chance.random() < 0.5)):
            return (*members, chance.choice(others))
        gone = chance.choice(members)
        return tuple(member for member in members if member != gone)

    def grant(
        self,
        parts: QuotaShare,
        granted: list[float],
        history: list[tuple[float, int, tuple[str, ...]]],
        now: float,
        known_until: float,
    ) -> None:
        """Let a member that knows the sets up to a moment grant all that it may."""
        _, epoch, members = max(each for each in history if each[0] <= max(0.0, known_until))
        parts.update_members(epoch, members, now)
        part = parts.share_of(MOST, "shop", now)
        recent = sum(at > now - RULES.window_s for at in granted)
        granted.extend([now] * max(0, part - recent))


if __name__ == "__main__":
    unittest.main()
