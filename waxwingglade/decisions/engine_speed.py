"""Speed of a service's engines, estimated by one entry from completed turns.

Prefill and generation speeds differ tenfold between vendors, so they are not constants here.  Each
entry estimates them from the turns that it forwards.  All engines of a service are of one kind; a
slowness factor describes how a single engine differs from the others.
"""

import msgspec

from waxwingglade.decisions.linear_fit import FadingLinearFit, Prior

TOKENS_PER_UNIT = 1000.0

EVENT_GAP_PRIOR = Prior(0.025, 0.04, 0.0, 1.0)
"""Prior for the seconds between the events of a stream at an idle and at a full engine.  A full
batch increases this gap by a factor of 1.6 on known engines."""

PREFILL_PRIOR = Prior(0.04, 0.05, 0.002, 0.1)
"""Prior for the seconds to the first event without prefill and with 1,000 tokens of prefill.  The
bounds of the slope allow 10 to 500 tokens per millisecond; known engines reach 39 to 247."""

DEFAULT_EVENTS = 10.0
EVENTS_SMOOTHING = 0.05


class CompletedTurn(msgspec.Struct, frozen=True):
    """A turn that an engine has completed, as observed by its entry.

    Parameters
    ----------
    load : float
        Estimated requests at the engine when the turn was sent, as a share of its slots.
    prefill_tokens : int
        Estimated prompt tokens that were not in the engine's cache.
    first_event_s, seconds : float
        Seconds from sending to the first event, and to the end.
    events : int
        Number of events of the stream.
    """

    load: float
    prefill_tokens: int
    first_event_s: float
    seconds: float
    events: int


class EngineSpeed:
    """Estimated speed of a service's engines."""

    def __init__(self) -> None:
        self.event_gap = FadingLinearFit(EVENT_GAP_PRIOR)
        self.prefill = FadingLinearFit(PREFILL_PRIOR)
        self.mean_events = DEFAULT_EVENTS

    def observe(self, turn: CompletedTurn) -> float:
        """Update the estimates with a turn; return how many times slower than usual it was."""
        load = min(1.0, turn.load)
        self.mean_events += EVENTS_SMOOTHING * (turn.events - self.mean_events)
        if turn.load < 1.0:
            # At a full engine the time to the first event includes the time in its queue.
            self.prefill.observe(turn.prefill_tokens / TOKENS_PER_UNIT, turn.first_event_s)
        if turn.events < 2:
            return 1.0
        gap_s = (turn.seconds - turn.first_event_s) / (turn.events - 1)
        usual_s = self.event_gap.predict(load)
        self.event_gap.observe(load, gap_s)
        return gap_s / usual_s if usual_s > 0 else 1.0

    def prefill_s(self, tokens: float) -> float:
        """Return the seconds that an engine needs to prefill a number of prompt tokens."""
        return self.prefill.slope * tokens / TOKENS_PER_UNIT

    def generation_s(self, load: float) -> float:
        """Return the seconds of an average turn's generation at a load, as a share of slots."""
        return self.mean_events * self.event_gap.predict(min(1.0, load))

    def disturbance_s(self, slots: int) -> float:
        """Return the seconds by which an additional turn delays each other turn at an engine."""
        return self.mean_events * self.event_gap.slope / slots


__all__ = ["CompletedTurn", "EngineSpeed"]
