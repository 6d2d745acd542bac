"""Encoding of stored and sent records, each with a format version and a checksum."""

import zlib
from enum import Enum
from typing import TypeVar

import msgspec
import xxhash

from waxwingglade.base import FormatError

T = TypeVar("T")

FORMAT = 1
"""Format version that this release writes, and the newest one that it reads."""

MAX_BODY_BYTES = 32_000_000
COMPRESSION_LEVEL = 6


class RecordKind(Enum):
    """Content of a record."""

    HEAD = "head"
    VERSION = "version"
    VERSIONS = "versions"
    SNAPSHOT = "snapshot"
    PROPOSAL = "proposal"


class NewerFormatError(FormatError):
    """A record was written by a newer release and must not be modified."""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Envelope of every record; the format is the first field in all releases."""

    format: int
    kind: RecordKind
    checksum: int
    compressed: bool
    body: bytes


class FormatProbe(msgspec.Struct, frozen=True, array_like=True):
    """The part of an envelope that all releases can read."""

    format: int


def encode_record(kind: RecordKind, value: msgspec.Struct, compress: bool = False) -> bytes:
    """Return a record in the format of this release."""
    body = msgspec.msgpack.encode(value)
    if compress:
        body = zlib.compress(body, COMPRESSION_LEVEL)
    envelope = Envelope(FORMAT, kind, xxhash.xxh3_64_intdigest(body), compress, body)
    return msgspec.msgpack.encode(envelope)


def record_kind(data: bytes) -> RecordKind:
    """Return the kind of a record, or raise `FormatError`."""
    return _open(data).kind


def decode_record(kind: RecordKind, data: bytes, model: type[T]) -> T:
    """Return the value in a record.

    Raises
    ------
    NewerFormatError
        If a newer release wrote it.
    FormatError
        If it is truncated, corrupt or of another kind.
    """
    envelope = _open(data)
    if envelope.kind is not kind:
        raise FormatError(f"a {kind.value} record was expected, not a {envelope.kind.value} record")
    try:
        return msgspec.msgpack.decode(_body_of(envelope), type=model)
    except msgspec.MsgspecError as error:
        raise FormatError(f"a {kind.value} record is corrupt: {error}") from error


def _open(data: bytes) -> Envelope:
    """Return the envelope of a record; raise `FormatError` if format or checksum is wrong."""
    try:
        found = msgspec.msgpack.decode(data, type=FormatProbe).format
    except msgspec.MsgspecError as error:
        raise FormatError(f"a record is corrupt: {error}") from error
    if found > FORMAT:
        raise NewerFormatError(
            f"a record has format {found}, this release reads up to {FORMAT}; left untouched"
        )
    try:
        envelope = msgspec.msgpack.decode(data, type=Envelope)
    except msgspec.MsgspecError as error:
        raise FormatError(f"a record is corrupt: {error}") from error
    if xxhash.xxh3_64_intdigest(envelope.body) != envelope.checksum:
        raise FormatError(f"a {envelope.kind.value} record is corrupt: its checksum differs")
    return envelope


def _body_of(envelope: Envelope) -> bytes:
    """Return the body of a record, decompressed to at most `MAX_BODY_BYTES`."""
    if not envelope.compressed:
        return envelope.body
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(envelope.body, MAX_BODY_BYTES)
    except zlib.error as error:
        raise FormatError(f"a {envelope.kind.value} record is corrupt: {error}") from error
    if not unpacker.eof:
        raise FormatError(f"a {envelope.kind.value} record is cut short or too large")
    return body
