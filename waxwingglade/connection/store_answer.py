"""Classification of the store's answers: whether a request ran, did not run or may have run."""

from http import HTTPStatus

import msgspec

from waxwingglade.base import ErrorCode, Failure, Ok, Outcome, may_have_run, not_run
from waxwingglade.connection.http import HttpAnswer
from waxwingglade.connection.store_codec import (
    LEASE_EXISTS_MESSAGE,
    LEASE_NOT_FOUND_MESSAGE,
    TOO_LARGE_MESSAGE,
    GatewayError,
    GrpcCode,
    decode_message,
)

RETRY_AFTER_S = 1.0
MAY_HAVE_RUN_CODES = {
    GrpcCode.UNKNOWN.value,
    GrpcCode.DEADLINE_EXCEEDED.value,
    GrpcCode.UNAVAILABLE.value,
}
CODE_BY_MESSAGE = {
    TOO_LARGE_MESSAGE: ErrorCode.TOO_LARGE,
    LEASE_NOT_FOUND_MESSAGE: ErrorCode.FENCED,
    LEASE_EXISTS_MESSAGE: ErrorCode.CONFLICT,
}


def classify_no_answer(failure: Failure) -> Failure:
    """Return the failure that is reported for a request without a complete answer."""
    return Failure(failure.verdict, ErrorCode.STORE_UNAVAILABLE, failure.message, RETRY_AFTER_S)


def classify_answer(answer: HttpAnswer) -> Outcome[bytes]:
    """Return the body of a success, or a failure that says whether the request may have run."""
    if answer.status == HTTPStatus.OK:
        return Ok(answer.body)
    error = _decode_error(answer)
    message = error.message or error.error
    if (
        error.code == GrpcCode.RESOURCE_EXHAUSTED.value
        or answer.status == HTTPStatus.TOO_MANY_REQUESTS
    ):
        return not_run(ErrorCode.STORE_UNAVAILABLE, message, RETRY_AFTER_S)
    if error.code in MAY_HAVE_RUN_CODES or answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return may_have_run(ErrorCode.STORE_UNAVAILABLE, message, RETRY_AFTER_S)
    return not_run(CODE_BY_MESSAGE.get(message, ErrorCode.BAD_REQUEST), message)


def _decode_error(answer: HttpAnswer) -> GatewayError:
    try:
        return decode_message(answer.body, GatewayError)
    except msgspec.MsgspecError:
        return GatewayError(message=f"HTTP status {answer.status}")
