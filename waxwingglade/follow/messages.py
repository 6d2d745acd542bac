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
    """The newer parts of a view, and how long ago the store confirmed it, in seconds."""

    view: View
    age_s: float


__all__ = ["Follow", "Followed", "Message"]
