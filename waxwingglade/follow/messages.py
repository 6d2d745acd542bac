"""Messages between a process that follows and the one that it follows."""

import msgspec

from waxwingglade.base import ConfigVersion
from waxwingglade.follow.model import Revision, View


class Message(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base of all messages."""


class Follow(Message):
    """Ask for what is newer than what the sender knows, waiting up to `wait_s` seconds."""

    version: ConfigVersion
    targets_revision: Revision
    epoch: int
    wait_s: float


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
    """

    view: View
    age_s: float
    quorum: bool = True


__all__ = ["Follow", "Followed", "Message"]
