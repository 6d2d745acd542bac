"""Choice of a target."""

import unittest

from waxwingglade.base import TargetId
from waxwingglade.decisions import Choice, LoadReport, TargetTable, Work, choose, hash_blocks
from waxwingglade.decisions.tests.builders import (
    NOTICE,
    FakeClock,
    blocks,
    engine,
    service,
    table,
    tool_work,
    work,
)
from waxwingglade.settings import Urgency

PROMPT = blocks(*range(1, 101))
PROMPT_TOKENS = 6400


def load(targets: TargetTable, name: str, running: int) -> None:
    targets.report_load(TargetId(name), LoadReport(running))


def hold(targets: TargetTable, name: str, count: int) -> None:
    targets.cache.add(targets.targets[TargetId(name)].number, PROMPT[:count])


def prompt_work(**fields) -> Work:
    return work(blocks=PROMPT, prompt_tokens=PROMPT_TOKENS, **fields)


def chosen(targets: TargetTable, call: Work) -> Choice:
    choice = choose(targets, call)
    assert choice is not None
    return choice


class RouteTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()

    def targets(self, count: int = 4, **settings) -> TargetTable:
        engines = [engine(f"engine-{number}", slots=8) for number in range(count)]
        return table(self.clock, *engines, sample_size=count, **settings)

    def test_holder_of_the_longest_prefix_is_chosen(self) -> None:
        targets = self.targets()
        hold(targets, "engine-1", 40)
        hold(targets, "engine-2", 90)
        choice = chosen(targets, prompt_work())
        self.assertEqual(choice.view.target, "engine-2")
        self.assertEqual(choice.cached_tokens, 90 * 64)

    def test_least_loaded_is_chosen_without_cache(self) -> None:
        targets = self.targets()
        for number, running in enumerate([5, 3, 1, 4]):
            load(targets, f"engine-{number}", running)
        self.assertEqual(chosen(targets, work()).view.target, "engine-2")

    def test_load_outweighs_a_short_prefix(self) -> None:
        targets = self.targets()
        hold(targets, "engine-1", 2)
        load(targets, "engine-1", 7)
        self.assertNotEqual(chosen(targets, prompt_work()).view.target, "engine-1")

    def test_latency_weight_decides_between_prefill_and_waiting(self) -> None:
        targets = self.targets(2)
        hold(targets, "engine-1", 100)
        load(targets, "engine-1", 12)
        latency_first = chosen(targets, prompt_work(latency_weight=0.9))
        cache_first = chosen(targets, prompt_work(latency_weight=0.2))
        self.assertEqual(latency_first.view.target, "engine-0")
        self.assertEqual(cache_first.view.target, "engine-1")
        self.assertFalse(cache_first.is_open)

    def test_cache_is_imported_if_this_is_faster_than_prefill(self) -> None:
        targets = self.targets(2, import_tokens_per_s=30_000.0)
        hold(targets, "engine-1", 100)
        load(targets, "engine-1", 20)
        choice = chosen(targets, prompt_work())
        self.assertEqual((choice.view.target, choice.source.target), ("engine-0", "engine-1"))
        slow = self.targets(2, import_tokens_per_s=100.0)
        hold(slow, "engine-1", 100)
        load(slow, "engine-1", 20)
        self.assertIsNone(chosen(slow, prompt_work()).source)

    def test_new_cache_has_a_price_if_memory_is_nearly_full(self) -> None:
        targets = self.targets(2, import_tokens_per_s=1e6, import_delay_s=0.0)
        hold(targets, "engine-1", 100)
        call = prompt_work(expected_output_tokens=100)
        targets.report_load(TargetId("engine-1"), LoadReport(1))
        self.assertEqual(chosen(targets, call).view.target, "engine-0")
        targets.report_load(TargetId("engine-0"), LoadReport(0, cache_used=1.0))
        self.assertEqual(chosen(targets, call).view.target, "engine-1")

    def test_another_zone_is_chosen_only_if_it_outweighs_the_delay(self) -> None:
        targets = table(
            self.clock,
            engine("near", slots=8),
            engine("far", "zone-2", slots=8),
            sample_size=2,
            zone_delay_s=0.05,
        )
        self.assertEqual(chosen(targets, work()).view.target, "near")
        load(targets, "near", 6)
        self.assertEqual(chosen(targets, work(expected_output_tokens=200)).view.target, "far")

    def test_entries_with_the_same_reports_choose_different_targets(self) -> None:
        engines = [engine(f"engine-{number}", slots=8) for number in range(60)]
        counts: dict[str, int] = {}
        for seed in range(60):
            targets = table(self.clock, *engines, seed=seed)
            target = chosen(targets, work()).view.target
            counts[target] = counts.get(target, 0) + 1
        self.assertGreater(len(counts), 30)
        self.assertLess(max(counts.values()), 8)

    def test_leaving_holder_is_not_chosen(self) -> None:
        targets = self.targets()
        hold(targets, "engine-1", 100)
        targets.set_leaving(TargetId("engine-1"))
        self.assertNotEqual(chosen(targets, prompt_work()).view.target, "engine-1")

    def test_target_where_the_call_failed_is_avoided(self) -> None:
        targets = self.targets(2)
        hold(targets, "engine-1", 100)
        call = prompt_work(avoid=(TargetId("engine-1"),))
        self.assertEqual(chosen(targets, call).view.target, "engine-0")

    def test_nothing_is_chosen_where_nothing_is_open(self) -> None:
        targets = self.targets(1)
        load(targets, "engine-0", 8)
        self.assertIsNone(choose(targets, work(Urgency.NORMAL)))


class ServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.targets = table(FakeClock(), service("service-0"), service("service-1"))

    def test_services_are_chosen_by_reported_load(self) -> None:
        load(self.targets, "service-0", 3)
        self.assertEqual(chosen(self.targets, tool_work(NOTICE)).view.target, "service-1")

    def test_only_repeatable_calls_go_to_a_target_on_trial(self) -> None:
        self.targets.targets[TargetId("service-1")].failures = 1
        load(self.targets, "service-0", 3)
        once = chosen(self.targets, tool_work(NOTICE))
        again = chosen(self.targets, tool_work(NOTICE, idempotent=True))
        self.assertEqual(once.view.target, "service-0")
        self.assertEqual(again.view.target, "service-1")

    def test_calls_go_to_targets_on_trial_when_there_are_no_others(self) -> None:
        for view in self.targets.targets.values():
            view.failures = 1
        self.assertIsNotNone(choose(self.targets, tool_work(NOTICE)))


class HashTest(unittest.TestCase):
    def test_chain_depends_on_all_that_came_before(self) -> None:
        one, other = hash_blocks(b"aaaabbbbcc", 4), hash_blocks(b"xaaabbbbcc", 4)
        self.assertEqual(len(one), 2)
        self.assertFalse(set(one) & set(other))

    def test_chain_can_be_continued(self) -> None:
        whole = hash_blocks(b"aaaabbbbccccd", 4)
        self.assertEqual(hash_blocks(b"aaaabbbbccccd", 4, known=whole[:1]), whole)


if __name__ == "__main__":
    unittest.main()
