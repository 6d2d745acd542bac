"""Records that a replica writes to its journal."""

import msgspec

from waxwingglade.base import Fingerprint, ProgramId
from waxwingglade.follow.model import ClientAccountId, ReplicaSet
from waxwingglade.ledger.messages import Account, Ballot, EndTurn, Turn, TurnId
from waxwingglade.ledger.target_failures import TargetFailures


class TurnRecord(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """A stored turn."""

    turn: Turn


class PromiseRecord(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """A promise to accept no proposal below a ballot for a program's account."""

    program: ProgramId
    promised: Ballot


class AcceptRecord(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """An accepted account, with the promise that was made along with it."""

    program: ProgramId
    promised: Ballot
    accepted: Ballot
    account: Account


class EndRecord(msgspec.Struct, frozen=True, array_like=True, tag="e"):
    """The end of a turn that the account may not include yet."""

    end: EndTurn


class ConfirmRecord(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """A turn that this process has begun and confirmed."""

    program: ProgramId
    turn: TurnId


class MembersRecord(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    """A set of members; requests of older sets are refused from then on."""

    replicas: ReplicaSet


class GrantRecord(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """A grant to a client account, with its time in monotonic seconds."""

    client: ClientAccountId
    at: float


class ClockRecord(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """A reading of the monotonic clock in seconds, from which the age of grants is known.

    Parameters
    ----------
    is_first : bool
        Whether it is the first record of its process; the clock of earlier ones may differ.
    """

    at: float
    is_first: bool = False


class CountingRecord(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Whether this process has been a member for long enough to grant its share of the limits."""

    counts: bool


class FailuresRecord(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Targets that failed a request."""

    fingerprint: Fingerprint
    failures: TargetFailures


Record = (
    TurnRecord
    | PromiseRecord
    | AcceptRecord
    | EndRecord
    | ConfirmRecord
    | MembersRecord
    | GrantRecord
    | ClockRecord
    | CountingRecord
    | FailuresRecord
)
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Record).decode

__all__ = [
    "AcceptRecord",
    "ClockRecord",
    "ConfirmRecord",
    "CountingRecord",
    "EndRecord",
    "FailuresRecord",
    "GrantRecord",
    "MembersRecord",
    "PromiseRecord",
    "Record",
    "TurnRecord",
    "decode",
    "encode",
]
