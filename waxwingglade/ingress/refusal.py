"""Answers of this system to calls that it refuses."""

from waxwingglade.ingress.dialect import Dialect
from waxwingglade.transport.messages import HeaderList

BAD_REQUEST, UNAUTHORIZED, BUDGET_SPENT, NOT_FOUND = 400, 401, 402, 404
TOO_MANY = 429
BAD_GATEWAY, UNAVAILABLE, TIMED_OUT = 502, 503, 504

_RETRYABLE = (TOO_MANY, UNAVAILABLE)


class Refusal(Exception):
    """A call is answered by this system itself.

    Parameters
    ----------
    status : int
        Status of the answer.
    reason : str
        One line for the caller and the log.
    retry_after_s : float or None
        Seconds after which a caller whose request did not run may retry; None for the default.
    """

    def __init__(self, status: int, reason: str, retry_after_s: float | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


def own_answer(
    dialect: Dialect, usual_retry_s: float, request: str, refusal: Refusal
) -> tuple[int, HeaderList, bytes]:
    """Return status, headers and body of the answer for a refusal."""
    headers = [*dialect.own_headers(request), ("Content-Type", "text/plain")]
    if refusal.status in _RETRYABLE:
        retry_s = refusal.retry_after_s or usual_retry_s
        headers.append(("Retry-After", f"{retry_s:.2f}"))
    if refusal.status == UNAUTHORIZED:
        headers.append(("WWW-Authenticate", "Bearer"))
    return refusal.status, headers, (refusal.reason + "\n").encode()


__all__ = [
    "BAD_GATEWAY",
    "BAD_REQUEST",
    "BUDGET_SPENT",
    "NOT_FOUND",
    "TIMED_OUT",
    "TOO_MANY",
    "UNAUTHORIZED",
    "UNAVAILABLE",
    "Refusal",
    "own_answer",
]
