"""Chooses the peers that an entry exchanges heartbeats with.

In a small fleet these are all peers.  In a large fleet they are the entries of its own zone, those
with which it shares a log, and a few entries of other zones, each from a different zone.  So the
cost of heartbeats for an entry does not grow with the fleet.
"""

from collections.abc import Sequence

import msgspec
import xxhash

from waxwingglade.base import EntryId, EntryRef, ZoneId
from waxwingglade.settings import DurabilitySettings


class WatchedPeers(msgspec.Struct, frozen=True):
    """The peers to exchange heartbeats with, and whether these are all known peers."""

    entries: frozenset[EntryId]
    all_peers: bool


def choose_watched(
    own: EntryRef,
    known: Sequence[EntryRef],
    partners: Sequence[EntryRef],
    settings: DurabilitySettings,
) -> WatchedPeers:
    """Return the peers to exchange heartbeats with.

    Parameters
    ----------
    own : EntryRef
        This entry.
    known : sequence of EntryRef
        All peers that it knows.
    partners : sequence of EntryRef
        Entries that own or hold a log which this entry holds or owns.
    settings : DurabilitySettings
        Limits `watch_all_up_to` and `remote_watched`.
    """
    if len(known) <= settings.watch_all_up_to:
        return WatchedPeers(frozenset(ref.entry for ref in known), all_peers=True)
    local = {ref.entry for ref in known if ref.zone == own.zone}
    remote = _one_per_zone(own, [ref for ref in known if ref.zone != own.zone])
    chosen = {ref.entry for ref in remote[: settings.remote_watched]}
    shared = {ref.entry for ref in partners if ref.entry != own.entry}
    return WatchedPeers(frozenset(local | chosen | shared), all_peers=False)


def _one_per_zone(own: EntryRef, refs: Sequence[EntryRef]) -> list[EntryRef]:
    """Return one entry of each zone, in an order that is specific to this entry.

    Entries choose differently, so that no entry is watched by all others.
    """

    def score(ref: EntryRef) -> int:
        return xxhash.xxh64_intdigest(f"{own.entry}|{ref.entry}".encode())

    best: dict[ZoneId, EntryRef] = {}
    for ref in sorted(refs, key=score):
        best.setdefault(ref.zone, ref)
    return list(best.values())
