"""Messages between a process that follows and the one that it follows."""

import msgspec

from waxwingglade.base import ConfigVersion
from waxwingglade.follow.model import ReplicaSet, Revision, TargetList, View


class Message(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base of all messages."""


class Follow(Message):
    """Ask for what is newer than what the sender knows, waiting up to `wait_s` seconds."""

    version: ConfigVersion
    targets_revision: Revision
    epoch: int
    wait_s: float
    configuration_revision: Revision = Revision(0)

    def updates_in(self, view: View) -> View:
        """Return a view without the parts that the sender knows already."""
        known = (self.version, self.configuration_revision)
        newer = (view.version, view.configuration_revision) > known
        return View(
            view.configuration if newer else None,
            view.targets if view.targets.revision > self.targets_revision else TargetList(),
            view.replicas if view.replicas.epoch >= self.epoch else ReplicaSet(),
        )


class Followed(Message):
    """What a process knows.

    Parameters
    ----------
    view : View
        The newer parts of its view.
    age_s : float
        Seconds since the store confirmed it.
    quorum : bool
        Whether the process reaches a majority of the ledger's members.
    complete_s : float
        Seconds from the arrival of the question to the moment up to which the view holds all that
        the store has acknowledged; mostly negative.
    """

    view: View
    age_s: float
    quorum: bool = True
    complete_s: float = float("-inf")


__all__ = ["Follow", "Followed", "Message"]
