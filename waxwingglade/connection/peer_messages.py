"""Messages between entries.

Every request is sent in an `Envelope` that names the incarnation it is addressed to.  A process
that was restarted at the same address refuses requests that are addressed to its predecessor.
"""

import msgspec

from waxwingglade.base import (
    Failure,
    FormatError,
    Incarnation,
)
from waxwingglade.connection.caller_messages import (
    CallerEvent,
    CallerRequest,
    CallSummary,
    CreateProgram,
    EndProgram,
    FollowCall,
    ListPrograms,
    ProgramFilter,
    ProgramListing,
    ProgramSummary,
    ProgramView,
    ReadProgram,
    SubmitCall,
)
from waxwingglade.connection.log_messages import (
    Appended,
    AppendRecords,
    Behind,
    DropCopy,
    Dropped,
    Fenced,
    FindLog,
    LogFound,
    LogTaken,
    SealCopy,
    SealedCopy,
    TakeLog,
)
from waxwingglade.connection.member_messages import (
    ConfigSnapshot,
    EntryState,
    FetchConfig,
    Heartbeat,
    HeartbeatReply,
)
from waxwingglade.connection.target_messages import (
    CheckPrograms,
    LoadReports,
    Noted,
    ProgramsChecked,
    TargetLoad,
    TargetReport,
    TargetReports,
)

PROTOCOL_VERSION = 1


class PassedOn(msgspec.Struct, frozen=True, tag="passed_on", array_like=True):
    """A caller's request, forwarded to the owner by the entry that received it, at most once."""

    request: CallerRequest


class PassedBack(msgspec.Struct, frozen=True, tag="passed_back", array_like=True):
    """One event of the answer to a forwarded request."""

    event: CallerEvent


class StillRunning(msgspec.Struct, frozen=True, tag="still_running", array_like=True):
    """The forwarded request is still running and has no new event."""


class Refused(msgspec.Struct, frozen=True, tag="refused", array_like=True):
    """The receiver refused the request."""

    failure: Failure


PeerBody = (
    Heartbeat
    | HeartbeatReply
    | FetchConfig
    | ConfigSnapshot
    | AppendRecords
    | Appended
    | Behind
    | Fenced
    | SealCopy
    | SealedCopy
    | DropCopy
    | Dropped
    | TakeLog
    | LogTaken
    | LoadReports
    | TargetReports
    | CheckPrograms
    | ProgramsChecked
    | Noted
    | FindLog
    | LogFound
    | PassedOn
    | PassedBack
    | StillRunning
    | Refused
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Frame around every message between entries.

    Parameters
    ----------
    protocol : int
        Version of the protocol.
    number : int
        Number of the request on its connection; replies repeat it.
    meant_for : Incarnation or ""
        Incarnation that may act on it; empty in replies and in heartbeats to an address.
    body : PeerBody
        The message.
    last : bool
        Whether this message is the last of the answer.
    """

    protocol: int
    number: int
    meant_for: Incarnation | str
    body: PeerBody
    last: bool = True


class _Header(msgspec.Struct, frozen=True, array_like=True):
    """The part of an envelope that every protocol version has."""

    protocol: int


_encoder = msgspec.msgpack.Encoder()


_decoder = msgspec.msgpack.Decoder(Envelope)


_header_decoder = msgspec.msgpack.Decoder(_Header)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the frame for an envelope."""
    return _encoder.encode(envelope)


def decode_envelope(frame: bytes) -> Envelope:
    """Return the envelope in a frame, or raise `FormatError`."""
    try:
        header = _header_decoder.decode(frame)
        if header.protocol > PROTOCOL_VERSION:
            raise FormatError(f"peer protocol {header.protocol} is newer than {PROTOCOL_VERSION}")
        return _decoder.decode(frame)
    except msgspec.DecodeError as error:
        raise FormatError(f"peer frame cannot be read: {error}") from error


__all__ = [
    "PROTOCOL_VERSION",
    "AppendRecords",
    "Appended",
    "Behind",
    "CallSummary",
    "CallerEvent",
    "CallerRequest",
    "CheckPrograms",
    "ConfigSnapshot",
    "CreateProgram",
    "DropCopy",
    "Dropped",
    "EndProgram",
    "EntryState",
    "Envelope",
    "Fenced",
    "FetchConfig",
    "FindLog",
    "FollowCall",
    "Heartbeat",
    "HeartbeatReply",
    "ListPrograms",
    "LoadReports",
    "LogFound",
    "LogTaken",
    "Noted",
    "PassedBack",
    "PassedOn",
    "PeerBody",
    "ProgramFilter",
    "ProgramListing",
    "ProgramSummary",
    "ProgramView",
    "ProgramsChecked",
    "ReadProgram",
    "Refused",
    "SealCopy",
    "SealedCopy",
    "StillRunning",
    "SubmitCall",
    "TakeLog",
    "TargetLoad",
    "TargetReport",
    "TargetReports",
    "decode_envelope",
    "encode_envelope",
]
