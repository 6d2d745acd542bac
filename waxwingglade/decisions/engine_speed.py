"""Speed of a service's engines, estimated by one entry from completed turns.

Prefill and generation speeds differ tenfold between vendors, so they are not constants here.  Each
entry estimates them from the turns that it forwards.  The estimates are averages over the engines
of a service; a slowness factor describes how a single engine differs from them.
"""

import msgspec

from waxwingglade.decisions.linear_fit import FadingLinearFit, Prior

TOKENS_PER_UNIT = 1000.0

EVENT_GAP_PRIOR = Prior(0.025, 0.04, 0.0, 1.0)
"""Prior for the seconds between the events of a stream at an idle and at a full engine.  A full
batch increases this gap by a factor of 1.6 on known engines."""

UNEVEN_EVENT_GAP_PRIOR = Prior(0.025, 0.0275, 0.0, 1.0, min_relative_slope=0.1)
"""The same for engines of different speed.  A full batch increases the gap by a tenth on known
engines of this kind and a slow engine doubles it, so the slots of fast ones are worth filling.
The slope has a lower bound, as turns at full engines must not seem as fast as at idle ones."""

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
    stretch : float
        How many times longer than usual work took on the VM of the engine, as reported meanwhile.
    slowness : float
        How many times slower than the mean of its service the engine is known to be.
    """

    load: float
    prefill_tokens: int
    first_event_s: float
    seconds: float
    events: int
    stretch: float = 1.0
    slowness: float = 1.0


class EngineSpeed:
    """Estimated speed of a service's engines.

    Parameters
    ----------
    event_gap_prior : Prior
        Prior for the seconds between events at an idle and at a full engine.
    """

    def __init__(self, event_gap_prior: Prior = EVENT_GAP_PRIOR) -> None:
        self.event_gap = FadingLinearFit(event_gap_prior)
        self.prefill = FadingLinearFit(PREFILL_PRIOR)
        self.mean_events = DEFAULT_EVENTS

    def observe(self, turn: CompletedTurn) -> float:
        """Update the estimates with a turn; return how many times slower than usual it was.

        The stretch of the turn is divided out: it says nothing about the engine.  So is the known
        slowness of the engine from the estimates: slow engines have less load, and the event gap
        would not seem to depend on it.
        """
        pace = turn.stretch * turn.slowness
        load = min(1.0, turn.load)
        self.mean_events += EVENTS_SMOOTHING * (turn.events - self.mean_events)
        if turn.load < 1.0:
            # At a full engine the time to the first event includes the time in its queue.
            self.prefill.observe(turn.prefill_tokens / TOKENS_PER_UNIT, turn.first_event_s / pace)
        if turn.events < 2:
            return 1.0
        gap_s = (turn.seconds - turn.first_event_s) / (turn.events - 1) / turn.stretch
        usual_s = self.event_gap.predict(load)
        self.event_gap.observe(load, gap_s / turn.slowness)
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


__all__ = ["UNEVEN_EVENT_GAP_PRIOR", "CompletedTurn", "EngineSpeed"]
