"""Messages between a follower and the process that it follows."""

import msgspec

from waxwingglade.base import ConfigVersion, Fingerprint
from waxwingglade.follow.model import ReplicaSet, Revision, TargetList, View


class Message(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base of all messages."""


class Follow(Message):
    """Request updates newer than the sender's view, waiting for one up to `wait_s` seconds.

    Parameters
    ----------
    suspects : int or None
        Checksum of the sender's list of suspect requests; None if it needs no list.
    targets_checksum : int or None
        Checksum of the sender's targets; None if it takes no other list of the same revision.
    """

    version: ConfigVersion
    targets_revision: Revision
    epoch: int
    wait_s: float
    configuration_revision: Revision = Revision(0)
    suspects: int | None = None
    targets_checksum: int | None = None

    def updates_in(self, view: View) -> View:
        """Return a view without the parts that the sender already has."""
        known = (self.version, self.configuration_revision)
        newer = (view.version, view.configuration_revision) > known
        return View(
            view.configuration if newer else None,
            view.targets if self._lacks(view.targets) else TargetList(),
            view.replicas if view.replicas.epoch >= self.epoch else ReplicaSet(),
        )

    def _lacks(self, targets: TargetList) -> bool:
        if targets.revision != self.targets_revision or self.targets_checksum is None:
            return targets.revision > self.targets_revision
        return targets.checksum != self.targets_checksum


class Followed(Message):
    """The updates that a process has for a follower.

    Parameters
    ----------
    view : View
        The newer parts of its view.
    age_s : float
        Seconds since the store confirmed the view.
    quorum : bool
        Whether the process reaches a majority of the ledger's members.
    complete_s : float
        Time up to which the view has every change that the store acknowledged, in seconds after
        the arrival of the request; mostly negative.
    recovered_s : float
        Seconds since the store last recovered from an outage in which entries of targets may have
        expired, as far as the process knows.
    suspects : dict or None
        Suspect requests: the number of targets that failed each; None if the sender has this list.
    """

    view: View
    age_s: float
    quorum: bool = True
    complete_s: float = float("-inf")
    recovered_s: float = float("inf")
    suspects: dict[Fingerprint, int] | None = None


class FollowSuspects(Message):
    """Request the list of suspect requests, waiting for a change up to `wait_s` seconds.

    Parameters
    ----------
    checksum : int
        Checksum of the list that the sender has.
    """

    checksum: int
    wait_s: float


class SuspectList(Message):
    """The list of suspect requests: the number of targets that failed each.

    Parameters
    ----------
    failed : dict or None
        The list; None if the sender has it.
    """

    failed: dict[Fingerprint, int] | None = None


__all__ = ["Follow", "FollowSuspects", "Followed", "Message", "SuspectList"]
