"""The shares of a limit never exceed it in sum, while members join, leave and lag behind."""

import random
import unittest

from waxwingglade.decisions.quota_share import QuotaShare, QuotaShareRules

RULES = QuotaShareRules(max_view_age_s=5.0, window_s=5.0, usual_members=5)
MOST = 60
STEP_S = 0.25


class QuotaShareTest(unittest.TestCase):
    def quota_share(self, own: str = "a", **fields: bool | int) -> QuotaShare:
        return QuotaShare(RULES, own, **fields)

    def test_a_new_member_grants_nothing_until_old_views_have_expired(self) -> None:
        quota_share = self.quota_share()
        quota_share.update_members(2, "abcde", 100.0)
        self.assertEqual(0, quota_share.share_of(MOST, "shop", 100.0 + RULES.settle_s - 0.1))
        self.assertEqual(12, quota_share.share_of(MOST, "shop", 100.0 + RULES.settle_s))

    def test_a_member_from_before_its_restart_grants_at_once(self) -> None:
        quota_share = self.quota_share(joined_before=True)
        quota_share.update_members(2, "abcde", 100.0)
        self.assertEqual(12, quota_share.share_of(MOST, "shop", 100.0))

    def test_a_removed_member_that_joins_again_grants_nothing_at_first(self) -> None:
        quota_share = self.quota_share(joined_before=True)
        for epoch, members in ((2, "abcde"), (3, "bcde"), (4, "abcde")):
            quota_share.update_members(epoch, members, 100.0 + epoch)
        self.assertEqual(0, quota_share.share_of(MOST, "shop", 105.0))

    def test_shares_grow_only_after_views_of_the_larger_set_have_expired(self) -> None:
        quota_share = self.quota_share(joined_before=True)
        quota_share.update_members(2, "abcdef", 100.0)
        quota_share.update_members(3, "abcde", 200.0)
        self.assertEqual(10, quota_share.share_of(MOST, "shop", 200.0 + RULES.settle_s - 0.1))
        self.assertEqual(12, quota_share.share_of(MOST, "shop", 200.0 + RULES.settle_s))

    def test_sets_that_were_not_received_may_be_larger(self) -> None:
        quota_share = self.quota_share(joined_before=True)
        quota_share.update_members(2, "abcde", 100.0)
        quota_share.update_members(4, "abcde", 200.0)
        self.assertEqual(10, quota_share.share_of(MOST, "shop", 200.0))

    def test_the_remainder_is_distributed_and_the_complete_limit_is_used(self) -> None:
        for most in (1, 3, 7, 59, 61):
            total = 0
            for own in "abcde":
                quota_share = self.quota_share(own, joined_before=True)
                quota_share.update_members(2, "abcde", 0.0)
                total += quota_share.share_of(most, "shop", 100.0)
            self.assertEqual(most, total)

    def test_changing_sets_and_members_that_lag_never_grant_more_than_the_limit(self) -> None:
        """Members receive sets late or not at all, and always grant as much as they may."""
        for seed in range(30):
            self.assertLessEqual(self.most_granted(random.Random(seed)), MOST)

    def most_granted(self, rng: random.Random) -> int:
        """Return the most requests that were granted in any window of one history."""
        names = [f"m{number}" for number in range(9)]
        history = [(0.0, 1, tuple(names[:5]))]
        shares = {name: QuotaShare(RULES, name, joined_before=name in names[:5]) for name in names}
        granted: dict[str, list[float]] = {name: [] for name in names}
        lag_s = dict.fromkeys(names, 0.0)
        most, now = 0, 0.0
        while now < 60.0:
            now += STEP_S
            if rng.random() < 0.08:
                history.append((now, history[-1][1] + 1, self.changed(rng, history, names)))
            for name in names:
                lag_s[name] = rng.choice((lag_s[name] + STEP_S, 0.0, 1.0))
                if lag_s[name] <= RULES.max_view_age_s:
                    self.grant(shares[name], granted[name], history, now, now - lag_s[name])
            since = now - RULES.window_s
            most = max(most, sum(at > since for times in granted.values() for at in times))
        return most

    def changed(
        self,
        rng: random.Random,
        history: list[tuple[float, int, tuple[str, ...]]],
        names: list[str],
    ) -> tuple[str, ...]:
        """Return the latest set with one member added or removed."""
        members = history[-1][2]
        others = [name for name in names if name not in members]
        if others and (len(members) <= 4 or (len(members) < 7 and rng.random() < 0.5)):
            return (*members, rng.choice(others))
        removed = rng.choice(members)
        return tuple(member for member in members if member != removed)

    def grant(
        self,
        quota_share: QuotaShare,
        granted: list[float],
        history: list[tuple[float, int, tuple[str, ...]]],
        now: float,
        known_until: float,
    ) -> None:
        """Let a member that has received the sets until a time grant as much as it may."""
        _, epoch, members = max(each for each in history if each[0] <= max(0.0, known_until))
        quota_share.update_members(epoch, members, now)
        share = quota_share.share_of(MOST, "shop", now)
        recent = sum(at > now - RULES.window_s for at in granted)
        granted.extend([now] * max(0, share - recent))


if __name__ == "__main__":
    unittest.main()
