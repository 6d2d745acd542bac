"""Retries of failed calls, and timeouts of calls."""

from waxwingglade.base import ErrorCode, Failure, Verdict
from waxwingglade.decisions.work import Work
from waxwingglade.settings.decisions import DecisionSettings

RETRYABLE_CODES = frozenset(
    {
        ErrorCode.UNAVAILABLE,
        ErrorCode.TIMEOUT,
        ErrorCode.DRAINING,
        ErrorCode.TARGET_FAILED,
        ErrorCode.OVERLOADED,
    }
)


class RetryBudget:
    """Bounds retries to a share of first attempts, so that they cannot multiply an overload.

    Parameters
    ----------
    settings : DecisionSettings
        Each first attempt adds `retry_ratio` tokens, up to `retry_burst`; each retry consumes one
        token.
    """

    def __init__(self, settings: DecisionSettings) -> None:
        self.settings = settings
        self.tokens = settings.retry_burst

    def record_first_attempt(self) -> None:
        """Add the tokens for the first attempt of a call."""
        self.tokens = min(self.settings.retry_burst, self.tokens + self.settings.retry_ratio)

    def take(self) -> bool:
        """Consume a token for a retry; return whether one was available."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def is_safe(work: Work, failure: Failure) -> bool:
    """Return whether a retry of the call can't repeat a side effect."""
    return work.idempotent or failure.verdict is Verdict.NOT_RUN


def may_retry(work: Work, failure: Failure, budget: RetryBudget) -> bool:
    """Return whether to retry a failed call now, and consume a token of the budget if so."""
    if not is_safe(work, failure) or failure.code not in RETRYABLE_CODES:
        return False
    return budget.take()


def timeout_s(work: Work, now: float) -> float:
    """Return the timeout, in seconds, of a call that is sent now."""
    limit = work.policy.model_timeout_s if work.prompt_tokens else work.policy.tool_timeout_s
    return max(0.0, min(limit, work.deadline_at - now))
