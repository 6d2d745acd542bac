"""Requests and answers as an entry sees them, independent of the header format.

A `Dialect` only translates between headers and these structures.
"""

from collections.abc import Callable
from typing import NewType

import msgspec

from waxwingglade.base import Fingerprint, ModelName, ProgramId, TargetId
from waxwingglade.follow.model import ClientAccountId
from waxwingglade.transport.messages import HeaderList, HttpResponse

RequestId = NewType("RequestId", str)
SessionId = NewType("SessionId", str)


class PromptPart(msgspec.Struct, frozen=True, array_like=True):
    """A prompt part that requests may share, and its length in tokens."""

    part: str
    tokens: int


class Call(msgspec.Struct):
    """A caller's request.

    Parameters
    ----------
    request : RequestId
        Id of this attempt of the caller.
    method, path, host : str
        As received; the path includes the query.
    headers : list of (str, str)
        Headers to pass on to a target, without hop-by-hop headers and those that only this system
        may set.
    body : bytes
        The complete body.
    deadline_s : float or None
        Seconds that the caller waits, from the arrival of the request.
    prompt_tokens, max_output_tokens : int
        Size of the prompt, and the maximum number of generated tokens.
    prompt_parts : tuple of PromptPart
        Parts of the prompt in order; the last one is specific to the request or its session.
    affinity : str
        Affinity key; equal for requests that concern the same object.
    program : ProgramId or None
        Program that the request belongs to.
    finish_s : float or None
        Seconds until the program should be finished.
    token_budget : int or None
        Tokens that all turns of the program may generate together.
    previous_turn : RequestId or None
        Turn that this one continues.
    last_event : int or None
        Id of the last event of a stream that the caller already received.
    credentials : list of str
        Values of the Authorization headers, which `headers` does not include.
    account : ClientAccountId or None
        Client account of the request, once known; it is passed on to targets.
    fingerprint : Fingerprint or None
        Digest of what the caller asks for, once computed.
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
    fingerprint: Fingerprint | None = None


class Send(msgspec.Struct, frozen=True):
    """Data that this system adds to a request for a target.

    Parameters
    ----------
    target : TargetId
        Incarnation that the request is addressed to; any other refuses it.
    time_left_s : float
        Seconds that the target may take.
    priority : int or None
        Priority in the queue of the target, 0 the highest; None for the default of the target.
    last_event : int or None
        Id of the event after which a stream resumes.
    pin_s : float or None
        Seconds for which the engine retains the prompt in its memory after the run.
    """

    target: TargetId
    time_left_s: float
    priority: int | None = None
    last_event: int | None = None
    pin_s: float | None = None


class LoadStamp(msgspec.Struct, frozen=True):
    """Load that a target reported with an answer.

    Parameters
    ----------
    running, waiting, slots : int
        Requests that run and that wait, and the number that the target runs at once.
    stretch : float or None
        How many times longer than usual work takes on the target's VM at this moment, since it
        shares the VM with others; None if the target does not report it.
    """

    running: int
    waiting: int
    slots: int
    stretch: float | None = None


class AnswerFacts(msgspec.Struct, frozen=True):
    """Facts in the head of an answer of a target, beyond its status.

    Parameters
    ----------
    request : RequestId or None
        Request that is answered, if given.
    certified : bool
        Whether the target certifies the answer; an uncertified success does not count as one.
    not_run : bool
        Whether the target promises that the request did not run and will not run.
    target : TargetId or None
        Incarnation that answered, if given.
    load : LoadStamp or None
        Load of the target, if given.
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
        Decodes method, path and headers into a `Call` without its body; raises `FormatError`.
    read_answer : callable
        Decodes the head of an answer of a target.
    target_headers : callable
        Returns the headers with which a call is sent to a target.
    own_headers : callable
        Returns the headers of an answer that this system itself gives to a request.
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
