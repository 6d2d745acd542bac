"""What passes between the system and a model engine."""

from enum import Enum

import msgspec

from waxwingglade.base import Failure, ModelName, ProgramId
from waxwingglade.program.messages import Message, Usage


class EngineRequest(msgspec.Struct, frozen=True):
    """One completion.

    Parameters
    ----------
    request_id : str
        Name by which it can be cancelled; never used twice, since a late cancel of the first use
        would stop the second.
    program : ProgramId
        Program whose prefix cache it extends.
    model : ModelName
        Model or adapter.
    messages : list of Message
        The whole conversation.
    max_tokens : int
        Tokens to generate, those of `resume_text` not counted.
    priority : int
        Lower numbers go first.
    resume_text : str
        Start of the answer, generated elsewhere; the engine continues right after it.
    """

    request_id: str
    program: ProgramId
    model: ModelName
    messages: list[Message]
    max_tokens: int
    priority: int = 0
    resume_text: str = ""


class StreamTimeouts(msgspec.Struct, frozen=True):
    """Seconds of silence after which a stream is given up."""

    first_token_s: float = 30.0
    between_tokens_s: float = 10.0


class EngineDelta(msgspec.Struct, frozen=True):
    """Text that was generated, and of how many tokens it consists."""

    text: str
    tokens: int


class EngineDone(msgspec.Struct, frozen=True):
    """The answer is whole."""

    finish_reason: str
    usage: Usage


class EngineFailed(msgspec.Struct, frozen=True):
    """The stream ended early, after `produced_text_len` characters of this request."""

    failure: Failure
    produced_text_len: int = 0


EngineEvent = EngineDelta | EngineDone | EngineFailed


class EngineLoad(msgspec.Struct, frozen=True):
    """Load as an engine reports it.

    Parameters
    ----------
    running, waiting : int
        Requests.
    kv_used_fraction : float
        Part of the cache memory in use, 0 to 1.
    stamp : float
        Monotonic time at which the report was asked for, in seconds; what it says is older.
    """

    running: int
    waiting: int
    kv_used_fraction: float
    stamp: float


class CacheEventKind(Enum):
    """What became of cache blocks."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of an engine's prefix cache."""

    sequence: int
    kind: CacheEventKind
    blocks: list[str] = []
    program: ProgramId | None = None


class CacheEvents(msgspec.Struct, frozen=True):
    """Events after a sequence number, in order.

    `gap` says that some are missing, so that what was known of the cache has to be dropped.
    `last` is the sequence number to ask from next.
    """

    events: list[CacheEvent]
    gap: bool
    last: int


class OrderKind(Enum):
    """What an engine can be told to do."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"


class EngineOrder(msgspec.Struct, frozen=True):
    """An order with its fencing number."""

    kind: OrderKind
    value: str
    fencing: int


class EngineState(msgspec.Struct, frozen=True):
    """What an engine has loaded, and the highest fencing number that it accepted."""

    models: list[str]
    adapters: list[str] = []
    role: str = ""
    last_fencing: int = 0


__all__ = [
    "CacheEvent",
    "CacheEventKind",
    "CacheEvents",
    "EngineDelta",
    "EngineDone",
    "EngineEvent",
    "EngineFailed",
    "EngineLoad",
    "EngineOrder",
    "EngineRequest",
    "EngineState",
    "OrderKind",
    "StreamTimeouts",
]
