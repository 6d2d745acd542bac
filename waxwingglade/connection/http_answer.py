"""HTTP answers for failures: status, Retry-After and body."""

from http import HTTPStatus

import msgspec

from waxwingglade.base import ErrorCode, Failure, Verdict

STATUS = {
    ErrorCode.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    ErrorCode.UNAUTHENTICATED: HTTPStatus.UNAUTHORIZED,
    ErrorCode.BUDGET_EXCEEDED: HTTPStatus.PAYMENT_REQUIRED,
    ErrorCode.FORBIDDEN: HTTPStatus.FORBIDDEN,
    ErrorCode.NOT_FOUND: HTTPStatus.NOT_FOUND,
    ErrorCode.CONFLICT: HTTPStatus.CONFLICT,
    ErrorCode.OUT_OF_ORDER: HTTPStatus.CONFLICT,
    ErrorCode.PROGRAM_ENDED: HTTPStatus.GONE,
    ErrorCode.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ErrorCode.OVERLOADED: HTTPStatus.TOO_MANY_REQUESTS,
    ErrorCode.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
    ErrorCode.TARGET_FAILED: HTTPStatus.BAD_GATEWAY,
    ErrorCode.TIMEOUT: HTTPStatus.GATEWAY_TIMEOUT,
}
OTHER_STATUS = HTTPStatus.SERVICE_UNAVAILABLE
"""Status of the codes that are not listed: a later retry may succeed."""

RETRY_AFTER_S = {
    ErrorCode.DRAINING: 1.0,
    ErrorCode.FENCED: 1.0,
    ErrorCode.NOT_OWNER: 1.0,
    ErrorCode.OVERLOADED: 2.0,
    ErrorCode.OWNER_LOST: 1.0,
    ErrorCode.OWNER_UNAVAILABLE: 1.0,
    ErrorCode.STORE_UNAVAILABLE: 2.0,
    ErrorCode.UNAVAILABLE: 1.0,
}
"""Seconds after which a client should retry, unless the failure states them itself."""


def status_of(failure: Failure) -> HTTPStatus:
    """Return the HTTP status of a failure."""
    return STATUS.get(failure.code, OTHER_STATUS)


def with_retry_after(failure: Failure) -> Failure:
    """Return the failure with the seconds after which to retry, if a retry may succeed.

    If the request may have run, only the source of the failure can state them, since the recorded
    outcome of a call that may not be repeated does not change.
    """
    if failure.retry_after_s is not None or failure.verdict is not Verdict.NOT_RUN:
        return failure
    if failure.code not in RETRY_AFTER_S:
        return failure
    return msgspec.structs.replace(failure, retry_after_s=RETRY_AFTER_S[failure.code])


def retry_after_header(failure: Failure) -> str | None:
    """Return the Retry-After header in integer seconds, or None if a retry cannot succeed."""
    if failure.retry_after_s is None:
        return None
    return str(max(1, round(failure.retry_after_s)))
