"""Messages between entries about targets and about the caches on them."""

import msgspec

from waxwingglade.base import (
    ProgramId,
    TargetId,
)


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one target `age_s` seconds before the message was sent."""

    target: TargetId
    running: int
    waiting: int
    cache_used: float
    age_s: float


class LoadReports(msgspec.Struct, frozen=True, tag="loads", array_like=True):
    """Loads of targets that the sender samples for the entries of its zone."""

    loads: list[TargetLoad]


class TargetReport(msgspec.Struct, frozen=True, array_like=True):
    """State of one target, as read back by the entry that sends the orders of the zone.

    Parameters
    ----------
    target : TargetId
        The target.
    fencing, number : int
        Fencing number of the sender and its number of the report; a higher pair is newer.
    serving : list of str or None
        Models and adapters for which the target may receive calls; None if operators requested
        no state, so that the settings apply.
    models, adapters : list of str
        Names of what is loaded.
    role : str
        Role of the target.
    agrees : bool
        Whether the state is the one that operators requested.
    note : str
        What the target still waits for, or what failed.
    """

    target: TargetId
    fencing: int
    number: int
    serving: list[str] | None
    models: list[str] = []
    adapters: list[str] = []
    role: str = ""
    agrees: bool = True
    note: str = ""


class TargetReports(msgspec.Struct, frozen=True, tag="target_reports", array_like=True):
    """States of targets that changed since the receiver last answered the sender."""

    reports: list[TargetReport]


class CheckPrograms(msgspec.Struct, frozen=True, tag="check_programs", array_like=True):
    """Ask the owner of logs for which of these programs the cache on targets may be released."""

    programs: list[ProgramId]


class ProgramsChecked(msgspec.Struct, frozen=True, tag="programs_checked", array_like=True):
    """Programs that ended, or that are unknown to the owner of their log."""

    done: list[ProgramId]


class Noted(msgspec.Struct, frozen=True, tag="noted", array_like=True):
    """The message was processed."""
