"""Rate limits of the store stand-in, and the faults that tests can set."""

import asyncio
import random
from enum import Enum

import msgspec

from waxwingglade.base import Clock, monotonic
from waxwingglade.connection.store_budget import WATCH_CALLS_PER_SECOND, TokenBucket

ONE_SHOT = {
    "release_held": False,
    "lapse_leases": [],
    "lapse_all_leases": False,
    "compact": False,
    "drop_watches": False,
}


class Outage(Enum):
    """Kind of outage: none, connections are refused, or calls are not answered."""

    NONE = "none"
    REFUSE = "refuse"
    HANG = "hang"


class StoreFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults until the next setting; the last five fields act once, when they are set.

    Parameters
    ----------
    latency_s, jitter_s : float
        Delay of a call in seconds, half before and half after it runs, and the greatest random
        addition to it.
    seed : int
        Seed of the random numbers.
    outage : Outage
        Kind of outage.
    lost_answer_probability : float
        Probability that a write takes effect and its connection closes without an answer.
    lost_answers : int
        Number of following writes whose answer is always lost.
    held_writes : int
        Number of following writes that are held.  Their connection closes immediately, and they
        take effect only on `release_held`, as if the network had delayed them.
    release_held : bool
        Let the held writes take effect.
    lapse_leases : list of int
        Ids of leases to revoke immediately.
    lapse_all_leases : bool
        Revoke all leases immediately.
    compact : bool
        Discard the history up to now.
    drop_watches : bool
        Close the connections of all watches.

    Notes
    -----
    All calls except reads count as writes, including those for leases.
    """

    latency_s: float = 0.0
    jitter_s: float = 0.0
    seed: int = 1
    outage: Outage = Outage.NONE
    lost_answer_probability: float = 0.0
    lost_answers: int = 0
    held_writes: int = 0
    release_held: bool = False
    lapse_leases: list[int] = []
    lapse_all_leases: bool = False
    compact: bool = False
    drop_watches: bool = False


class StoreLimits(msgspec.Struct, frozen=True):
    """Rate limits of the store; each waiting watch reduces the available reads."""

    writes_per_second: float = 400.0
    reads_per_second: float = 2000.0


class CallRates:
    """Limits the rates of calls to the store.

    Parameters
    ----------
    limits : StoreLimits
        Rate limits.
    clock : Clock
        Time source, in seconds.
    """

    def __init__(self, limits: StoreLimits, clock: Clock = monotonic) -> None:
        self.writes = TokenBucket(limits.writes_per_second, clock)
        self.reads = TokenBucket(limits.reads_per_second, clock)

    def admit(self, is_write: bool) -> bool:
        """Return whether a call is within its rate, and count it."""
        return self.writes.take() if is_write else self.reads.take()

    def open_watch(self) -> bool:
        """Return whether another watch is within the rate, and count it."""
        if not self.admit(is_write=False):
            return False
        self.reads.reserve_rate(WATCH_CALLS_PER_SECOND)
        return True

    def close_watch(self) -> None:
        """Stop counting one waiting watch."""
        self.reads.reserve_rate(-WATCH_CALLS_PER_SECOND)


class HeldWrite(msgspec.Struct, frozen=True):
    """A write that is held, as if the network had delayed it."""

    path: str
    body: bytes


class ActiveFaults:
    """The current faults, and the remaining counts of those that apply to a number of writes."""

    def __init__(self) -> None:
        self.held: list[HeldWrite] = []
        self.changed = asyncio.Event()
        self.set(StoreFaults())

    def set(self, faults: StoreFaults) -> None:
        """Replace the faults."""
        self.faults = msgspec.structs.replace(faults, **ONE_SHOT)
        self.random = random.Random(faults.seed)
        self.answers_to_lose = faults.lost_answers
        self.writes_to_hold = faults.held_writes
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_half_latency(self) -> None:
        """Wait for half of a call's delay."""
        delay_s = self.faults.latency_s + self.faults.jitter_s * self.random.random()
        if delay_s > 0.0:
            await asyncio.sleep(delay_s / 2.0)

    async def wait_while_hanging(self) -> bool:
        """Wait while the store hangs; return whether it did."""
        if self.faults.outage is not Outage.HANG:
            return False
        while self.faults.outage is Outage.HANG:
            await self.changed.wait()
        return True

    def loses_answer(self) -> bool:
        """Return whether the answer of a write is lost, and count it."""
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            return True
        return self.random.random() < self.faults.lost_answer_probability

    def holds_write(self, path: str, body: bytes) -> bool:
        """Hold a write if one is to be held; return whether it was."""
        if self.writes_to_hold == 0:
            return False
        self.writes_to_hold -= 1
        self.held.append(HeldWrite(path, body))
        return True
