"""The ledger's journal on disk: segments of frames with checksums, flushed in groups by a thread.

A record is durable only after its flush.  After a loss of power, records written since the last
flush may be complete, truncated or missing.  Reading stops at the first invalid frame and discards
the rest of the segment.
"""

import asyncio
import os
import secrets
import struct
import threading
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import NamedTuple

import xxhash
from loguru import logger

from waxwingglade.base import WaxwinggladeError, monotonic
from waxwingglade.base.tasks import start_task
from waxwingglade.ledger.disk_thread import DiskThread

FORMAT = b"waxwingglade-ledger-1\n"
SEGMENT_BYTES = 16 * 1024 * 1024
"""Size at which the next segment is started; segments are only removed as a whole."""

RETRY_DELAY_S = 0.2
"""Seconds before a failed write is retried."""

SLOW_FLUSH_S = 0.2
"""Duration in seconds from which a flush is logged; longer ones delay rounds of messages, which
continue without this replica."""

GROUP_ITERATIONS = 2
"""Iterations of the event loop for which a group waits for further records: those between the grant
of a turn's request and the reservation of its tokens, which then take one flush instead of two."""

_FRAME = struct.Struct("<II")
_IDENTITY = "identity"
_SUFFIX = ".ledger"


class Place(NamedTuple):
    """Location of a record's content on the disk: segment, offset and length in bytes."""

    segment: int
    offset: int
    length: int


class JournalFailed(WaxwinggladeError):
    """A record is not known to be durable, and no later one will be."""


class Journal:
    """The journal in one data folder.

    Parameters
    ----------
    folder : Path
        Existing data folder.

    Attributes
    ----------
    disk : str
        Random name of the content of the folder.
    flushed_bytes : int
        Bytes written since the start.
    longest_flush_s : float
        Duration of the slowest flush since the start, in seconds.
    failure : JournalFailed or None
        Why all records are refused.  After an unforeseen exception it is not known what was
        written, and what the process has in memory is not what a restart would read.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.disk = _identity(folder)
        self.segments: dict[int, int] = {}
        self.active = 0
        self.file = -1
        self.size = 0
        self.pending: list[tuple[bytes, asyncio.Future[Place]]] = []
        self.wake = asyncio.Event()
        self.thread = DiskThread()
        self.writer: asyncio.Task | None = None
        self.flushed_bytes = 0
        self.flushes = 0
        self.longest_flush_s = 0.0
        self.failing = False
        self.failure: JournalFailed | None = None
        self.writing: list[tuple[bytes, asyncio.Future[Place]]] = []
        self.has_partial_write = False
        self.closed = threading.Event()

    # Reading

    def replay(self) -> Iterator[tuple[Place, bytes]]:
        """Yield all valid records, oldest first; then open the last segment for writing."""
        numbers = sorted(int(path.stem) for path in self.folder.glob("*" + _SUFFIX))
        for number in numbers:
            end = 0
            for offset, content in self._read_segment(number):
                end = offset + len(content)
                yield Place(number, offset, len(content)), content
            self.segments[number] = end
        self._open_segment(numbers[-1] if numbers else 1)

    def _read_segment(self, number: int) -> Iterator[tuple[int, bytes]]:
        data = self._path(number).read_bytes()
        if not data.startswith(FORMAT):
            if data:
                logger.bind(segment=number).warning("segment without format header ignored")
            return
        offset = len(FORMAT)
        while offset + _FRAME.size <= len(data):
            length, checksum = _FRAME.unpack_from(data, offset)
            start = offset + _FRAME.size
            content = data[start : start + length]
            if len(content) != length or _checksum(number, start, content) != checksum:
                break
            yield start, content
            offset = start + length
        if offset < len(data):
            logger.bind(segment=number, bytes=len(data) - offset).warning(
                "incomplete write discarded"
            )

    def read(self, place: Place) -> bytes:
        """Return the content of a record; blocks while the disk is read."""
        file = os.open(self._path(place.segment), os.O_RDONLY)
        try:
            return os.pread(file, place.length, place.offset)
        finally:
            os.close(file)

    # Writing

    def start(self) -> None:
        """Start to write appended records."""
        self.writer = start_task(self._write_or_refuse())

    def append(self, content: bytes, within_s: float = 0.0) -> "asyncio.Future[Place]":
        """Append a record to the next group; the future is done once the record is durable.

        The future fails with `JournalFailed` if the journal has failed.

        Parameters
        ----------
        within_s : float
            Seconds for which the record may wait for further records, since each group delays the
            next one.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Place] = loop.create_future()
        if self.failure is not None:
            _refuse(future, self.failure)
            return future
        self.pending.append((content, future))
        if within_s:
            loop.call_later(within_s, self.wake.set)
        else:
            self.wake.set()
        return future

    async def stop(self) -> None:
        """Write pending records, unless the disk fails, and close."""
        self.closed.set()
        if self.writer is not None:
            self.writer.cancel()
            await asyncio.gather(self.writer, return_exceptions=True)
        self.thread.stop()

    async def _write_or_refuse(self) -> None:
        """Write groups; after an unforeseen exception refuse all records, also later ones."""
        try:
            await self._write_groups()
        except Exception as error:
            logger.opt(exception=error).error("journal failed")
            self.failure = JournalFailed(f"the journal failed: {error!r}")
            for _, future in self.writing + self.pending:
                _refuse(future, self.failure)
            self.writing, self.pending = [], []

    async def _write_groups(self) -> None:
        while True:
            await self.wake.wait()
            # A request may write twice, with some iterations of the event loop in between.  A
            # flush costs far more than these.
            for _ in range(GROUP_ITERATIONS):
                await asyncio.sleep(0)
            self.wake.clear()
            self.writing, self.pending = self.pending, []
            if not self.writing:
                continue
            contents = [content for content, _ in self.writing]
            places = await self.thread.run(partial(self._write_until_done, contents))
            for (_, future), place in zip(self.writing, places, strict=True):
                if not future.done():
                    future.set_result(place)
            self.writing = []

    def _write_until_done(self, contents: list[bytes]) -> list[Place]:
        """Write and flush a group; after an error truncate the file and retry."""
        while True:
            try:
                places = self._write(contents)
            except OSError as error:
                if not self.failing:
                    logger.bind(reason=str(error)).error("disk lost")
                self.failing = True
                if self.closed.wait(RETRY_DELAY_S):
                    raise
                continue
            if self.failing:
                logger.info("disk regained")
            self.failing = False
            return places

    def _write(self, contents: list[bytes]) -> list[Place]:
        if self.size >= SEGMENT_BYTES:
            self._open_segment(self.active + 1)
        places = []
        parts = []
        offset = self.size
        for content in contents:
            start = offset + _FRAME.size
            parts.append(_FRAME.pack(len(content), _checksum(self.active, start, content)))
            parts.append(content)
            places.append(Place(self.active, start, len(content)))
            offset = start + len(content)
        data = b"".join(parts)
        if self.has_partial_write:
            os.ftruncate(self.file, self.size)
        self.has_partial_write = True
        written = 0
        while written < len(data):
            written += os.pwrite(self.file, data[written:], self.size + written)
        self._flush(len(data))
        self.has_partial_write = False
        self.size = offset
        self.segments[self.active] = offset
        self.flushed_bytes += len(data)
        self.flushes += 1
        return places

    def _flush(self, size: int) -> None:
        """Make written bytes durable, and record the duration."""
        began_at = monotonic()
        os.fdatasync(self.file)
        seconds = monotonic() - began_at
        self.longest_flush_s = max(self.longest_flush_s, seconds)
        if seconds >= SLOW_FLUSH_S:
            logger.bind(seconds=round(seconds, 3), bytes=size).warning("slow flush")

    def _open_segment(self, number: int) -> None:
        """Open a segment for writing; its header and its directory entry are durable."""
        if self.file >= 0:
            os.close(self.file)
            self.file = -1
        path = self._path(number)
        size = self.segments.get(number, 0)
        file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            if size < len(FORMAT):
                os.ftruncate(file, 0)
                os.pwrite(file, FORMAT, 0)
                size = len(FORMAT)
            else:
                os.ftruncate(file, size)
            os.fsync(file)
            _sync_folder(self.folder)
        except OSError:
            os.close(file)
            raise
        self.file, self.active, self.size = file, number, size
        self.segments[number] = size

    async def drop(self, number: int) -> None:
        """Remove the segments with lower numbers."""
        # The writing thread does this, as only it changes the list of segments.
        await self.thread.run(partial(self._drop_before, number))

    def _drop_before(self, number: int) -> None:
        for old in sorted(self.segments):
            if old >= number:
                return
            self._path(old).unlink(missing_ok=True)
            del self.segments[old]

    def _path(self, number: int) -> Path:
        return self.folder / f"{number:08d}{_SUFFIX}"


def _refuse(future: "asyncio.Future[Place]", failure: JournalFailed) -> None:
    if not future.done():
        future.set_exception(failure)
        # Not every record is waited for.
        future.exception()


def _checksum(segment: int, offset: int, content: bytes) -> int:
    """Return a checksum of the content and its location."""
    return xxhash.xxh32_intdigest(content, seed=(segment * 1_000_003 + offset) & 0xFFFFFFFF)


def _identity(folder: Path) -> str:
    """Return the name of the folder's content; create one for an empty folder."""
    path = folder / _IDENTITY
    try:
        name = path.read_text().strip()
    except FileNotFoundError:
        name = ""
    if name:
        return name
    for left in folder.glob("*" + _SUFFIX):
        # Without its identity the content of the folder is not trustworthy.
        left.unlink()
    name = secrets.token_hex(8)
    temporary = folder / (_IDENTITY + ".new")
    with temporary.open("w") as file:
        file.write(name)
        file.flush()
        os.fsync(file.fileno())
    temporary.rename(path)
    _sync_folder(folder)
    logger.bind(disk=name).info("empty disk")
    return name


def _sync_folder(folder: Path) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


__all__ = ["Journal", "JournalFailed", "Place"]
