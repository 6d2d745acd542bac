"""Messages by which entries report their state and exchange the configuration in force."""

from enum import Enum

import msgspec

from waxwingglade.base import (
    ConfigVersion,
    EntryRef,
)


class EntryState(Enum):
    """State that an entry reports of itself."""

    ALIVE = "alive"
    DRAINING = "draining"


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat", array_like=True):
    """Report that the sender is alive, with digests that show whether sender and peer differ.

    Parameters
    ----------
    sender : EntryRef
        The entry that sends the heartbeat.
    state : EntryState
        Whether the sender accepts new work.
    members_digest : int
        Hash of the entries that the sender knows; in a large fleet, of those in its own zone.
    config_version : ConfigVersion
        Version of the configuration in force at the sender.
    config_hash : str
        Digest of the content of that version.
    config_confirmed : bool
        Whether the store, or a peer whose configuration was confirmed, has confirmed since the
        sender's start that the sender knows the highest version.
    wants_members : bool
        Whether the sender, if it is in another zone, knows too few entries of the receiver's zone.
    """

    sender: EntryRef
    state: EntryState
    members_digest: int
    config_version: ConfigVersion
    config_hash: str = ""
    config_confirmed: bool = False
    wants_members: bool = True


class HeartbeatReply(msgspec.Struct, frozen=True, tag="heartbeat_reply", array_like=True):
    """Answer to a heartbeat; `members` lists entries that the sender of the heartbeat may lack."""

    sender: EntryRef
    state: EntryState
    config_version: ConfigVersion
    members: list[EntryRef] = []
    config_hash: str = ""
    config_confirmed: bool = False


class FetchConfig(msgspec.Struct, frozen=True, tag="fetch_config", array_like=True):
    """Request the configuration in force if it is newer than version `known`."""

    known: ConfigVersion


class ConfigSnapshot(msgspec.Struct, frozen=True, tag="config_snapshot", array_like=True):
    """An encoded configuration; empty if there is no newer one."""

    data: bytes = b""
