"""Records of a program log.

The state of a program is computed from its records alone (`waxwingglade.program.state`).  Several
programs share a log, and each record names its program.
"""

import msgspec

from waxwingglade.base import (
    CallId,
    ClassName,
    ConfigVersion,
    Epoch,
    Failure,
    FormatError,
    ProgramId,
    ProgramName,
    TargetId,
    TenantId,
)
from waxwingglade.program.messages import Call, Done
from waxwingglade.settings import ProgramPolicy

FORMAT_VERSION = 1


class Amount(msgspec.Struct, frozen=True):
    """An amount of a budget: tokens, and money in millionths of a cent."""

    tokens: int = 0
    money_microcents: int = 0

    def plus(self, other: "Amount") -> "Amount":
        """Return the sum of two amounts."""
        return Amount(self.tokens + other.tokens, self.money_microcents + other.money_microcents)

    def minus(self, other: "Amount") -> "Amount":
        """Return the difference of two amounts."""
        return Amount(self.tokens - other.tokens, self.money_microcents - other.money_microcents)

    def clamped_at_zero(self) -> "Amount":
        """Return the amount with negative values replaced by zero."""
        return Amount(max(0, self.tokens), max(0, self.money_microcents))


class Created(msgspec.Struct, frozen=True, tag="created"):
    """A program was created.

    Parameters
    ----------
    tenant, program_class : TenantId, ClassName
        Tenant and class of the program.
    policy : ProgramPolicy
        Policy at creation.
    config_version : ConfigVersion
        Version of the configuration that the policy came from.
    created_at : float
        Seconds since 1970.
    request : CallId
        The caller's identifier of the request, so that a repeat returns the same program.
    parent : ProgramId or None
        Program that created this program as a sub-agent.
    name : ProgramName or None
        Name of the agent program in the configuration, if it has one.
    """

    tenant: TenantId
    program_class: ClassName
    policy: ProgramPolicy
    config_version: ConfigVersion
    created_at: float
    request: CallId
    parent: ProgramId | None = None
    name: ProgramName | None = None


class CallStarted(msgspec.Struct, frozen=True, tag="call_started"):
    """A call is about to be sent to `target`, with `reserved` as its reservation.

    The record is durable before the first byte of the call is sent, so no call is sent that the log
    does not show.  `attempt` distinguishes the text of this attempt from the text of a repeat.  The
    configuration version `config_version` applies to the call until it ends.
    """

    call: Call
    reserved: Amount
    target: TargetId | None
    started_at: float
    attempt: str = ""
    idempotent: bool = True
    config_version: ConfigVersion = ConfigVersion(0)


class CallMoved(msgspec.Struct, frozen=True, tag="call_moved"):
    """A call that did not run, or that may be repeated, is about to be sent to another target.

    `reserved` is added to the call's reservation.
    """

    call: CallId
    target: TargetId
    reserved: Amount = Amount()


class CallEnded(msgspec.Struct, frozen=True, tag="call_ended"):
    """A call ended; `spent` replaces its reservation."""

    call: CallId
    outcome: Done | Failure
    spent: Amount
    ended_at: float


class ProgramEnded(msgspec.Struct, frozen=True, tag="program_ended"):
    """A program ended; its targets have to release its cache."""

    reason: str
    ended_at: float


class CacheReleased(msgspec.Struct, frozen=True, tag="cache_released"):
    """Targets confirmed that they no longer hold cache of the program."""

    targets: list[TargetId]


class TakenOver(msgspec.Struct, frozen=True, tag="taken_over"):
    """The log has a new owner; all records before this one are committed."""

    entry: str
    incarnation: str


Body = Created | CallStarted | CallMoved | CallEnded | ProgramEnded | CacheReleased | TakenOver


class Record(msgspec.Struct, frozen=True):
    """One record, as stored in every copy of a log."""

    format: int
    epoch: Epoch
    program: ProgramId | None
    body: Body


class _Header(msgspec.Struct, frozen=True):
    """The part of a record that all format versions share."""

    format: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)
_header_decoder = msgspec.msgpack.Decoder(_Header)


def encode_record(epoch: Epoch, program: ProgramId | None, body: Body) -> bytes:
    """Return the stored form of a record."""
    return _encoder.encode(Record(FORMAT_VERSION, epoch, program, body))


def decode_record(data: bytes) -> Record:
    """Return the record in `data`.

    Raises
    ------
    FormatError
        If the data is corrupt or of a newer format version.
    """
    try:
        header = _header_decoder.decode(data)
    except msgspec.DecodeError as error:
        raise FormatError(f"record cannot be read: {error}") from error
    if header.format > FORMAT_VERSION:
        raise FormatError(f"record has format {header.format}, newer than {FORMAT_VERSION}")
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise FormatError(f"record cannot be read: {error}") from error
