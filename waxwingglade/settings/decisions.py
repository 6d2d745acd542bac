"""Settings of queueing and routing, passed around as one object."""

from typing import Annotated

import msgspec

from waxwingglade.settings.strict import Positive, Strict

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Seconds = Annotated[float, msgspec.Meta(ge=0)]


class DecisionSettings(Strict):
    """Parameters of queueing and routing at one entry.

    Parameters
    ----------
    block_tokens : int
        Number of tokens of a prompt block, the unit in which cached prefixes are tracked.
    max_blocks : int
        Maximum number of blocks whose holders this entry tracks; limits its memory.
    sample_size : int
        Number of targets with free slots, chosen at random, that a routing decision considers.
    holder_size : int
        Number of further targets that a routing decision considers: those that are estimated to
        have most of the prompt in their cache.
    look_ahead : int
        Number of waiting calls of a class that are considered when a target gets a free slot.
    urgent_room, normal_room, routine_room : float
        Maximum load of a target, as a share of its slots, at which a call of that urgency may be
        sent to it.  Urgent calls may exceed the slots, because targets honour priorities; routine
        calls leave slots free.
    lower_share : float
        Minimum share of grants for calls that have waited `ageing_s`, whatever their urgency.
    ageing_s : float
        Seconds of waiting after which a call qualifies for that share.
    patience_s : float
        Maximum seconds that a call waits for the target with its cache while another target has
        free slots.
    prefill_tokens_per_s, decode_s_per_token, service_s : float
        Assumed speeds of a target until they are measured: prompt tokens prefilled per second,
        seconds per generated token, and seconds per call.
    crowding : float
        Relative slow-down of a target whose slots are all in use.
    disturbance : float
        Share of a prompt's prefill time by which each other call in the target's batch is delayed;
        1 if the batch stalls during the prefill.
    crowded_cache : float
        Share of a target's cache in use above which new cache evicts other cache.
    space_price : float
        Cost of such an eviction, as a multiple of the time to prefill the same number of tokens.
    stale_load_s : float
        Seconds after which a load report is no longer used.
    zone_delay_s : float
        One-way network delay to a target in another zone, in seconds.
    import_tokens_per_s : float
        Speed at which a target imports cache from another target; 0 if targets cannot.
    import_delay_s : float
        Fixed duration of an import in seconds, in addition to the time that depends on its size.
    eject_after : int
        Number of consecutive failures after which a target is ejected.
    eject_s, eject_max_s : float
        Seconds of a first ejection; the duration doubles with each further one up to the maximum.
    eject_max_share : float
        Maximum share of a pool's targets that may be ejected at the same time.
    slow_ratio : float
        A target is ejected if its time per token exceeds the median by this factor.
    slow_start_s : float
        Seconds over which the usable slots of a new or returned target increase to all its slots.
    retry_ratio : float
        Number of retries allowed per first attempt, in the long run.
    retry_burst : float
        Number of retries allowed in a burst.
    hold_max_s : float
        Maximum seconds for which the cache of a paused program is retained.
    release_retry_s : float
        Seconds after which an unacknowledged release is sent again.
    """

    block_tokens: Count = 64
    max_blocks: Count = 100_000
    sample_size: Count = 4
    holder_size: Count = 2
    look_ahead: Count = 8
    urgent_room: Positive = 1.25
    normal_room: Positive = 1.0
    routine_room: Positive = 0.75
    lower_share: Share = 0.1
    ageing_s: Seconds = 10.0
    patience_s: Seconds = 2.0
    prefill_tokens_per_s: Positive = 8000.0
    decode_s_per_token: Positive = 0.03
    service_s: Positive = 2.0
    crowding: Seconds = 0.5
    disturbance: Seconds = 1.0
    crowded_cache: Share = 0.9
    space_price: Seconds = 4.0
    stale_load_s: Positive = 10.0
    zone_delay_s: Seconds = 0.0015
    import_tokens_per_s: Seconds = 0.0
    import_delay_s: Seconds = 0.05
    eject_after: Count = 3
    eject_s: Positive = 5.0
    eject_max_s: Positive = 60.0
    eject_max_share: Share = 0.34
    slow_ratio: Positive = 3.0
    slow_start_s: Seconds = 10.0
    retry_ratio: Share = 0.1
    retry_burst: Positive = 10.0
    hold_max_s: Positive = 300.0
    release_retry_s: Positive = 2.0
