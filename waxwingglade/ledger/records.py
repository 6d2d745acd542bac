"""What a replica writes to its journal."""

import msgspec

from waxwingglade.base import ProgramId
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.ledger.messages import Account, Ballot, EndTurn, Turn


class TurnRecord(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """A turn that is kept."""

    turn: Turn


class PromiseRecord(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """A promise to accept nothing below a ballot for a program's account."""

    program: ProgramId
    promised: Ballot


class AcceptRecord(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """An account as it was accepted, with the promise that goes along."""

    program: ProgramId
    promised: Ballot
    accepted: Ballot
    account: Account


class EndRecord(msgspec.Struct, frozen=True, array_like=True, tag="e"):
    """The end of a turn that the account may not show yet."""

    end: EndTurn


class MembersRecord(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    """A set of members; older ones are refused from then on."""

    replicas: ReplicaSet


Record = TurnRecord | PromiseRecord | AcceptRecord | EndRecord | MembersRecord
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Record).decode

__all__ = [
    "AcceptRecord",
    "EndRecord",
    "MembersRecord",
    "PromiseRecord",
    "Record",
    "TurnRecord",
    "decode",
    "encode",
]
