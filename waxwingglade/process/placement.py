"""Chooses the entries that hold the copies of a log."""

from collections.abc import Sequence

import xxhash

from waxwingglade.base import EntryRef, Incarnation, LogId, kind_of
from waxwingglade.settings import CutPolicy


def rank(log: LogId, refs: Sequence[EntryRef]) -> list[EntryRef]:
    """Return entries in their order of preference for a log, by rendezvous hashing."""

    def score(ref: EntryRef) -> int:
        return xxhash.xxh64_intdigest(f"{log}|{ref.entry}|{ref.incarnation}".encode())

    return sorted(refs, key=score, reverse=True)


def choose_copies(
    log: LogId,
    owner: EntryRef,
    usable: Sequence[EntryRef],
    copies: int,
    holding: frozenset[Incarnation] = frozenset(),
) -> list[EntryRef]:
    """Return the entries that should hold the copies of a log, the owner first.

    Parameters
    ----------
    log : LogId
        The log.
    owner : EntryRef
        Its owner.
    usable : sequence of EntryRef
        Peers that are alive and accept new work.
    copies : int
        Number of copies, including the owner's.
    holding : frozenset of Incarnation
        Peers that already hold the log.  Within their zone they are preferred to other peers, but
        peers with a data folder come before those without one.

    Returns
    -------
    list of EntryRef
        At most `copies` entries; fewer if there are not enough peers.  The kind of the log decides
        on zones.  HOME keeps a majority in the owner's zone and the rest in other zones.  SPREAD
        puts every copy but the owner's into another zone, and each into a different one if there
        are enough zones.
    """
    holders = [ref.as_holder() for ref in usable]

    def preference(ref: EntryRef) -> tuple[bool, bool]:
        return (not ref.disk, ref.incarnation not in holding)

    ranked = sorted(rank(log, holders), key=preference)
    local = [ref for ref in ranked if ref.zone == owner.zone]
    remote = _alternate_zones([ref for ref in ranked if ref.zone != owner.zone])
    peer_count = copies - 1
    remote_count = (
        peer_count if cut_policy_of(log) is CutPolicy.SPREAD else copies - (copies // 2 + 1)
    )
    chosen = remote[:remote_count]
    chosen += local[: peer_count - len(chosen)]
    chosen += [ref for ref in remote if ref not in chosen][: peer_count - len(chosen)]
    return [owner, *chosen]


def is_spread(log: LogId, copies: Sequence[EntryRef]) -> bool:
    """Return whether a log of the kind SPREAD survives the loss of its owner's zone.

    `copies` lists the owner first.
    """
    if cut_policy_of(log) is not CutPolicy.SPREAD:
        return False
    local_count = sum(ref.zone == copies[0].zone for ref in copies)
    return local_count <= len(copies) // 2


def cut_policy_of(log: LogId) -> CutPolicy:
    """Return which side of a network partition continues with the programs of a log."""
    return CutPolicy(kind_of(log))


def _alternate_zones(refs: Sequence[EntryRef]) -> list[EntryRef]:
    """Return entries with the zones in rotation; the order within each zone stays."""
    by_zone: dict[str, list[EntryRef]] = {}
    for ref in refs:
        by_zone.setdefault(ref.zone, []).append(ref)
    result: list[EntryRef] = []
    while any(by_zone.values()):
        for zone_refs in by_zone.values():
            if zone_refs:
                result.append(zone_refs.pop(0))
    return result
