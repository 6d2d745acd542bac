"""Calls that a program makes, and the messages and events that they exchange."""

from enum import Enum
from typing import Any

import msgspec

from waxwingglade.base import CallId, ModelName, ToolName


class MessageRole(Enum):
    """Author of a message, as in the common chat format."""

    SYSTEM = "system"
    USER = "user"
    ASSISTANT = "assistant"
    TOOL = "tool"


class Message(msgspec.Struct, frozen=True):
    """One message of a conversation."""

    role: MessageRole
    content: str


class Usage(msgspec.Struct, frozen=True):
    """Tokens that a model call used.

    `cached_tokens` is the part of `prompt_tokens` that needed no prefill.
    """

    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


class ModelCall(msgspec.Struct, frozen=True, tag="model"):
    """A call that appends `messages` to the history and asks a model for an answer.

    `order` is the number that the caller gives the call within the program, counted from 1.  Calls
    whose `order` is None run in the order of arrival.
    """

    call: CallId
    model: ModelName
    messages: list[Message]
    max_tokens: int | None = None
    order: int | None = None


class ToolCall(msgspec.Struct, frozen=True, tag="tool"):
    """A call of a tool service with JSON arguments; `order` is as in `ModelCall`."""

    call: CallId
    tool: ToolName
    arguments: dict[str, Any]
    order: int | None = None


class SubProgramCall(msgspec.Struct, frozen=True, tag="sub_program"):
    """A call that creates a sub-agent, which uses this program's budget.

    `order` is as in `ModelCall`.
    """

    call: CallId
    order: int | None = None


Call = ModelCall | ToolCall | SubProgramCall


class Delta(msgspec.Struct, frozen=True, tag="delta"):
    """A piece of generated text that starts `offset` characters into the answer of `attempt`.

    Text of one attempt does not continue the text of another.
    """

    offset: int
    text: str
    attempt: str = ""


class Reset(msgspec.Struct, frozen=True, tag="reset"):
    """Invalidates the text sent so far: after a failure, the call started again as `attempt`."""

    attempt: str = ""


class Done(msgspec.Struct, frozen=True, tag="done"):
    """The complete answer of a call that ran; it is durable."""

    text: str = ""
    result: Any = None
    finish_reason: str = "stop"
    usage: Usage = Usage()
