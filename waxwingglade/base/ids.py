"""Identifiers used across the package.

Every identifier is a distinct `typing.NewType`, so a type checker distinguishes, for example,
programs from calls.

Notes
-----
A log identifier names the zone, the entry and the incarnation that created the log.  A program
identifier extends the identifier of the log that holds its records.  Both are unique without
coordination, so a zone that is partitioned from the platform can continue to create programs.
"""

import re
import secrets
from typing import NewType

import msgspec

ZoneId = NewType("ZoneId", str)
EntryId = NewType("EntryId", str)
Incarnation = NewType("Incarnation", str)
LogId = NewType("LogId", str)
ProgramId = NewType("ProgramId", str)
CallId = NewType("CallId", str)
TenantId = NewType("TenantId", str)
TargetId = NewType("TargetId", str)
ModelName = NewType("ModelName", str)
ToolName = NewType("ToolName", str)
ClassName = NewType("ClassName", str)
ProgramName = NewType("ProgramName", str)
OperatorId = NewType("OperatorId", str)
Epoch = NewType("Epoch", int)
Sequence = NewType("Sequence", int)
ConfigVersion = NewType("ConfigVersion", int)
Fingerprint = NewType("Fingerprint", str)
"""Digest of what a caller asks for; the same in each repeat of a request, under any request id."""

NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9-]{0,39}$")
CALL_ID_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9_-]{0,79}$")
NONCE_BYTES = 8
LOG_PARTS = 4


class EntryRef(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of an entry, and its addresses.

    Parameters
    ----------
    entry : EntryId
        Name of the entry VM.
    incarnation : Incarnation
        Random name of the process; it changes with each restart.
    zone : ZoneId
        Availability zone of the entry VM.
    peer_address : str
        ZeroMQ endpoint for peers, such as ``tcp://127.0.0.1:7001``.
    http_address : str
        Host and port for callers, such as ``127.0.0.1:8001``.
    disk : Incarnation or ""
        Name of the entry's data folder, if it has one; it stays the same across restarts.
    """

    entry: EntryId
    incarnation: Incarnation
    zone: ZoneId
    peer_address: str
    http_address: str = ""
    disk: Incarnation | str = ""

    def as_holder(self) -> "EntryRef":
        """Return the reference that identifies this entry as a holder of copies of logs.

        An entry with a data folder still holds its copies after a restart, so the name of the
        folder replaces the name of the process.
        """
        if not self.disk:
            return self
        return msgspec.structs.replace(self, incarnation=Incarnation(self.disk))

    def answers_to(self, incarnation: Incarnation | str) -> bool:
        """Return whether a message that is addressed to `incarnation` is for this entry."""
        return incarnation in (self.incarnation, self.disk)


def new_nonce() -> str:
    """Return a random name that is unique across processes."""
    return secrets.token_hex(NONCE_BYTES)


def make_log_id(ref: EntryRef, kind: str, number: int) -> LogId:
    """Return the identifier of the `number`-th log of a kind that `ref` creates."""
    return LogId(f"{ref.zone}.{ref.entry}.{ref.incarnation}.{kind}{number}")


def kind_of(log: LogId) -> str:
    """Return the kind with which a log was created."""
    return log.rsplit(".", 1)[1].rstrip("0123456789")


def make_program_id(log: LogId) -> ProgramId:
    """Return a new identifier for a program whose records are stored in `log`."""
    return ProgramId(f"{log}.{new_nonce()}")


def log_of(program: ProgramId) -> LogId | None:
    """Return the log that holds the records of `program`, or None if the name is malformed."""
    parts = program.split(".")
    if len(parts) != LOG_PARTS + 1 or not all(parts):
        return None
    return LogId(".".join(parts[:LOG_PARTS]))


def creator_of(log: LogId) -> tuple[ZoneId, EntryId, Incarnation]:
    """Return the zone, entry and incarnation that created `log`."""
    zone, entry, incarnation, _ = log.split(".")
    return ZoneId(zone), EntryId(entry), Incarnation(incarnation)
