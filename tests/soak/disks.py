"""Faults of the disk of a ledger process."""

import random
from pathlib import Path

MAX_INCOMPLETE_BYTES = 37
"""Most bytes that are appended to a journal, like those of a write cut short by a power loss."""


def wipe(folder: Path) -> None:
    """Delete everything on a disk."""
    for path in folder.iterdir():
        path.unlink()


def append_incomplete_write(folder: Path, rng: random.Random) -> None:
    """Append an incomplete write to the newest segment."""
    segments = sorted(path for path in folder.iterdir() if path.name != "identity")
    if segments:
        with segments[-1].open("ab") as segment:
            segment.write(rng.randbytes(rng.randint(1, MAX_INCOMPLETE_BYTES)))


__all__ = ["append_incomplete_write", "wipe"]
