"""Whether a client account may begin one more program within its limit.

Only whole programs are worth anything to callers.  This answers an account that begins more
programs than its limit carries to their ends: served in order of arrival, all of them are refused
somewhere on their way.
"""

from collections import deque

from waxwingglade.decisions.quota import GRANTED, RECENT_S, QuotaDecision, QuotaRules, discard_until

USUAL_REQUESTS = 16.0
"""Requests of a program, before any was counted."""

FORGETTING = 0.99
"""Weight that what was counted of programs keeps with each later one."""

MARGIN_PER_REFUSED = 2.0
"""By how much more a program is taken to need, as a multiple of the share of the limit that was
refused to programs under way lately."""

MOST_MARGIN = 0.4
"""Most by which it is."""


class ProgramLength:
    """How many requests a program makes, over all accounts that are refused nothing.

    Attributes
    ----------
    requests, programs : float
        Requests and programs that were counted, the later ones with more weight.
    """

    def __init__(self) -> None:
        self.requests = USUAL_REQUESTS
        self.programs = 1.0

    def record(self, is_first: bool) -> None:
        """Count a request, with which a program may begin."""
        if is_first:
            self.requests *= FORGETTING
            self.programs = self.programs * FORGETTING + 1
        self.requests += 1

    @property
    def mean_requests(self) -> float:
        """Requests of a usual program."""
        return self.requests / self.programs


class ProgramStarts:
    """Programs that an account has begun lately, and what it was refused; monotonic seconds."""

    def __init__(self) -> None:
        self.started_at: deque[float] = deque()
        self.refused_at: deque[float] = deque()

    def record_refused(self, requests: int, now: float) -> None:
        """Take in that requests of programs under way were refused."""
        self.refused_at.extend([now] * requests)


def may_begin(
    starts: ProgramStarts, most: int, rules: QuotaRules, now: float, program_size: float
) -> QuotaDecision:
    """Judge whether an account may begin one more program, and count it if so.

    Parameters
    ----------
    starts : ProgramStarts
        What the account has begun and was refused.
    most : int
        Requests that it may send in a window, over all counters.
    program_size : float
        Requests of a usual program.
    """
    discard_until(starts.started_at, now - rules.window_s)
    discard_until(starts.refused_at, now - RECENT_S)
    refused = len(starts.refused_at) / most if most > 0 else 1.0
    needed = program_size * (1 + min(MOST_MARGIN, MARGIN_PER_REFUSED * refused))
    if not starts.started_at or len(starts.started_at) * needed < most:
        starts.started_at.append(now)
        return GRANTED
    return QuotaDecision(False, starts.started_at[0] + rules.window_s - now)


__all__ = ["ProgramLength", "ProgramStarts", "may_begin"]
