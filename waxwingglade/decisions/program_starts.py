"""Whether a client account may begin one more program within its limit.

Only whole programs are worth anything to callers.  This answers an account that begins more
programs than its limit carries to their ends: served in order of arrival, all of them are refused
somewhere on their way.
"""

from collections import deque

from waxwingglade.decisions.quota import GRANTED, RECENT_S, Judgement, QuotaRules, forget

USUAL_REQUESTS = 16.0
"""Requests of a program, before any was counted."""

FORGETTING = 0.99
"""Weight that what was counted of programs keeps with each later one."""

MARGIN_PER_REFUSED = 2.0
"""By how much more a program is taken to need, as a multiple of the share of the limit that was
refused to programs under way lately."""

MOST_MARGIN = 0.4
"""Most by which it is."""


class ProgramSize:
    """How many requests a program makes, over all accounts that are refused nothing.

    Attributes
    ----------
    requests, programs : float
        Requests and programs that were counted, the later ones with more weight.
    """

    def __init__(self) -> None:
        self.requests = USUAL_REQUESTS
        self.programs = 1.0

    def note(self, is_first: bool) -> None:
        """Count a request, with which a program may begin."""
        if is_first:
            self.requests *= FORGETTING
            self.programs = self.programs * FORGETTING + 1
        self.requests += 1

    @property
    def usual(self) -> float:
        """Requests of a usual program."""
        return self.requests / self.programs


class Starts:
    """Programs that an account has begun lately, and what it was refused; monotonic seconds."""

    def __init__(self) -> None:
        self.begun: deque[float] = deque()
        self.refused: deque[float] = deque()

    def note_refused(self, requests: int, now: float) -> None:
        """Take in that requests of programs under way were refused."""
        self.refused.extend([now] * requests)


def may_begin(
    starts: Starts, most: int, rules: QuotaRules, now: float, program_size: float
) -> Judgement:
    """Judge whether an account may begin one more program, and count it if so.

    Parameters
    ----------
    starts : Starts
        What the account has begun and was refused.
    most : int
        Requests that it may send in a window, over all counters.
    program_size : float
        Requests of a usual program.
    """
    forget(starts.begun, now - rules.window_s)
    forget(starts.refused, now - RECENT_S)
    refused = len(starts.refused) / most if most > 0 else 1.0
    needed = program_size * (1 + min(MOST_MARGIN, MARGIN_PER_REFUSED * refused))
    if not starts.begun or len(starts.begun) * needed < most:
        starts.begun.append(now)
        return GRANTED
    return Judgement(False, starts.begun[0] + rules.window_s - now)


__all__ = ["ProgramSize", "Starts", "may_begin"]
