"""The common chat-completions format of requests and answers."""

from typing import Any

import msgspec

from waxwingglade.base import ErrorCode, Failure, ModelName, Ok, Outcome, not_run
from waxwingglade.program import Done, Message, MessageRole, Usage

COMPLETION = "chat.completion"
CHUNK = "chat.completion.chunk"
TEXT_PART = "text"
ROLES = {
    "system": MessageRole.SYSTEM,
    "developer": MessageRole.SYSTEM,
    "user": MessageRole.USER,
    "assistant": MessageRole.ASSISTANT,
    "tool": MessageRole.TOOL,
}
STREAM_END = b"[DONE]"


class ContentPart(msgspec.Struct):
    """One part of the content of a message; only text is supported."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct):
    """One message in the chat format."""

    role: str
    content: str | list[ContentPart] | None = None


class StreamOptions(msgspec.Struct):
    """What a stream contains besides text."""

    include_usage: bool = False


class ChatRequest(msgspec.Struct):
    """Body of ``POST /v1/chat/completions``.

    Sampling parameters are accepted and ignored; parameters that would change the meaning of the
    answer are rejected.
    """

    model: ModelName
    messages: list[ChatMessage]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    n: int | None = None
    tools: list[Any] | None = None
    functions: list[Any] | None = None
    audio: Any = None


class WireUsage(msgspec.Struct):
    """Used tokens in the chat format."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class WireMessage(msgspec.Struct):
    """The answer as a message of the assistant."""

    role: str
    content: str


class Choice(msgspec.Struct):
    """The only answer; its index is always 0."""

    message: WireMessage
    finish_reason: str
    index: int = 0
    logprobs: None = None


class Completion(msgspec.Struct):
    """A complete answer."""

    id: str
    created: int
    model: str
    choices: list[Choice]
    usage: WireUsage
    object: str = COMPLETION


class WireDelta(msgspec.Struct, omit_defaults=True):
    """The text that a chunk adds, or the role."""

    role: str | None = None
    content: str | None = None


class ChunkChoice(msgspec.Struct):
    """The part of the only answer in a chunk."""

    delta: WireDelta
    finish_reason: str | None = None
    index: int = 0
    logprobs: None = None


class Chunk(msgspec.Struct):
    """A piece of a streamed answer."""

    id: str
    created: int
    model: str
    choices: list[ChunkChoice]
    usage: WireUsage | None = None
    object: str = CHUNK


class WireError(msgspec.Struct):
    """A failure in the chat format, with the verdict added."""

    message: str
    type: str
    code: str
    verdict: str
    retry_after_s: float | None
    param: None = None


class ErrorBody(msgspec.Struct):
    """Body of a failed request, or last event of a failed stream."""

    error: WireError


def read_messages(request: ChatRequest) -> Outcome[list[Message]]:
    """Return the messages of a request, or the failure if it is not supported."""
    if request.n not in (None, 1):
        return not_run(ErrorCode.BAD_REQUEST, "n: only one answer is given")
    if request.tools or request.functions or request.audio:
        text = "tools, functions and audio are not served here; call tools by /v1/programs"
        return not_run(ErrorCode.BAD_REQUEST, text)
    messages = []
    for number, wire in enumerate(request.messages):
        role = ROLES.get(wire.role)
        content = _text_of(wire.content)
        if role is None or content is None:
            text = f"messages[{number}]: unknown role, or content that is not text"
            return not_run(ErrorCode.BAD_REQUEST, text)
        messages.append(Message(role, content))
    return Ok(messages)


def _text_of(content: str | list[ContentPart] | None) -> str | None:
    if content is None or isinstance(content, str):
        return content or ""
    if any(part.type != TEXT_PART for part in content):
        return None
    return "".join(part.text for part in content)


def wire_usage(usage: Usage) -> WireUsage:
    """Return used tokens in the chat format."""
    total = usage.prompt_tokens + usage.output_tokens
    return WireUsage(usage.prompt_tokens, usage.output_tokens, total)


def wire_error(failure: Failure) -> ErrorBody:
    """Return a failure in the chat format."""
    error = WireError(
        message=failure.message,
        type=failure.code.value,
        code=failure.code.value,
        verdict=failure.verdict.value,
        retry_after_s=failure.retry_after_s,
    )
    return ErrorBody(error)


def completion(completion_id: str, created: int, model: str, done: Done) -> Completion:
    """Return a complete answer in the chat format."""
    choice = Choice(WireMessage("assistant", done.text), done.finish_reason)
    return Completion(completion_id, created, model, [choice], wire_usage(done.usage))
