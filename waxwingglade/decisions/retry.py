"""When a failed call may be sent again, and for how long a call may take."""

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
        `retry_ratio` tokens come in with each first attempt, up to `retry_burst`; a retry takes
        one.
    """

    def __init__(self, settings: DecisionSettings) -> None:
        self.settings = settings
        self.tokens = settings.retry_burst

    def record_first_attempt(self) -> None:
        """Count a call that is sent for the first time."""
        self.tokens = min(self.settings.retry_burst, self.tokens + self.settings.retry_ratio)

    def take(self) -> bool:
        """Take a retry out of the budget, if one is left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def is_safe(work: Work, failure: Failure) -> bool:
    """Return whether sending the call again cannot double an effect."""
    return work.idempotent or failure.verdict is Verdict.NOT_RUN


def may_retry(work: Work, failure: Failure, budget: RetryBudget) -> bool:
    """Return whether to send a failed call again now; takes from the budget if so."""
    if not is_safe(work, failure) or failure.code not in RETRYABLE_CODES:
        return False
    return budget.take()


def timeout_s(work: Work, now: float) -> float:
    """Return the seconds after which a call that is sent now should be given up."""
    limit = work.policy.model_timeout_s if work.prompt_tokens else work.policy.tool_timeout_s
    return max(0.0, min(limit, work.deadline_at - now))
