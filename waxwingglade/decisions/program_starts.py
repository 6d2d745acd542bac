"""Limits how many programs a client account begins within its quota.

Only complete programs are useful to callers.  This handles an account that begins more programs
than its limit allows to complete.  If requests are served in order of arrival, each of these
programs has a request refused before it completes.
"""

from collections import deque

from waxwingglade.decisions.quota import GRANTED, RECENT_S, QuotaDecision, QuotaRules, discard_until

DEFAULT_REQUESTS = 16.0
"""Prior for the number of requests of a program."""

DECAY = 0.99
"""Factor by which each new program reduces the weight of the earlier ones."""

MARGIN_PER_REFUSED = 2.0
"""Increase of the requests that a program is assumed to need, as a multiple of the share of the
limit that was recently refused to running programs."""

MAX_MARGIN = 0.4
"""Upper bound of this increase."""


class ProgramLength:
    """Mean number of requests of a program, over all accounts without recent refusals.

    Parameters
    ----------
    prior : float
        Number of requests that is assumed before the first programs.

    Attributes
    ----------
    requests, programs : float
        Weighted numbers of requests and programs; recent ones have more weight.
    """

    def __init__(self, prior: float = DEFAULT_REQUESTS) -> None:
        self.requests = prior
        self.programs = 1.0

    def record(self, is_first: bool) -> None:
        """Count a request, and its program if the request is the first one."""
        if is_first:
            self.requests *= DECAY
            self.programs = self.programs * DECAY + 1
        self.requests += 1

    @property
    def mean_requests(self) -> float:
        """Mean number of requests of a program."""
        return self.requests / self.programs


class ProgramStarts:
    """Recent program starts and refused requests of an account, in monotonic seconds."""

    def __init__(self) -> None:
        self.started_at: deque[float] = deque()
        self.refused_at: deque[float] = deque()

    def record_refused(self, requests: int, now: float) -> None:
        """Record refused requests of running programs."""
        self.refused_at.extend([now] * requests)


def may_begin(
    starts: ProgramStarts, most: int, rules: QuotaRules, now: float, program_length: float
) -> QuotaDecision:
    """Decide whether an account may begin another program, and count the program if so.

    Parameters
    ----------
    starts : ProgramStarts
        Recent program starts and refused requests of the account.
    most : int
        Requests that the account may send in a window, over all counters.
    program_length : float
        Mean number of requests of a program.
    """
    discard_until(starts.started_at, now - rules.window_s)
    discard_until(starts.refused_at, now - RECENT_S)
    refused = len(starts.refused_at) / most if most > 0 else 1.0
    needed = program_length * (1 + min(MAX_MARGIN, MARGIN_PER_REFUSED * refused))
    if not starts.started_at or len(starts.started_at) * needed < most:
        starts.started_at.append(now)
        return GRANTED
    return QuotaDecision(False, starts.started_at[0] + rules.window_s - now)


__all__ = ["ProgramLength", "ProgramStarts", "may_begin"]
