"""The version that each entry has in force, as reported by heartbeats."""

import msgspec

from waxwingglade.base import Clock, ConfigVersion, EntryId, monotonic
from waxwingglade.version.active import ActiveConfig, Source
from waxwingglade.version.snapshot import ConfigDigest


class EntryReport(msgspec.Struct, frozen=True):
    """The last digest that an entry reported, and its age in seconds."""

    entry: EntryId
    digest: ConfigDigest
    age_s: float


class ConfigStatus(msgspec.Struct, frozen=True):
    """The version in force here and at the entries that have sent a report.

    Parameters
    ----------
    version, hash, source, confirmed : ConfigVersion, str, Source, bool
        The version in force here; see `ActiveConfig`.
    entries : list of EntryReport
        Last report of each entry, sorted by the entry's name.
    behind, ahead, differing : list of EntryId
        Entries with a lower version, with a higher version, and with the same version but other
        content.
    """

    version: ConfigVersion
    hash: str
    source: Source
    confirmed: bool
    entries: list[EntryReport]
    behind: list[EntryId]
    ahead: list[EntryId]
    differing: list[EntryId]


class VersionReports:
    """The last report of each entry, updated by heartbeats."""

    def __init__(self, clock: Clock = monotonic) -> None:
        self.clock = clock
        self.reports: dict[EntryId, tuple[ConfigDigest, float]] = {}

    def report(self, entry: EntryId, digest: ConfigDigest) -> None:
        """Record the digest in an entry's heartbeat."""
        self.reports[entry] = (digest, self.clock())

    def forget(self, entry: EntryId) -> None:
        """Remove the report of a departed entry."""
        self.reports.pop(entry, None)

    def status(self, active: ActiveConfig) -> ConfigStatus:
        """Return all reports, compared with the version in force here."""
        now = self.clock()
        entries = [
            EntryReport(entry, digest, now - at)
            for entry, (digest, at) in sorted(self.reports.items())
        ]
        own = active.digest()
        return ConfigStatus(
            version=own.version,
            hash=own.hash,
            source=active.source,
            confirmed=own.confirmed,
            entries=entries,
            behind=[each.entry for each in entries if each.digest.version < own.version],
            ahead=[each.entry for each in entries if each.digest.version > own.version],
            differing=[each.entry for each in entries if _differs(each.digest, own)],
        )


def _differs(digest: ConfigDigest, own: ConfigDigest) -> bool:
    """Return whether two digests have the same version but different contents."""
    return digest.version == own.version and digest.hash != own.hash
