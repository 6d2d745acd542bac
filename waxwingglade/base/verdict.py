"""Verdicts, which state whether a failed request may have run.

Every failure in the package has a verdict, so that callers can decide whether to repeat a request.
"""

from enum import Enum
from typing import TypeAlias, TypeVar

import msgspec
from result import Err, Ok, Result

T = TypeVar("T")


class Verdict(Enum):
    """Whether a request was executed by the target or process that it was meant for."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class ErrorCode(Enum):
    """Stable, machine-readable reason of a failure."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    TOO_LARGE = "too_large"
    BUDGET_EXCEEDED = "budget_exceeded"
    PROGRAM_ENDED = "program_ended"
    OUT_OF_ORDER = "out_of_order"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    TIMEOUT = "timeout"
    UNAVAILABLE = "unavailable"
    DRAINING = "draining"
    NOT_OWNER = "not_owner"
    FENCED = "fenced"
    OWNER_LOST = "owner_lost"
    OWNER_UNAVAILABLE = "owner_unavailable"
    TARGET_FAILED = "target_failed"
    CANCELLED = "cancelled"
    STORE_UNAVAILABLE = "store_unavailable"
    VERSION = "version"
    INTERNAL = "internal"


class Failure(msgspec.Struct, frozen=True, tag="failure"):
    """A failed request, and whether it may have run.

    Parameters
    ----------
    verdict : Verdict
        Whether the request ran.
    code : ErrorCode
        Reason, stable across releases.
    message : str
        Human-readable description in one line.
    retry_after_s : float or None
        Seconds after which a repeat may succeed; None if a repeat does not help.
    """

    verdict: Verdict
    code: ErrorCode
    message: str
    retry_after_s: float | None = None


Outcome: TypeAlias = Result[T, Failure]


def not_run(code: ErrorCode, message: str, retry_after_s: float | None = None) -> Err[Failure]:
    """Return a failure of a request that certainly did not run."""
    return Err(Failure(Verdict.NOT_RUN, code, message, retry_after_s))


def may_have_run(code: ErrorCode, message: str, retry_after_s: float | None = None) -> Err[Failure]:
    """Return a failure of a request that may have run."""
    return Err(Failure(Verdict.MAY_HAVE_RUN, code, message, retry_after_s))


def ran(code: ErrorCode, message: str) -> Err[Failure]:
    """Return a failure of a request that ran and failed."""
    return Err(Failure(Verdict.RAN, code, message))


__all__ = [
    "Err",
    "ErrorCode",
    "Failure",
    "Ok",
    "Outcome",
    "Verdict",
    "may_have_run",
    "not_run",
    "ran",
]
