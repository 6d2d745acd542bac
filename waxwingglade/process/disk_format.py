"""Format of the files in a data folder.

A file consists of a header followed by frames::

    header   magic (8)  version (2)  kind (2)  generation (8)  checksum of these (8)
    frame    length (4)  sequence (8)  checksum (8)  content (`length` bytes of MessagePack)

Numbers are big-endian.  The checksum of a frame (XXH3, 64 bits) covers the generation of the file,
the offset of the frame, its length, its sequence and its content.  So bytes that remain on the disk
from another file, or that belong elsewhere in this one, are not accepted as a frame.  The checksum
detects damage; it does not protect against forged files.

The format of the header is the same in all versions, so that an older release recognises a newer
file.
"""

import struct
from collections.abc import Iterable, Iterator
from enum import Enum
from pathlib import Path
from typing import TypeAlias

import msgspec
import xxhash

from waxwingglade.base import EntryRef, Epoch, FormatError, Incarnation, LogId

MAGIC = b"waxwingg"
FORMAT_VERSION = 1
CHUNK_BYTES = 1 << 20
"""Approximate size of the records in one frame; a single larger record has a frame of its own."""

_HEADER_FIELDS = struct.Struct(">8sHHQ")
_FRAME_FIELDS = struct.Struct(">IQ")
_CHECKSUM = struct.Struct(">Q")
_POSITION = struct.Struct(">QQ")
HEADER_BYTES = _HEADER_FIELDS.size + _CHECKSUM.size
FRAME_HEADER_BYTES = _FRAME_FIELDS.size + _CHECKSUM.size


class FileKind(Enum):
    """Purpose of a file."""

    IDENTITY = 1
    INDEX = 2
    LOG = 3


# --- contents of frames -------------------------------------------------------------------------


class Identity(msgspec.Struct, frozen=True, tag="identity"):
    """Member of the fleet that a folder belongs to, and how often the folder was opened."""

    incarnation: Incarnation
    starts: int


class LogMark(msgspec.Struct, frozen=True):
    """The part of one log that is known to be durable.

    Parameters
    ----------
    log : LogId
        The log.
    generation : int
        Generation of its file; for a dropped log, higher than that of any earlier file.
    length : int
        Durable length of the file in bytes.
    promised : Epoch
        Lowest epoch that the copy accepts.
    dropped : bool
        Whether the copy was dropped; it has no file then.
    """

    log: LogId
    generation: int
    length: int
    promised: Epoch
    dropped: bool = False


class IndexOpened(msgspec.Struct, frozen=True, tag="index_opened"):
    """First frame of the index, with the marks of all logs."""

    incarnation: Incarnation
    marks: list[LogMark]


class Marked(msgspec.Struct, frozen=True, tag="marked"):
    """The marks that one group commit changed."""

    marks: list[LogMark]


class Opened(msgspec.Struct, frozen=True, tag="opened"):
    """First frame of a log: the state of a copy when its file is created.

    Its `record_count` records follow in `Appended` frames.  A copy that is not `whole` has lost
    records; only its promise is valid.
    """

    log: LogId
    promised: Epoch
    epoch: Epoch
    owner: EntryRef | None
    copies: list[EntryRef]
    registered: bool
    record_count: int
    whole: bool = True


class Appended(msgspec.Struct, frozen=True, tag="appended"):
    """Records from position `first` on; `copies` is None if the holders are unchanged."""

    first: int
    records: list[bytes]
    registered: bool
    copies: list[EntryRef] | None = None


class Promised(msgspec.Struct, frozen=True, tag="promised"):
    """The copy accepts no epoch below `epoch` from now on."""

    epoch: Epoch


FrameBody: TypeAlias = Identity | IndexOpened | Marked | Opened | Appended | Promised

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(FrameBody)


# --- writing ------------------------------------------------------------------------------------


def encode_header(kind: FileKind, generation: int) -> bytes:
    """Return the first bytes of a file."""
    fields = _HEADER_FIELDS.pack(MAGIC, FORMAT_VERSION, kind.value, generation)
    return fields + _CHECKSUM.pack(xxhash.xxh3_64_intdigest(fields))


def encode_frames(
    bodies: Iterable[FrameBody], generation: int, sequence: int, offset: int
) -> Iterator[bytes]:
    """Yield consecutive frames from `offset` on.

    Parameters
    ----------
    bodies : iterable of FrameBody
        Contents; one with many records is split into several frames.
    generation : int
        Generation of the file.
    sequence : int
        Number of the group commit that writes the frames.
    offset : int
        Position of the first frame in the file, in bytes.
    """
    for body in bodies:
        for part in _split(body):
            frame = _encode_frame(part, generation, sequence, offset)
            offset += len(frame)
            yield frame


def _split(body: FrameBody) -> Iterator[FrameBody]:
    """Yield a body in parts of about `CHUNK_BYTES`, to limit the memory used for encoding."""
    if not isinstance(body, Appended):
        yield body
        return
    start, size = 0, 0
    for number, record in enumerate(body.records):
        size += len(record)
        if size >= CHUNK_BYTES and number + 1 < len(body.records):
            yield _part(body, start, number + 1)
            start, size = number + 1, 0
    yield _part(body, start, len(body.records))


def _part(body: Appended, start: int, end: int) -> Appended:
    return Appended(body.first + start, body.records[start:end], body.registered, body.copies)


def _encode_frame(body: FrameBody, generation: int, sequence: int, offset: int) -> bytes:
    content = _encoder.encode(body)
    fields = _FRAME_FIELDS.pack(len(content), sequence)
    checksum = _CHECKSUM.pack(_frame_checksum(generation, offset, fields, content))
    return b"".join((fields, checksum, content))


def _frame_checksum(
    generation: int, offset: int, fields: bytes | memoryview, content: bytes | memoryview
) -> int:
    digest = xxhash.xxh3_64(_POSITION.pack(generation, offset))
    digest.update(fields)
    digest.update(content)
    return digest.intdigest()


# --- reading ------------------------------------------------------------------------------------


class Frame(msgspec.Struct, frozen=True):
    """A complete frame; `end` is the offset of the byte after it."""

    body: FrameBody
    sequence: int
    end: int


class FileContent(msgspec.Struct, frozen=True):
    """The complete frames of a file, up to the first incomplete or damaged one.

    `size` is the size of the file in bytes, including what follows the last complete frame.
    """

    generation: int
    frames: list[Frame]
    size: int

    @property
    def end(self) -> int:
        """Offset of the byte after the last complete frame."""
        return self.frames[-1].end if self.frames else HEADER_BYTES


def read_file(data: bytes, kind: FileKind, path: Path) -> FileContent | None:
    """Return the readable content of a file; None if its header is damaged.

    Raises
    ------
    FormatError
        The file has a newer format version, or an undamaged frame cannot be decoded.
    """
    generation = _read_header(data, kind, path)
    if generation is None:
        return None
    frames: list[Frame] = []
    offset = HEADER_BYTES
    while (frame := _read_frame(memoryview(data), offset, generation, path)) is not None:
        frames.append(frame)
        offset = frame.end
    return FileContent(generation, frames, len(data))


def _read_header(data: bytes, kind: FileKind, path: Path) -> int | None:
    """Return the generation of a file."""
    if len(data) < HEADER_BYTES:
        return None
    fields = data[: _HEADER_FIELDS.size]
    (checksum,) = _CHECKSUM.unpack_from(data, _HEADER_FIELDS.size)
    if checksum != xxhash.xxh3_64_intdigest(fields):
        return None
    magic, version, kind_number, generation = _HEADER_FIELDS.unpack(fields)
    if magic != MAGIC:
        return None
    if version > FORMAT_VERSION:
        raise FormatError(f"{path}: format version {version} is newer than {FORMAT_VERSION}")
    return generation if kind_number == kind.value else None


def _read_frame(data: memoryview, offset: int, generation: int, path: Path) -> Frame | None:
    start = offset + FRAME_HEADER_BYTES
    if start > len(data):
        return None
    fields = data[offset : offset + _FRAME_FIELDS.size]
    length, sequence = _FRAME_FIELDS.unpack(fields)
    (checksum,) = _CHECKSUM.unpack_from(data, offset + _FRAME_FIELDS.size)
    content = data[start : start + length]
    if len(content) < length:
        return None
    if checksum != _frame_checksum(generation, offset, fields, content):
        return None
    try:
        return Frame(_decoder.decode(content), sequence, start + length)
    except msgspec.DecodeError as error:
        # The checksum matches, so the frame is not damaged: it was written in another format.
        raise FormatError(f"{path}: frame at byte {offset} cannot be read: {error}") from error
