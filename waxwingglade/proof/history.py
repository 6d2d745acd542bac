"""Record the observed actions of callers, engines, tools and entries, in order of time.

All times are monotonic seconds of one machine, so that times of different processes are comparable.
"""

from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

from waxwingglade.base import CallId, ConfigVersion, EntryId, Failure, ProgramId, TargetId, ToolName
from waxwingglade.connection.peer_messages import (
    CreateProgram,
    EndProgram,
    FollowCall,
    ProgramView,
    ReadProgram,
    SubmitCall,
)
from waxwingglade.program import Done

FORMAT_VERSION = 1


class NoAnswerCause(Enum):
    """Why a caller got no answer to a request."""

    REFUSED = "refused"
    CUT = "cut"
    TIMEOUT = "timeout"


class NoAnswer(msgspec.Struct, frozen=True, tag="broken"):
    """The caller received no answer or a truncated one.

    REFUSED means that no connection was made, CUT that it ended before the answer was complete.
    """

    cause: NoAnswerCause
    message: str = ""


Request = CreateProgram | SubmitCall | FollowCall | ReadProgram | EndProgram
Answer = ProgramView | Done | Failure | NoAnswer


class Submitted(msgspec.Struct, frozen=True, tag="submitted"):
    """A caller sent a request to an entry; `number` is unique in the history."""

    at: float
    number: int
    entry: EntryId
    request: Request


class TextReceived(msgspec.Struct, frozen=True, tag="text_received"):
    """A caller received a piece of streamed text, `offset` characters into an attempt's answer."""

    at: float
    number: int
    offset: int
    text: str
    attempt: str


class TextReset(msgspec.Struct, frozen=True, tag="text_reset"):
    """A caller was notified that the text received so far is void."""

    at: float
    number: int
    attempt: str


class Answered(msgspec.Struct, frozen=True, tag="answered"):
    """A caller got the final answer to a request, or knows that it will get none."""

    at: float
    number: int
    answer: Answer


class EffectSeen(msgspec.Struct, frozen=True, tag="effect"):
    """A tool service executed a call.

    Parameters
    ----------
    at, arrived : float
        Times of the effect and of the arrival of the request.
    target : TargetId
        The service.
    tool : ToolName
        The tool.
    program, call : ProgramId, CallId
        Ids of the program and its call, from the idempotency key.
    idempotent : bool
        Whether the tool may execute the call twice.
    result : object
        Result in the tool's answer.
    fencing : int
        Fencing number of the request.
    price_microcents : int
        Price of the call, in millionths of a cent.
    """

    at: float
    arrived: float
    target: TargetId
    tool: ToolName
    program: ProgramId
    call: CallId
    idempotent: bool
    result: Any
    fencing: int = 0
    price_microcents: int = 0


class GenerationSeen(msgspec.Struct, frozen=True, tag="generation"):
    """A model engine accepted a request.

    Parameters
    ----------
    at, ended : float
        Times of the request's arrival and of its end at the engine; the end is 0 while it runs.
    target : TargetId
        The engine.
    program, call : ProgramId, CallId
        Ids of the program and its call.
    request_id : str
        Id of the request at the engine.
    conversation : str
        Digest of the model's name and the prompt messages.
    prompt_tokens, output_tokens : int
        Tokens read and generated.
    finished : bool
        Whether the engine generated the complete answer.
    resume_matches : bool
        Whether the text to continue was the start of the expected answer.
    price_microcents : int
        Price of the tokens, in millionths of a cent.
    """

    at: float
    ended: float
    target: TargetId
    program: ProgramId
    call: CallId
    request_id: str
    conversation: str
    prompt_tokens: int
    output_tokens: int
    finished: bool
    resume_matches: bool = True
    price_microcents: int = 0


class CacheReported(msgspec.Struct, frozen=True, tag="cache"):
    """An engine reported the programs for which it held cache memory."""

    at: float
    target: TargetId
    programs: list[ProgramId]


class TargetLeaving(msgspec.Struct, frozen=True, tag="target_leaving"):
    """The platform or an operator announced that a target is leaving."""

    at: float
    target: TargetId


class TargetBack(msgspec.Struct, frozen=True, tag="target_back"):
    """A target does not leave after all, or another VM serves under its name."""

    at: float
    target: TargetId


class DrainStarted(msgspec.Struct, frozen=True, tag="drain_started"):
    """An entry was asked to shut down gracefully."""

    at: float
    entry: EntryId


class DrainEnded(msgspec.Struct, frozen=True, tag="drain_ended"):
    """The process of an entry that was asked to shut down has ended."""

    at: float
    entry: EntryId
    exit_status: int


class EntryUp(msgspec.Struct, frozen=True, tag="entry_up"):
    """An entry serves, after its start or after it was resumed and is reachable again."""

    at: float
    entry: EntryId


class EntryDown(msgspec.Struct, frozen=True, tag="entry_down"):
    """An entry was killed, stopped, frozen or partitioned."""

    at: float
    entry: EntryId


class ConfigAccepted(msgspec.Struct, frozen=True, tag="config_accepted"):
    """An operator was notified that a version of the configuration is accepted."""

    at: float
    version: ConfigVersion
    digest: str = ""


class ConfigInForce(msgspec.Struct, frozen=True, tag="config_in_force"):
    """An entry reported the version of the configuration that it applies."""

    at: float
    entry: EntryId
    version: ConfigVersion
    digest: str = ""


class FaultSeen(msgspec.Struct, frozen=True, tag="fault"):
    """The test injected or ended a fault; no check uses this event."""

    at: float
    fault: str
    begins: bool


class Quiesced(msgspec.Struct, frozen=True, tag="settled"):
    """All faults are over and no request is in progress; only final reads follow."""

    at: float


Event = (
    Submitted
    | TextReceived
    | TextReset
    | Answered
    | EffectSeen
    | GenerationSeen
    | CacheReported
    | TargetLeaving
    | TargetBack
    | DrainStarted
    | DrainEnded
    | EntryUp
    | EntryDown
    | ConfigAccepted
    | ConfigInForce
    | FaultSeen
    | Quiesced
)


class Header(msgspec.Struct, frozen=True):
    """Header in the first line of a saved history."""

    format: int
    seed: int


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Event)
_header_decoder = msgspec.json.Decoder(Header)


class History:
    """Events of one run.

    Parameters
    ----------
    seed : int
        Random seed of the run.
    events : list of Event, optional
        Events recorded so far.
    """

    def __init__(self, seed: int = 0, events: list[Event] | None = None) -> None:
        self.seed = seed
        self.events = list(events or [])

    def record(self, event: Event) -> None:
        """Add an event; events may be added in any order."""
        self.events.append(event)

    def of(self, *kinds: type) -> list:
        """Return the events of the given types, in order of time."""
        return sorted((each for each in self.events if isinstance(each, kinds)), key=_time)

    def save(self, path: Path) -> None:
        """Write a header with the seed, then one JSON object per event and line."""
        lines = [_encoder.encode(Header(FORMAT_VERSION, self.seed))]
        lines += [_encoder.encode(event) for event in sorted(self.events, key=_time)]
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(b"\n".join(lines) + b"\n")


def load_history(path: Path) -> History:
    """Load a saved history."""
    header, *lines = path.read_bytes().splitlines()
    return History(_header_decoder.decode(header).seed, [_decoder.decode(line) for line in lines])


def _time(event: Event) -> float:
    return event.at
