"""Builders for tests of data folders: copies, folders, and states of folders after a crash."""

import asyncio
import itertools
import shutil
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import msgspec

from waxwingglade.base import EntryId, EntryRef, Epoch, Incarnation, LogId, ZoneId
from waxwingglade.process.disk import Disk, open_disk
from waxwingglade.process.disk_files import REAL_OPERATIONS, FileOperations, remove_file
from waxwingglade.process.log_copy import LogCopy

OWNER = EntryRef(EntryId("entry-1"), Incarnation("a1"), ZoneId("zone-a"), "tcp://127.0.0.1:1")
HOLDER = EntryRef(EntryId("entry-2"), Incarnation("b2"), ZoneId("zone-b"), "tcp://127.0.0.1:2")
LOG_A, LOG_B, LOG_C = LogId("z.e.i.0"), LogId("z.e.i.1"), LogId("z.e.i.2")
LOGS = [LOG_A, LOG_B, LOG_C]


def make_copy(epoch: int, *records: bytes, promised: int | None = None) -> LogCopy:
    """Return a copy with records of an owner at `epoch`."""
    promise = Epoch(epoch if promised is None else promised)
    return LogCopy(promise, Epoch(epoch), OWNER, [OWNER, HOLDER], list(records), True)


def add_records(disk: Disk, log: LogId, *records: bytes) -> None:
    """Add records at the end of a log."""
    disk.append(log, disk.queued_states[log].length, list(records), [OWNER, HOLDER], True)


async def make_folder(folder: Path) -> Disk:
    """Return a disk with log A in three groups, log B in one and log C dropped; all durable."""
    disk = open_disk(folder)
    disk.open_epoch(LOG_A, make_copy(2, b"one", b"two"))
    disk.open_epoch(LOG_C, make_copy(1, b"gone"))
    await disk.sync()
    disk.drop(LOG_C, Epoch(4))
    disk.open_epoch(LOG_B, make_copy(1, b"other"))
    add_records(disk, LOG_A, b"three")
    await disk.sync()
    disk.promise(LOG_A, Epoch(5))
    await disk.sync()
    return disk


COPY_A = make_copy(2, b"one", b"two", b"three", promised=5)
COPY_B = make_copy(1, b"other")


def copy_folder(source: Path, target: Path) -> Path:
    """Copy a folder to `target`, replacing it, and return `target`."""
    shutil.rmtree(target, ignore_errors=True)
    shutil.copytree(source, target)
    return target


def overwrite(path: Path, data: bytes) -> None:
    """Replace the content of a file."""
    path.unlink()
    path.write_bytes(data)


def contents(folder: Path) -> dict[str, bytes]:
    """Return every file in a folder with its bytes."""
    files = (path for path in folder.rglob("*") if path.is_file())
    return {str(path.relative_to(folder)): path.read_bytes() for path in files}


def failing_write(name: str, error: Exception) -> FileOperations:
    """Return operations that fail when a file whose name contains `name` is extended."""

    def write(path: Path, offset: int, parts: Iterable[bytes]) -> None:
        if name in path.name and offset:
            raise error
        REAL_OPERATIONS.write(path, offset, parts)

    return msgspec.structs.replace(REAL_OPERATIONS, write=write)


# --- crashes ------------------------------------------------------------------------------------


class Step(msgspec.Struct):
    """One operation on the file or folder `name`; `other` is the old name in a rename."""

    kind: str
    name: str
    other: str = ""
    offset: int = 0
    data: bytes = b""


def _write_unflushed(path: Path, offset: int, parts: Iterable[bytes]) -> None:
    _apply(path.parent, Step("write", path.name, offset=offset, data=b"".join(parts)))


def _move(source: Path, target: Path) -> None:
    # A rename over an existing file would make some file systems flush it.
    target.unlink(missing_ok=True)
    source.rename(target)


UNFLUSHED = FileOperations(_write_unflushed, _move, remove_file, lambda _: None)
"""Operations without flushes, to open many folders quickly for inspection only."""


class Recorder:
    """Records operations on a folder, to build the states that a crash may leave.

    `base` is a copy of the folder before the operations, or None for an empty folder.
    """

    def __init__(self, folder: Path, base: Path | None = None) -> None:
        self.folder = folder
        self.base = base
        self.steps: list[Step] = []
        self.operations = FileOperations(
            self._write, self._rename, self._remove, self._flush_folder
        )

    def _name(self, path: Path) -> str:
        return str(path.relative_to(self.folder))

    def _write(self, path: Path, offset: int, parts: Iterable[bytes]) -> None:
        self._do(Step("write", self._name(path), offset=offset, data=b"".join(parts)))

    def _rename(self, source: Path, target: Path) -> None:
        self._do(Step("rename", self._name(target), self._name(source)))

    def _remove(self, path: Path) -> None:
        self._do(Step("remove", self._name(path)))

    def _flush_folder(self, path: Path) -> None:
        self._do(Step("flush_folder", self._name(path)))

    def _do(self, step: Step) -> None:
        self.steps.append(step)
        _apply(self.folder, step)

    def crashes(self, count: int, image: Path) -> Iterator[Path]:
        """Yield the states that a crash may leave after `count` steps, during the next one."""
        begun = self.steps[count : count + 1]
        partial_writes = [
            None,
            *itertools.chain.from_iterable(_partial_writes(step) for step in begun),
        ]
        for lost, partial in itertools.product(self._losable_steps(count), partial_writes):
            shutil.rmtree(image, ignore_errors=True)
            if self.base is not None:
                shutil.copytree(self.base, image)
            (image / "logs").mkdir(parents=True, exist_ok=True)
            for number, step in enumerate(self.steps[:count]):
                if number not in lost:
                    _apply(image, step)
            if partial is not None:
                _apply(image, partial)
            yield image

    def _losable_steps(self, count: int) -> list[set[int]]:
        """Return sets of renames and removals that no flush of their folder has made durable."""
        unflushed_in: dict[str, list[int]] = {}
        for number, step in enumerate(self.steps[:count]):
            if step.kind == "flush_folder":
                unflushed_in[step.name] = []
            elif step.kind in ("rename", "remove"):
                unflushed_in.setdefault(str(Path(step.name).parent), []).append(number)
        unflushed = list(itertools.chain.from_iterable(unflushed_in.values()))
        return (
            [set(), set(unflushed), *({number} for number in unflushed)] if unflushed else [set()]
        )


def _partial_writes(step: Step) -> list[Step]:
    """Return the parts of a write that may be on the disk before it is flushed."""
    if step.kind != "write":
        return []
    half = len(step.data) // 2
    zeros = bytes(len(step.data) - half)
    pieces = [step.data[:half], step.data[:-1], step.data[:half] + zeros, step.data]
    return [msgspec.structs.replace(step, data=piece) for piece in pieces]


def _apply(folder: Path, step: Step) -> None:
    path = folder / step.name
    if step.kind == "write":
        before = path.read_bytes()[: step.offset] if step.offset else b""
        path.unlink(missing_ok=True)
        path.write_bytes(before + step.data)
    elif step.kind == "rename":
        _move(folder / step.other, path)
    elif step.kind == "remove":
        path.unlink(missing_ok=True)


LogState = LogCopy | Epoch | None
"""A copy, the epoch that dropped it, or nothing."""


class History:
    """Runs groups of changes, and records the successive states of each log.

    `acknowledged` has an item after each group: the number of steps so far, and of states per log.
    """

    def __init__(self, disk: Disk, recorder: Recorder) -> None:
        self.disk = disk
        self.recorder = recorder
        self.states: dict[LogId, list[LogState]] = {log: [None] for log in LOGS}
        self.acknowledged = [(len(recorder.steps), dict.fromkeys(LOGS, 1))]
        self.numbers = itertools.count(1)

    async def run(self, groups: list[list[tuple[str, LogId]]]) -> None:
        """Make the changes, each group followed by a sync."""
        changes: dict[str, Callable[[LogId, int], LogState]] = {
            "open": self._open,
            "append": self._append,
            "promise": self._promise,
            "drop": self._drop,
        }
        for group in groups:
            for kind, log in group:
                self.states[log].append(changes[kind](log, next(self.numbers)))
            await asyncio.gather(*(self.disk.sync(log) for _, log in group))
            lengths = {log: len(states) for log, states in self.states.items()}
            self.acknowledged.append((len(self.recorder.steps), lengths))

    def possible_states(self, log: LogId, count: int) -> list[LogState]:
        """Return the states that a log may be in after a crash once `count` steps are complete."""
        completed = [lengths[log] for steps, lengths in self.acknowledged if steps <= count]
        begun = [lengths[log] for steps, lengths in self.acknowledged if steps > count]
        return self.states[log][completed[-1] - 1 : (begun or completed[-1:])[0]]

    def _open(self, log: LogId, number: int) -> LogState:
        copy = make_copy(number, b"%d" % number, b"x" * (40 if number % 2 else 4))
        self.disk.open_epoch(log, copy)
        return copy

    def _append(self, log: LogId, number: int) -> LogState:
        before = self.states[log][-1]
        if not isinstance(before, LogCopy):
            return before
        records = [b"%d" % number, b"y" * 40]
        self.disk.append(log, len(before.records), records, before.copies, before.registered)
        return msgspec.structs.replace(before, records=before.records + records)

    def _promise(self, log: LogId, number: int) -> LogState:
        before = self.states[log][-1]
        self.disk.promise(log, Epoch(number))
        copy = before if isinstance(before, LogCopy) else LogCopy(Epoch(0))
        return msgspec.structs.replace(copy, promised=Epoch(number))

    def _drop(self, log: LogId, number: int) -> LogState:
        self.disk.drop(log, Epoch(number))
        return Epoch(number)
