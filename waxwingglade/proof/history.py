"""What callers, engines, tools and entries were seen to do, in order of time.

All times are monotonic seconds of one machine, so events of different processes can be compared.
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
    """No answer, or only a part of one, reached the caller.

    REFUSED says that no connection was made; CUT that one ended before the answer was whole.
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
    """A caller was told that the text so far is void."""

    at: float
    number: int
    attempt: str


class Answered(msgspec.Struct, frozen=True, tag="answered"):
    """A caller got the final answer to a request, or knows that none will come."""

    at: float
    number: int
    answer: Answer


class EffectSeen(msgspec.Struct, frozen=True, tag="effect"):
    """A tool service ran a call.

    Parameters
    ----------
    at, arrived : float
        When it took effect, and when the request had arrived.
    target : TargetId
        The service.
    tool : ToolName
        The tool.
    program, call : ProgramId, CallId
        Whose call it was, from the idempotency key.
    idempotent : bool
        Whether the tool may run it twice.
    result : object
        What it answered.
    fencing : int
        Fencing number that came with it.
    price_microcents : int
        What it costs.
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
    """A model engine took a request in.

    Parameters
    ----------
    at, ended : float
        When it arrived and when the engine stopped working on it; 0 while it runs.
    target : TargetId
        The engine.
    program, call : ProgramId, CallId
        Whose call it was.
    request_id : str
        The engine's name for it.
    conversation : str
        Digest of model and prompt messages.
    prompt_tokens, output_tokens : int
        Tokens read and generated.
    finished : bool
        Whether the engine generated the answer to its end.
    resume_matches : bool
        Whether the text to continue was the start of the right answer.
    price_microcents : int
        What its tokens cost.
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
    """Programs for which an engine held memory."""

    at: float
    target: TargetId
    programs: list[ProgramId]


class TargetLeaving(msgspec.Struct, frozen=True, tag="target_leaving"):
    """The platform or an operator let it be known that a target is leaving."""

    at: float
    target: TargetId


class TargetBack(msgspec.Struct, frozen=True, tag="target_back"):
    """A target stays after all, or another VM serves under its name."""

    at: float
    target: TargetId


class DrainStarted(msgspec.Struct, frozen=True, tag="drain_started"):
    """An entry was asked to shut down gracefully."""

    at: float
    entry: EntryId


class DrainEnded(msgspec.Struct, frozen=True, tag="drain_ended"):
    """An entry that was asked to shut down has ended."""

    at: float
    entry: EntryId
    exit_status: int


class EntryUp(msgspec.Struct, frozen=True, tag="entry_up"):
    """An entry serves, after its start or after it could go on and was reached again."""

    at: float
    entry: EntryId


class EntryDown(msgspec.Struct, frozen=True, tag="entry_down"):
    """An entry was killed, stopped, frozen or cut off."""

    at: float
    entry: EntryId


class ConfigAccepted(msgspec.Struct, frozen=True, tag="config_accepted"):
    """An operator was told that a version of the configuration is accepted."""

    at: float
    version: ConfigVersion
    digest: str = ""


class ConfigInForce(msgspec.Struct, frozen=True, tag="config_in_force"):
    """An entry said which version it serves under."""

    at: float
    entry: EntryId
    version: ConfigVersion
    digest: str = ""


class FaultSeen(msgspec.Struct, frozen=True, tag="fault"):
    """The test caused a fault, or ended it; for whoever reads the history."""

    at: float
    fault: str
    begins: bool


class Quiesced(msgspec.Struct, frozen=True, tag="settled"):
    """All faults are over and nothing is under way; what follows are the last looks."""

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
    """First line of a saved history."""

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
        Seed from which the run followed.
    events : list of Event, optional
        Events known already.
    """

    def __init__(self, seed: int = 0, events: list[Event] | None = None) -> None:
        self.seed = seed
        self.events = list(events or [])

    def record(self, event: Event) -> None:
        """Add an event; the order of adding does not matter."""
        self.events.append(event)

    def of(self, *kinds: type) -> list:
        """Return the events of some types, in order of time."""
        return sorted((each for each in self.events if isinstance(each, kinds)), key=_time)

    def save(self, path: Path) -> None:
        """Write one JSON object a line, the seed first."""
        lines = [_encoder.encode(Header(FORMAT_VERSION, self.seed))]
        lines += [_encoder.encode(event) for event in sorted(self.events, key=_time)]
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(b"\n".join(lines) + b"\n")


def load_history(path: Path) -> History:
    """Return a saved history."""
    header, *lines = path.read_bytes().splitlines()
    return History(_header_decoder.decode(header).seed, [_decoder.decode(line) for line in lines])


def _time(event: Event) -> float:
    return event.at
