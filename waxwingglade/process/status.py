"""The status of an entry, as operators see it."""

import waxwingglade
from waxwingglade.connection.operator_messages import (
    EntryStatus,
    LogStatus,
    PeerStatus,
    TargetStatus,
)
from waxwingglade.process.entry import Entry
from waxwingglade.process.members import Peer
from waxwingglade.process.owned_log import OwnedLog


def entry_status(entry: Entry) -> EntryStatus:
    """Return the entry's view of itself, its peers, its logs and the targets."""
    return EntryStatus(
        entry=entry.own.entry,
        zone=entry.own.zone,
        incarnation=entry.incarnation,
        state=entry.members.state.value,
        version=waxwingglade.__version__,
        config_version=entry.config.current.version,
        requests=entry.active_requests,
        peers=[_peer_status(entry, peer) for _, peer in sorted(entry.members.peers.items())],
        logs=[_log_status(owned) for owned in entry.owned.values() if not owned.fenced],
        targets=_target_statuses(entry),
        store_calls={
            purpose.value: calls for purpose, calls in entry.store.calls_by_purpose.items()
        },
    )


def _peer_status(entry: Entry, peer: Peer) -> PeerStatus:
    return PeerStatus(
        entry=peer.ref.entry,
        zone=peer.ref.zone,
        state=peer.state.value,
        alive=entry.members.alive(peer.ref),
        config_version=peer.config_version,
        heard_s_ago=round(entry.members.clock() - peer.last_heard, 3),
    )


def _log_status(owned: OwnedLog) -> LogStatus:
    ended = sum(state.ended is not None for state in owned.programs.values())
    return LogStatus(
        log=owned.log,
        epoch=owned.epoch,
        holders=[ref.entry for ref in owned.copies],
        open_programs=len(owned.programs) - ended,
        ended_programs=ended,
    )


def _target_statuses(entry: Entry) -> list[TargetStatus]:
    return [
        TargetStatus(
            target=view.target,
            kind=view.settings.kind.value,
            zone=view.zone,
            load=view.load,
            slots=view.slots,
            leaving=view.leaving,
        )
        for view in entry.table.targets.values()
    ]
