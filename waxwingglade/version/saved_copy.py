"""A copy of the version in force in the data folder, used at start while the store is down."""

import asyncio
import os
from pathlib import Path

from loguru import logger

from waxwingglade.base import FormatError
from waxwingglade.settings import ProcessSettings
from waxwingglade.version.active import ActiveConfig, Source
from waxwingglade.version.nested_form import parse_tree
from waxwingglade.version.record import NewerFormatError
from waxwingglade.version.snapshot import ConfigSnapshot, decode_snapshot, encode_snapshot

COPY_NAME = "config.snapshot"
PARTIAL_SUFFIX = ".partial"
SAVE_PERIOD_S = 0.5
"""Minimum seconds between two copies; of versions in quick succession only the last is copied."""


def open_active(settings: ProcessSettings) -> ActiveConfig:
    """Return the configuration with which a process starts.

    It is the copy in the data folder if there is one, else the tree in the settings as version 0.
    Both may be outdated, so `ActiveConfig.confirmed` is False until the store or a peer answers.
    """
    initial = ConfigSnapshot(0, parse_tree(settings.config, f"{settings.entry}: config"))
    active = ActiveConfig(initial)
    if settings.data_folder is None:
        return active
    copy = load_copy(Path(settings.data_folder))
    if copy is not None:
        active.offer(copy, Source.COPY)
    return active


def load_copy(folder: Path) -> ConfigSnapshot | None:
    """Return the version copied to a folder, or None.

    A copy that cannot be read is logged and not modified.
    """
    path = folder / COPY_NAME
    try:
        return decode_snapshot(path.read_bytes())
    except FileNotFoundError:
        return None
    except (OSError, FormatError) as error:
        logger.error("the copy of the configuration in {} is not used: {}", path, error)
        return None


def save_copy(folder: Path, snapshot: ConfigSnapshot) -> bool:
    """Copy a version to a folder; return whether it was copied.

    A copy of an equal or higher version, or of a newer format, is not replaced.  A crash at any
    point leaves either the previous copy or the complete new one.
    """
    path = folder / COPY_NAME
    if not _may_replace(path, snapshot):
        return False
    partial = folder / (COPY_NAME + PARTIAL_SUFFIX)
    with partial.open("wb") as file:
        file.write(encode_snapshot(snapshot))
        file.flush()
        os.fsync(file.fileno())
    partial.replace(path)
    _sync_folder(folder)
    return True


async def maintain_copy(
    active: ActiveConfig, folder: Path, period_s: float = SAVE_PERIOD_S
) -> None:
    """Copy new versions to a folder until cancelled, at most one every `period_s` seconds."""
    while True:
        changed = active.changed
        snapshot = active.current
        if snapshot.version > 0:
            await _try_save(folder, snapshot)
        await asyncio.sleep(period_s)
        await changed.wait()


async def _try_save(folder: Path, snapshot: ConfigSnapshot) -> None:
    """Copy a version in a separate thread, since the disk may be slow; log a failure."""
    try:
        await asyncio.to_thread(save_copy, folder, snapshot)
    except OSError as error:
        logger.error("the configuration was not copied to {}: {}", folder, error)


def _may_replace(path: Path, snapshot: ConfigSnapshot) -> bool:
    """Return whether a snapshot may replace the copy at `path`."""
    try:
        present = decode_snapshot(path.read_bytes())
    except FileNotFoundError:
        return True
    except NewerFormatError as error:
        logger.error("the copy of the configuration in {} is left as it is: {}", path, error)
        return False
    except FormatError:
        return True
    return present.version < snapshot.version


def _sync_folder(folder: Path) -> None:
    """Make the rename of a file in the folder durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
