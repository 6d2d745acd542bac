"""The target size of the fleet, and the resulting load on one entry."""

import msgspec

SECONDS_PER_DAY = 86_400
MILLISECONDS = 1_000
MEGABYTE = 1_000_000


class Limits(msgspec.Struct, frozen=True):
    """Resources that an entry may use for coordination: cores, memory, bytes per second."""

    cores: float = 0.021
    memory_bytes: int = 256 * MEGABYTE
    bytes_per_s: int = 6_000


class FleetSize(msgspec.Struct, frozen=True):
    """The fleet at its target size; rates are those of the peak.

    Parameters
    ----------
    entries, targets, zones : int
        Numbers of entry VMs, model engines and availability zones.
    calls_per_s, tokens_per_s : float
        Model calls and generated tokens a second.
    programs, turns, history_tokens : int
        Open programs, and the largest number of turns and history tokens of one program.
    tenants : int
        Client accounts.
    config_changes_per_day, failures_per_day, replacements_per_day : int
        Configuration changes, failed entries, and restarted or replaced entries.
    copies, logs_per_entry : int
        Copies of each log, and logs that an entry keeps open for new programs.
    """

    entries: int = 390
    targets: int = 12_000
    zones: int = 21
    calls_per_s: float = 12_000.0
    tokens_per_s: float = 4_200_000.0
    programs: int = 150_000
    turns: int = 79
    history_tokens: int = 190_000
    tenants: int = 320
    config_changes_per_day: int = 17_000
    failures_per_day: int = 68
    replacements_per_day: int = 1_000
    copies: int = 3
    logs_per_entry: int = 4

    @property
    def calls_per_entry(self) -> float:
        """Calls per second that an entry owns; it forwards as many for other owners."""
        return self.calls_per_s / self.entries

    @property
    def tokens_per_entry(self) -> float:
        """Tokens per second that an entry owns."""
        return self.tokens_per_s / self.entries

    @property
    def tokens_per_call(self) -> float:
        """Tokens of an answer."""
        return self.tokens_per_s / self.calls_per_s

    @property
    def forwarded_share(self) -> float:
        """Share of the calls that arrive at another entry than the owner, spread evenly."""
        return (self.entries - 1) / self.entries

    @property
    def programs_per_entry(self) -> float:
        """Open programs that an entry owns."""
        return self.programs / self.entries

    @property
    def entries_per_zone(self) -> float:
        """Entries of a zone."""
        return self.entries / self.zones

    @property
    def targets_per_zone(self) -> float:
        """Targets of a zone."""
        return self.targets / self.zones

    @property
    def reads_per_entry(self) -> float:
        """Number of targets whose load an entry reads."""
        return self.targets / self.entries

    @property
    def seconds_between_turns(self) -> float:
        """Mean time between two calls of the same program."""
        return self.programs / self.calls_per_s

    @property
    def holders(self) -> int:
        """Copies of a log besides the owner's."""
        return self.copies - 1

    @property
    def entry_changes_per_s(self) -> float:
        """Entries that fail or are replaced, per second on an ordinary day."""
        return (self.failures_per_day + self.replacements_per_day) / SECONDS_PER_DAY

    @property
    def config_changes_per_s(self) -> float:
        """Configuration changes per second."""
        return self.config_changes_per_day / SECONDS_PER_DAY
