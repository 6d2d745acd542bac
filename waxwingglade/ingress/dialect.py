"""What an entry reads from a caller's request and a target's answer, whatever their headers say.

A `Dialect` translates; it decides nothing.
"""

from collections.abc import Callable
from typing import NewType

import msgspec

from waxwingglade.base import ModelName, ProgramId, TargetId
from waxwingglade.follow.model import ClientAccountId
from waxwingglade.transport.messages import HeaderList, HttpResponse

RequestId = NewType("RequestId", str)
SessionId = NewType("SessionId", str)


class PromptPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of a prompt that requests may share, and its length in tokens."""

    part: str
    tokens: int


class Call(msgspec.Struct):
    """A caller's request.

    Parameters
    ----------
    request : RequestId
        Name of this attempt of the caller.
    method, path, host : str
        As sent; the path with its query.
    headers : list of (str, str)
        Headers that go on to a target, with those of one connection and those that only this
        system may set left out.
    body : bytes
        The whole body.
    deadline_s : float or None
        How long the caller will wait, from the arrival of the request.
    prompt_tokens, max_output_tokens : int
        Size of the prompt, and the most that is generated.
    prompt_parts : tuple of PromptPart
        The prompt's parts in order; the last one belongs to the request or its session.
    affinity : str
        Same for requests that concern the same object.
    program : ProgramId or None
        Program that the request belongs to.
    finish_s : float or None
        Time left until the program should be finished.
    token_budget : int or None
        Tokens that all turns of the program may generate together.
    previous_turn : RequestId or None
        Turn that this one continues.
    last_event : int or None
        Last event of a stream that the caller already has.
    credentials : list of str
        Values of the Authorization headers, which are not among the headers that go on.
    account : ClientAccountId or None
        Client account that sends the request, once that is known; targets are told.
    """

    request: RequestId
    method: str
    path: str
    host: str
    headers: HeaderList
    body: bytes = b""
    deadline_s: float | None = None
    model: ModelName | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    output_hint: int | None = None
    affinity: str = ""
    program: ProgramId | None = None
    session: SessionId | None = None
    finish_s: float | None = None
    token_budget: int | None = None
    previous_turn: RequestId | None = None
    last_event: int | None = None
    credentials: list[str] = []
    account: ClientAccountId | None = None


class Send(msgspec.Struct, frozen=True):
    """What this system adds to a request when it sends it to a target.

    Parameters
    ----------
    target : TargetId
        Incarnation that the request is meant for; any other refuses it.
    time_left_s : float
        How long the target may work on it.
    priority : int or None
        Rank in the target's queue, 0 the first; None for the target's default.
    last_event : int or None
        Event after which a stream is to go on.
    pin_s : float or None
        How long the prompt is to stay in the engine's memory after the run.
    """

    target: TargetId
    time_left_s: float
    priority: int | None = None
    last_event: int | None = None
    pin_s: float | None = None


class LoadStamp(msgspec.Struct, frozen=True):
    """Load that a target reported with an answer."""

    running: int
    waiting: int
    slots: int


class AnswerFacts(msgspec.Struct, frozen=True):
    """What the head of a target's answer says beyond its status.

    Parameters
    ----------
    request : RequestId or None
        Request that it answers, if it says so.
    certified : bool
        Whether the target vouches for the answer; a success without that is not one.
    not_run : bool
        Whether the target promises that the request did not run and never will.
    target : TargetId or None
        Incarnation that answered, if it says so.
    load : LoadStamp or None
        Its load.
    """

    request: RequestId | None
    certified: bool
    not_run: bool
    target: TargetId | None
    load: LoadStamp | None


class Dialect(msgspec.Struct, frozen=True):
    """How requests and answers are read and written.

    Parameters
    ----------
    read_call : callable
        From method, path and headers to a `Call` without its body; `FormatError` if it is wrong.
    read_answer : callable
        From the head of a target's answer to its facts.
    target_headers : callable
        Headers with which a call is sent.
    own_headers : callable
        Headers of an answer that this system gives itself to a request.
    """

    read_call: Callable[[str, str, HeaderList], Call]
    read_answer: Callable[[HttpResponse], AnswerFacts]
    target_headers: Callable[[Call, Send], HeaderList]
    own_headers: Callable[[RequestId], HeaderList]


__all__ = [
    "AnswerFacts",
    "Call",
    "Dialect",
    "LoadStamp",
    "PromptPart",
    "RequestId",
    "Send",
    "SessionId",
]
