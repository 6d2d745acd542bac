"""Choose a target for a call: expected time, cached prefix, and what the policy weighs more."""

import msgspec

from waxwingglade.decisions.cache_index import numbers
from waxwingglade.decisions.targets import TargetTable, TargetView
from waxwingglade.decisions.work import Work

MIN_WEIGHT = 0.05


class Choice(msgspec.Struct):
    """A target for a call, and what speaks for it.

    Parameters
    ----------
    view : TargetView
        The target.
    cost_s : float
        Expected seconds of the call there, with the price of wasted cache.
    cached_tokens : int
        Prompt tokens believed to be held there.
    source : TargetView or None
        Target from which cache should be imported first, because that is faster than prefill.
    is_open : bool
        Whether the call may be sent now; else it should wait for the target to get room.
    """

    view: TargetView
    cost_s: float
    cached_tokens: int = 0
    source: TargetView | None = None
    is_open: bool = True


class CachedPrefix(msgspec.Struct):
    """What is known of a prompt's cache, the same for all targets of one decision."""

    held_tokens: int
    holders: list[TargetView]
    source: TargetView | None


def find_cached_prefix(table: TargetTable, work: Work) -> CachedPrefix:
    """Look up who holds most of the call's prompt."""
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
    """Choose among the holders of the prompt and a random sample of targets with room.

    Parameters
    ----------
    table : TargetTable
        Targets as this entry sees them.
    work : Work
        The call.

    Returns
    -------
    Choice or None
        The cheapest target, which may have no room at present; None if no target is known that
        could take the call.

    Notes
    -----
    Looking at a few targets at random keeps the time of a decision from growing with their
    number, and keeps entries that read the same stale report from all choosing the same target.
    """
    members = table.open.get(work.pool)
    if members is None:
        return None
    prompt = find_cached_prefix(table, work)
    candidates = members[work.policy.urgency].sample(table.rng, table.settings.sample_size)
    for holder in prompt.holders:
        if holder not in candidates:
            candidates.append(holder)
    best: Choice | None = None
    for view in candidates:
        if not is_eligible(table, view, work):
            continue
        choice = assess(table, view, work, prompt)
        if best is None or choice.cost_s < best.cost_s:
            best = choice
    return best


def is_eligible(table: TargetTable, view: TargetView, work: Work) -> bool:
    """Return whether `work` may go to `view`, load and cost aside.

    A call that may not be repeated stays away from a target on trial, where it could be lost,
    while the pool has others; the repeatable ones put the target to the test.
    """
    if view.target in work.avoid:
        return False
    if work.idempotent or not view.on_trial:
        return True
    others = table.pools[work.pool].values()
    return not any(table.usable(other) and not other.on_trial for other in others)


def assess(table: TargetTable, view: TargetView, work: Work, prompt: CachedPrefix) -> Choice:
    """Return what it costs to serve `work` at `view`."""
    settings = table.settings
    cached = 0
    if prompt.held_tokens:
        cached = table.cache.depth(view.number, work.blocks) * settings.block_tokens
        cached = min(cached, work.prompt_tokens)
    choice = Choice(view, 0.0, cached)
    choice.is_open = table.has_capacity(view, work.policy.urgency)
    load = view.load
    held_up = 1 + settings.disturbance * min(load, view.slots)
    token_s = 1 / view.prefill_tokens_per_s
    missed = max(0, min(prompt.held_tokens, work.prompt_tokens) - cached)
    read_s = max(0, work.prompt_tokens - cached) * token_s * held_up
    wasted_s = missed * token_s
    if missed and settings.import_tokens_per_s and prompt.source is not view:
        import_s = missed / settings.import_tokens_per_s + settings.import_delay_s
        if import_s < wasted_s * (held_up + waste_price(work)):
            choice.source = prompt.source
            read_s += import_s - wasted_s * held_up
            wasted_s = 0.0
    crowding = 1 + settings.crowding * load / view.slots
    seconds = read_s + work.expected_output_tokens * view.decode_s_per_token * crowding
    if view.cache_used >= settings.crowded_cache:
        seconds += missed * token_s * settings.space_price
    if not work.prompt_tokens:
        seconds += view.service_s * crowding
    if load >= view.slots:
        seconds += (load - view.slots + 1 + view.waiting_preferred) * view.service_s / view.slots
    if view.zone != table.home:
        seconds += 2 * settings.zone_delay_s
    choice.cost_s = seconds + waste_price(work) * wasted_s
    return choice


def waste_price(work: Work) -> float:
    """Return the seconds of latency that a second of wasted prefill counts for."""
    weight = max(work.policy.latency_weight, MIN_WEIGHT)
    return (1 - weight) / weight


def expected_service_s(table: TargetTable, work: Work) -> float:
    """Return the seconds `work` takes on a target with its prompt cached, at the speeds assumed."""
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
