"""Transactions whose outcome can be determined after their answer is lost.

Every write has two marker keys of its own, `done` and `refused`.  Its transaction requires that
neither exists.  If they do not and the key is at the expected revision, the transaction runs the
write and creates `done`; otherwise it reads `done` and creates `refused`.  So the first copy of
the transaction that reaches the store is decisive.  A later copy, which the client or its HTTP
library has sent again or the network has delayed, changes nothing and reads the decision.  The
revision of `done` is that of the write, even if another client has overwritten the key since.

The markers are deleted when their lease expires, so they need no cleanup.  After that the store
refuses a late copy, because both branches would create a marker under an expired lease.
"""

from waxwingglade.base import ErrorCode, Ok, Outcome, not_run
from waxwingglade.connection.store_codec import (
    Compare,
    CompareTarget,
    PutRequest,
    RangeRequest,
    RequestOp,
    TxnRequest,
    TxnResponse,
)


def marked_txn(key: bytes, expected: int, op: RequestOp, marker: bytes, lease: int) -> TxnRequest:
    """Return a transaction that runs `op` at most once, however often it is sent.

    Parameters
    ----------
    key : bytes
        Key that the condition applies to.
    expected : int
        Required revision of the key's last write; 0 if the key must be absent.
    op : RequestOp
        Operation to run if the condition holds.
    marker : bytes
        Prefix of the names of the marker keys; must never have been used before.
    lease : int
        Id of the lease that the markers are attached to.
    """
    done = marker + b"/done"
    refused = marker + b"/refused"
    return TxnRequest(
        compare=[
            Compare(key=key, target=CompareTarget.MOD, mod_revision=expected),
            Compare(key=done, target=CompareTarget.MOD, mod_revision=0),
            Compare(key=refused, target=CompareTarget.MOD, mod_revision=0),
        ],
        success=[op, RequestOp(request_put=PutRequest(key=done, lease=lease))],
        failure=[
            RequestOp(request_range=RangeRequest(key=done)),
            RequestOp(request_put=PutRequest(key=refused, lease=lease)),
        ],
    )


def read_decision(answer: TxnResponse) -> Outcome[int]:
    """Return the revision of a marked write, or a failure if it did not run and never will."""
    if answer.succeeded:
        return Ok(answer.header.revision)
    done = answer.responses[0].response_range
    if done is not None and done.kvs:
        return Ok(done.kvs[0].mod_revision)
    return not_run(ErrorCode.CONFLICT, "the key has been written since")
