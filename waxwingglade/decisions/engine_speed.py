"""What one entry has observed of the pace of a service's engines.

Engines of different firms differ tenfold in how fast they read prompts and generate, so no figure
of theirs is a constant here.  Each entry learns from the turns that it passed on; the engines of
one service are of one kind, and what sets a single one apart is its slowness.
"""

import msgspec

from waxwingglade.decisions.linear_fit import FadingLinearFit, Prior

THOUSAND = 1000.0

EVENT_PRIOR = Prior(0.025, 0.04, 0.0, 1.0)
"""Seconds between the events of a stream at an idle and at a full engine, before any was seen: a
full batch slows known engines by 0.6."""

READ_PRIOR = Prior(0.04, 0.05, 0.002, 0.1)
"""Seconds to the first event with nothing to read, and with a thousand tokens of prompt to read;
read are between 10 and 500 tokens in a millisecond, as known engines read 39 to 247."""

EVENTS_PRIOR = 10.0
EVENTS_SMOOTHING = 0.05


class CompletedTurn(msgspec.Struct, frozen=True):
    """A turn that an engine has ended whole, as its entry saw it.

    Parameters
    ----------
    load : float
        Requests believed to be at the engine when the turn was sent, as a share of its slots.
    prefill_tokens : int
        Prompt tokens that it was believed to have to read.
    first_event_s, seconds : float
        Seconds from sending to the first event, and to the end.
    events : int
        Events of the stream.
    """

    load: float
    prefill_tokens: int
    first_event_s: float
    seconds: float
    events: int


class EngineSpeed:
    """The pace of a service's engines."""

    def __init__(self) -> None:
        self.event_gap = FadingLinearFit(EVENT_PRIOR)
        self.prefill = FadingLinearFit(READ_PRIOR)
        self.usual_events = EVENTS_PRIOR

    def observe(self, turn: CompletedTurn) -> float:
        """Take in a turn; return how many times slower than usual the engine was."""
        load = min(1.0, turn.load)
        self.usual_events += EVENTS_SMOOTHING * (turn.events - self.usual_events)
        if turn.load < 1.0:
            # At a full engine the time to the first event is the queue's.
            self.prefill.observe(turn.prefill_tokens / THOUSAND, turn.first_event_s)
        if turn.events < 2:
            return 1.0
        gap_s = (turn.seconds - turn.first_event_s) / (turn.events - 1)
        usual_s = self.event_gap.predict(load)
        self.event_gap.observe(load, gap_s)
        return gap_s / usual_s if usual_s > 0 else 1.0

    def prefill_s(self, tokens: float) -> float:
        """Return the seconds that an engine takes to read some tokens of a prompt."""
        return self.prefill.slope * tokens / THOUSAND

    def generation_s(self, load: float) -> float:
        """Return the seconds of a usual turn's events at a load, as a share of the slots."""
        return self.usual_events * self.event_gap.predict(min(1.0, load))

    def disturbance_s(self, slots: int) -> float:
        """Return the seconds by which one more turn at an engine delays each other one there."""
        return self.usual_events * self.event_gap.slope / slots


__all__ = ["CompletedTurn", "EngineSpeed"]
