"""Calls of the etcd v3 JSON gateway over the state of the store stand-in."""

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from waxwingglade.connection.store_codec import (
    DeleteRangeRequest,
    GatewayError,
    GrpcCode,
    LeaseGrantRequest,
    LeaseGrantResponse,
    LeaseKeepAliveResponse,
    LeaseKeepAliveResult,
    LeaseRequest,
    LeaseRevokeResponse,
    Message,
    PutRequest,
    RangeRequest,
    RequestOp,
    ResponseOp,
    TxnRequest,
    decode_message,
    encode_message,
)
from waxwingglade.standins.store_state import StoreRefusal, StoreState

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
HTTP_STATUS = {
    GrpcCode.INVALID_ARGUMENT: HTTPStatus.BAD_REQUEST,
    GrpcCode.NOT_FOUND: HTTPStatus.NOT_FOUND,
    GrpcCode.RESOURCE_EXHAUSTED: HTTPStatus.TOO_MANY_REQUESTS,
    GrpcCode.FAILED_PRECONDITION: HTTPStatus.BAD_REQUEST,
    GrpcCode.OUT_OF_RANGE: HTTPStatus.BAD_REQUEST,
    GrpcCode.UNIMPLEMENTED: HTTPStatus.NOT_IMPLEMENTED,
    GrpcCode.UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
}


class Reply(msgspec.Struct, frozen=True):
    """HTTP status and body of an answer."""

    status: int
    body: bytes


def run_call(state: StoreState, path: str, body: bytes) -> Reply:
    """Execute one call and return its answer, which may be a refusal."""
    operation = OPERATIONS.get(path)
    if operation is None:
        return refusal(GrpcCode.UNIMPLEMENTED, f"no such call: {path}")
    try:
        answer = operation(state, body)
    except StoreRefusal as error:
        return refusal(error.code, error.message)
    except msgspec.MsgspecError as error:
        return refusal(GrpcCode.INVALID_ARGUMENT, str(error))
    return Reply(HTTPStatus.OK, encode_message(answer))


def refusal(code: GrpcCode, message: str) -> Reply:
    """Return an error in the gateway's format."""
    error = GatewayError(error=message, code=code.value, message=message)
    return Reply(HTTP_STATUS[code], msgspec.json.encode(error))


def is_write(path: str, body: bytes) -> bool:
    """Return whether a call counts as a write; a transaction that only reads does not."""
    if path == RANGE_PATH:
        return False
    if path != TXN_PATH:
        return True
    try:
        txn = decode_message(body, TxnRequest)
    except msgspec.MsgspecError:
        return True
    return any(op.request_range is None for op in txn.success + txn.failure)


def run_range(state: StoreState, body: bytes) -> Message:
    """Read a range."""
    return state.range(decode_message(body, RangeRequest))


def run_txn(state: StoreState, body: bytes) -> Message:
    """Execute a transaction."""
    return state.txn(decode_message(body, TxnRequest))


def run_put(state: StoreState, body: bytes) -> Message:
    """Write a key unconditionally."""
    op = RequestOp(request_put=decode_message(body, PutRequest))
    return run_one(state, op).response_put


def run_delete(state: StoreState, body: bytes) -> Message:
    """Delete a range."""
    op = RequestOp(request_delete_range=decode_message(body, DeleteRangeRequest))
    return run_one(state, op).response_delete_range


def run_one(state: StoreState, op: RequestOp) -> ResponseOp:
    """Execute one operation without a condition."""
    return state.txn(TxnRequest(success=[op])).responses[0]


def run_grant(state: StoreState, body: bytes) -> Message:
    """Create a lease."""
    request = decode_message(body, LeaseGrantRequest)
    lease = state.grant(request.TTL, request.ID)
    return LeaseGrantResponse(header=state.header(), ID=lease, TTL=request.TTL)


def run_keep_alive(state: StoreState, body: bytes) -> Message:
    """Extend a lease."""
    lease = decode_message(body, LeaseRequest).ID
    answer = LeaseKeepAliveResponse(header=state.header(), ID=lease, TTL=state.keep_alive(lease))
    return LeaseKeepAliveResult(result=answer)


def run_revoke(state: StoreState, body: bytes) -> Message:
    """Revoke a lease."""
    state.revoke(decode_message(body, LeaseRequest).ID)
    return LeaseRevokeResponse(header=state.header())


OPERATIONS: dict[str, Callable[[StoreState, bytes], Message]] = {
    RANGE_PATH: run_range,
    TXN_PATH: run_txn,
    "/v3/kv/put": run_put,
    "/v3/kv/deleterange": run_delete,
    "/v3/lease/grant": run_grant,
    "/v3/lease/keepalive": run_keep_alive,
    "/v3/lease/revoke": run_revoke,
    "/v3/kv/lease/revoke": run_revoke,
}
