"""How many requests of a client account may still go to targets, as one of many counters sees it.

An account's limit holds over all entries and in every span of the window's length.  Several
processes count, and none waits for another: each may grant a part of the limit, and the parts never
add up to more than the whole, whoever is cut off from whom.

Only whole programs are worth anything to callers.  This answers an account that begins more
programs than its limit carries to their ends: served in order of arrival, all of them are refused
somewhere on their way.
"""

from collections import deque

import msgspec

USUAL_REQUESTS = 16.0
"""Requests of a program, before any was counted."""

MARGIN = 1.4
"""How many times its usual requests a program is taken to need while programs under way are
refused; one that is refused close to its end has used the limit for nothing."""

PRESSED_S = 10.0
"""Seconds for which that goes on after a program under way was refused."""

FORGETTING = 0.99
"""Weight that what was counted of programs keeps with each later one."""


class QuotaRules(msgspec.Struct, frozen=True):
    """How limits are counted.

    Parameters
    ----------
    window_s : float
        Length in seconds of the spans in which requests are counted.
    excess, slack : float
        What may pass beyond a limit since many processes count: a share of it, and requests.
    """

    window_s: float
    excess: float = 0.0
    slack: float = 0.0

    def most(self, rate_per_s: float, burst: float) -> int:
        """Return the requests that may pass in a window, over all counters."""
        limit = rate_per_s * self.window_s + burst
        return int(limit * (1 + self.excess) + self.slack)


class Verdict(msgspec.Struct, frozen=True):
    """What a counter says of one request.

    Parameters
    ----------
    granted : bool
        Whether it may go to a target.
    retry_s : float
        Otherwise, seconds after which there is room again.
    """

    granted: bool
    retry_s: float = 0.0


GRANTED = Verdict(True)


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


class Grants:
    """What one counter has granted to one account lately; times are monotonic seconds.

    Attributes
    ----------
    times : deque of float
        When requests were granted, in order.
    begun : deque of float
        When requests with which programs begin were granted, in order.
    refused_at : float
        When a request of a program under way was refused last.
    """

    def __init__(self) -> None:
        self.times: deque[float] = deque()
        self.begun: deque[float] = deque()
        self.refused_at = float("-inf")

    def note(self, at: float, is_first: bool) -> None:
        """Count a request that was granted."""
        self.times.append(at)
        if is_first:
            self.begun.append(at)

    def give_back(self, is_first: bool) -> None:
        """Take back the grant of a request that reaches no target."""
        for times in (self.times, self.begun) if is_first else (self.times,):
            if times:
                times.pop()

    def pressed(self, now: float) -> bool:
        """Return whether a program under way was refused lately."""
        return now - self.refused_at < PRESSED_S

    def forget(self, before: float) -> None:
        """Forget what was granted before a moment."""
        for times in (self.times, self.begun):
            while times and times[0] <= before:
                times.popleft()


def judge(
    grants: Grants,
    most: int,
    rules: QuotaRules,
    now: float,
    is_first: bool,
    program_size: float = USUAL_REQUESTS,
) -> Verdict:
    """Judge one request, letting programs under way go before new ones.

    Parameters
    ----------
    grants : Grants
        What this counter has granted to the account.
    most : int
        What it may grant in a window.
    is_first : bool
        Whether a program begins with the request.
    program_size : float
        Requests of a usual program.
    """
    grants.forget(now - rules.window_s)
    verdict = judge_in_order(grants, most, rules, now)
    if not verdict.granted and not is_first:
        grants.refused_at = now
    if not verdict.granted or not is_first or not grants.begun:
        return verdict
    needed = program_size * (MARGIN if grants.pressed(now) else 1.0)
    if len(grants.begun) * needed < most:
        return verdict
    return Verdict(False, grants.begun[0] + rules.window_s - now)


def judge_in_order(
    grants: Grants,
    most: int,
    rules: QuotaRules,
    now: float,
    _is_first: bool = False,
    _program_size: float = USUAL_REQUESTS,
) -> Verdict:
    """Judge one request by what was granted alone, whichever it is."""
    grants.forget(now - rules.window_s)
    if len(grants.times) < most:
        return GRANTED
    if most <= 0:
        return Verdict(False, rules.window_s)
    return Verdict(False, grants.times[-most] + rules.window_s - now)


__all__ = [
    "GRANTED",
    "Grants",
    "ProgramSize",
    "QuotaRules",
    "Verdict",
    "judge",
    "judge_in_order",
]
