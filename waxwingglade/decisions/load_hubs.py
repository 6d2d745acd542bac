"""The members of the ledger through which the entries of each zone share their loads.

This handles many entries before few targets.  Turns last some tenths of a second, so a load has to
reach the next entry within milliseconds.  That is so among entries that report to the same member;
between members a report takes tens of milliseconds, and costs messages with the square of their
number.  So all entries of a zone report to one member of their zone, the hub, on which they agree
without communication.
"""

from collections.abc import Iterable

from waxwingglade.base import ZoneId
from waxwingglade.base.rendezvous import weight
from waxwingglade.follow.model import Replica


def hub_order(zone: ZoneId, members: Iterable[Replica]) -> list[Replica]:
    """Return the members in the order in which entries of a zone use them as their hub."""
    return sorted(
        members, key=lambda member: (member.zone != zone, -weight(zone, member.disk), member.disk)
    )


def hubs_of(members: Iterable[Replica]) -> list[Replica]:
    """Return the first hub of each zone that has a member."""
    members = tuple(members)
    return [hub_order(zone, members)[0] for zone in sorted({each.zone for each in members})]


__all__ = ["hub_order", "hubs_of"]
