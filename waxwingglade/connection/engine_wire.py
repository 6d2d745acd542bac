"""The JSON messages of model engines, and the failures that their errors stand for."""

import msgspec

from waxwingglade.base import ErrorCode, Failure, Verdict
from waxwingglade.connection.engine_events import EngineRequest
from waxwingglade.connection.http import HttpAnswer
from waxwingglade.program.messages import Usage

NOT_RUN_TYPE = "not_run"
FENCED_TYPE = "fenced"
CANCELLED_TYPE = "cancelled"
MAX_SHOWN_BYTES = 200


class WireError(msgspec.Struct, frozen=True):
    """Type and text of an error."""

    type: str = ""
    message: str = ""


class WireFailure(msgspec.Struct, frozen=True):
    """Body of an error answer."""

    error: WireError


class WireDelta(msgspec.Struct, frozen=True):
    """New text of a choice."""

    content: str | None = None


class WireChoice(msgspec.Struct, frozen=True):
    """The only requested answer."""

    delta: WireDelta = WireDelta()
    finish_reason: str | None = None


class WirePromptDetails(msgspec.Struct, frozen=True):
    """Number of prompt tokens that were cached."""

    cached_tokens: int | None = None


class WireUsage(msgspec.Struct, frozen=True):
    """Tokens used so far."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: WirePromptDetails | None = None

    def usage(self) -> Usage:
        """Return the usage as used outside of this adapter."""
        details = self.prompt_tokens_details or WirePromptDetails()
        return Usage(self.prompt_tokens, details.cached_tokens or 0, self.completion_tokens)


class WireChunk(msgspec.Struct, frozen=True):
    """One event of a stream."""

    choices: list[WireChoice] = []
    usage: WireUsage | None = None
    error: WireError | None = None


def completion_body(request: EngineRequest) -> bytes:
    """Return the JSON body of a request for a streamed completion."""
    messages = [{"role": each.role.value, "content": each.content} for each in request.messages]
    body = {
        "model": request.model,
        "messages": messages,
        "max_tokens": request.max_tokens,
        "priority": request.priority,
        "stream": True,
        "stream_options": {"include_usage": True, "continuous_usage_stats": True},
    }
    if request.resume_text:
        messages.append({"role": "assistant", "content": request.resume_text})
        body["continue_final_message"] = True
        body["add_generation_prompt"] = False
    return msgspec.json.encode(body)


def failure_of_answer(answer: HttpAnswer) -> Failure:
    """Return the failure that an answer with an error status stands for."""
    try:
        error = msgspec.json.decode(answer.body, type=WireFailure).error
    except (msgspec.DecodeError, UnicodeDecodeError):
        error = WireError(message=answer.body[:MAX_SHOWN_BYTES].decode("utf-8", "replace"))
    return failure_of_error(error, answer.status, answer.retry_after_s())


def failure_of_error(error: WireError, status: int, retry_after_s: float | None = None) -> Failure:
    """Return the failure that an error stands for.

    Its verdict is "not run" only if the engine reports that explicitly.
    """
    message = f"engine answered {status}: {error.type} {error.message}"
    if error.type == NOT_RUN_TYPE:
        return Failure(Verdict.NOT_RUN, ErrorCode.OVERLOADED, message, retry_after_s)
    if error.type == FENCED_TYPE:
        return Failure(Verdict.NOT_RUN, ErrorCode.FENCED, message)
    if error.type == CANCELLED_TYPE:
        return Failure(Verdict.MAY_HAVE_RUN, ErrorCode.CANCELLED, message)
    return Failure(Verdict.MAY_HAVE_RUN, ErrorCode.TARGET_FAILED, message, retry_after_s)


__all__ = [
    "WireChunk",
    "WireError",
    "WireUsage",
    "completion_body",
    "failure_of_answer",
    "failure_of_error",
]
