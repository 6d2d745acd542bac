"""Reports of the engine stand-in: delayed cache events, delayed load and a request history."""

from collections import deque

import msgspec

from waxwingglade.base import Clock, ProgramId
from waxwingglade.connection import CacheEvent, CacheEventKind

EVENT_CAPACITY = 10_000
SAMPLE_CAPACITY = 10_000


class EngineRecord(msgspec.Struct):
    """One request that the stand-in received.

    Parameters
    ----------
    request_id, program, model, priority
        As in the request.
    seed : str
        Digest of model and conversation, which determines the expected answer.
    resume_characters : int
        Length of the text to continue.
    resume_matches : bool
        Whether that text is the start of the expected answer.
    prompt_tokens, cached_tokens, output_tokens : int
        Numbers of tokens; cached tokens were not prefilled.
    again_tokens : int
        Prefilled tokens that this engine had cached before.
    elsewhere_tokens : int
        Prefilled tokens that another engine of the group had cached at that time.
    arrived, admitted, first_token, ended : float
        Times in monotonic seconds; 0 if the request did not get that far.
    outcome : str
        ``running``, ``stop``, ``length``, ``cancelled``, ``cut`` or ``refused``.
    """

    request_id: str
    program: ProgramId
    model: str
    priority: int
    seed: str
    resume_characters: int
    resume_matches: bool
    prompt_tokens: int
    arrived: float
    cached_tokens: int = 0
    output_tokens: int = 0
    again_tokens: int = 0
    elsewhere_tokens: int = 0
    admitted: float = 0.0
    first_token: float = 0.0
    ended: float = 0.0
    outcome: str = "running"


class ControlRecord(msgspec.Struct, frozen=True):
    """A cancel, release, order or other control request that the stand-in received."""

    kind: str
    subject: str
    at: float
    fencing: int = 0
    accepted: bool = True


class EventLog:
    """Cache events, published after a delay and with gaps.

    Parameters
    ----------
    clock : Clock
        Time source.
    delay_s : float
        Seconds from an event to its publication.
    gap_every : int
        Every event whose number is a multiple of this is lost; 0 loses none.
    """

    def __init__(self, clock: Clock, delay_s: float, gap_every: int) -> None:
        self.clock = clock
        self.delay_s = delay_s
        self.gap_every = gap_every
        self.sequence = 0
        self.published_sequence = 0
        self.unpublished: deque[tuple[float, CacheEvent]] = deque()
        self.published: deque[CacheEvent] = deque(maxlen=EVENT_CAPACITY)

    def add(self, kind: CacheEventKind, blocks: list[str], program: ProgramId | None) -> None:
        """Add an event."""
        self.sequence += 1
        event = CacheEvent(self.sequence, kind, blocks, program)
        self.unpublished.append((self.clock() + self.delay_s, event))

    def after(self, sequence: int) -> list[CacheEvent]:
        """Return the published events newer than `sequence`."""
        while self.unpublished and self.unpublished[0][0] <= self.clock():
            self._publish(self.unpublished.popleft()[1])
        return [each for each in self.published if each.sequence > sequence]

    def _publish(self, event: CacheEvent) -> None:
        self.published_sequence = event.sequence
        if self.gap_every and event.sequence % self.gap_every == 0:
            return
        self.published.append(event)


class LoadSample(msgspec.Struct, frozen=True):
    """Load at one time."""

    at: float
    running: int = 0
    waiting: int = 0
    kv_used_fraction: float = 0.0


class LoadLog:
    """Load, reported with a lag of `lag_s` seconds."""

    def __init__(self, clock: Clock, lag_s: float) -> None:
        self.clock = clock
        self.lag_s = lag_s
        self.samples: deque[LoadSample] = deque([LoadSample(clock())], maxlen=SAMPLE_CAPACITY)

    def add(self, running: int, waiting: int, kv_used_fraction: float) -> None:
        """Add the current load."""
        self.samples.append(LoadSample(self.clock(), running, waiting, kv_used_fraction))
        self._drop_old()

    def reported(self) -> LoadSample:
        """Return the newest sample that is at least `lag_s` old, or else the oldest one."""
        self._drop_old()
        return self.samples[0]

    def _drop_old(self) -> None:
        newest = self.clock() - self.lag_s
        while len(self.samples) > 1 and self.samples[1].at <= newest:
            self.samples.popleft()


__all__ = ["ControlRecord", "EngineRecord", "EventLog", "LoadLog", "LoadSample"]
