"""Choice of a target for a call, by expected time, cached prefix and the weights of the policy."""

import msgspec

from waxwingglade.decisions.cache_index import numbers
from waxwingglade.decisions.targets import TargetTable, TargetView
from waxwingglade.decisions.work import Work

MIN_WEIGHT = 0.05


class Choice(msgspec.Struct):
    """A target for a call, and its cost.

    Parameters
    ----------
    view : TargetView
        The target.
    cost_s : float
        Expected seconds of the call at the target, plus the weighted cost of wasted prefill.
    cached_tokens : int
        Estimated prompt tokens in the target's cache.
    source : TargetView or None
        Target from which cache is imported first, because this is faster than prefill.
    is_open : bool
        Whether the call may be sent now; otherwise it waits until the target has capacity.
    """

    view: TargetView
    cost_s: float
    cached_tokens: int = 0
    source: TargetView | None = None
    is_open: bool = True


class CachedPrefix(msgspec.Struct):
    """Longest cached prefix of a prompt; shared by all candidates of one decision."""

    cached_tokens: int
    holders: list[TargetView]
    source: TargetView | None


def find_cached_prefix(table: TargetTable, work: Work) -> CachedPrefix:
    """Find the targets with the longest cached prefix of the call's prompt."""
    if not work.blocks:
        return CachedPrefix(0, [], None)
    depth, bits = table.cache.deepest(work.blocks)
    holders = [table.numbered[number] for number in numbers(bits)] if depth else []
    holders = [view for view in holders if work.pool in view.pools and table.usable(view)]
    if not holders:
        return CachedPrefix(0, [], None)
    if len(holders) > table.settings.holder_size:
        start = int(table.rng.random() * len(holders))
        holders = [
            holders[(start + step) % len(holders)] for step in range(table.settings.holder_size)
        ]
    return CachedPrefix(depth * table.settings.block_tokens, holders, holders[0])


def choose(table: TargetTable, work: Work) -> Choice | None:
    """Choose among the holders of the prompt and a random sample of targets with capacity.

    Parameters
    ----------
    table : TargetTable
        Targets, as estimated by this entry.
    work : Work
        The call.

    Returns
    -------
    Choice or None
        The target with the lowest cost, which may have no capacity now; None if no target can
        serve the call.

    Notes
    -----
    A small random sample keeps the time of a decision independent of the number of targets, and
    prevents entries with the same stale report from all choosing the same target.
    """
    members = table.open.get(work.pool)
    if members is None:
        return None
    prefix = find_cached_prefix(table, work)
    candidates = members[work.policy.urgency].sample(table.rng, table.settings.sample_size)
    for holder in prefix.holders:
        if holder not in candidates:
            candidates.append(holder)
    best: Choice | None = None
    for view in candidates:
        if not is_eligible(table, view, work):
            continue
        choice = assess(table, view, work, prefix)
        if best is None or choice.cost_s < best.cost_s:
            best = choice
    return best


def is_eligible(table: TargetTable, view: TargetView, work: Work) -> bool:
    """Return whether `work` may be sent to `view`, regardless of load and cost.

    A call that may not be repeated is not sent to a target on trial, where it could fail, while the
    pool has other targets.  Repeatable calls test the target.
    """
    if view.target in work.avoid:
        return False
    if work.idempotent or not view.on_trial:
        return True
    others = table.pools[work.pool].values()
    return not any(table.usable(other) and not other.on_trial for other in others)


def assess(table: TargetTable, view: TargetView, work: Work, prefix: CachedPrefix) -> Choice:
    """Return the choice of `view` for `work`, with its cost."""
    settings = table.settings
    cached = 0
    if prefix.cached_tokens:
        cached = table.cache.depth(view.number, work.blocks) * settings.block_tokens
        cached = min(cached, work.prompt_tokens)
    choice = Choice(view, 0.0, cached)
    choice.is_open = table.has_capacity(view, work.policy.urgency)
    load = view.load
    slowdown = 1 + settings.disturbance * min(load, view.slots)
    token_s = 1 / view.prefill_tokens_per_s
    uncached_prefix = max(0, min(prefix.cached_tokens, work.prompt_tokens) - cached)
    prefill_s = max(0, work.prompt_tokens - cached) * token_s * slowdown
    wasted_s = uncached_prefix * token_s
    if uncached_prefix and settings.import_tokens_per_s and prefix.source is not view:
        import_s = uncached_prefix / settings.import_tokens_per_s + settings.import_delay_s
        if import_s < wasted_s * (slowdown + waste_price(work)):
            choice.source = prefix.source
            prefill_s += import_s - wasted_s * slowdown
            wasted_s = 0.0
    crowding = 1 + settings.crowding * load / view.slots
    seconds = prefill_s + work.expected_output_tokens * view.decode_s_per_token * crowding
    if view.cache_used >= settings.crowded_cache:
        seconds += uncached_prefix * token_s * settings.space_price
    if not work.prompt_tokens:
        seconds += view.service_s * crowding
    if load >= view.slots:
        seconds += (load - view.slots + 1 + view.waiting_preferred) * view.service_s / view.slots
    if view.zone != table.home:
        seconds += 2 * settings.zone_delay_s
    choice.cost_s = seconds + waste_price(work) * wasted_s
    return choice


def waste_price(work: Work) -> float:
    """Return the latency, in seconds, that is equivalent to a second of wasted prefill."""
    weight = max(work.policy.latency_weight, MIN_WEIGHT)
    return (1 - weight) / weight


def expected_service_s(table: TargetTable, work: Work) -> float:
    """Return the expected seconds of `work` with a cached prompt, at the configured speed."""
    settings = table.settings
    if not work.prompt_tokens:
        return 0.0
    return work.expected_output_tokens * settings.decode_s_per_token


__all__ = [
    "CachedPrefix",
    "Choice",
    "assess",
    "choose",
    "expected_service_s",
    "find_cached_prefix",
    "waste_price",
]
