"""Run a program as its caller: calls, retries and their measurements."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from waxwingglade.base import Clock, Failure, monotonic
from waxwingglade.connection.api_client import ApiClient, read_answer
from waxwingglade.connection.peer_messages import ProgramView
from waxwingglade.demo.embedded import MODEL
from waxwingglade.program import Done

MAX_ATTEMPTS = 20
"""Most attempts of a request with the same id, after which the program is abandoned."""

Sleep = Callable[[float], Awaitable[None]]


class Measurement(msgspec.Struct):
    """Measurements of one program, including its sub-agents.

    Parameters
    ----------
    program_class : str
        Class of the program.
    finished : bool
        Whether its script was completed.
    seconds : float
        Seconds from the request to create it to its end.
    programs : list of str
        Ids of the program and its sub-agents.
    refusals : int
        Number of failures in answers to its requests.
    reusable_tokens, wasted_tokens : int
        Prompt tokens that were prefilled before, and the number of them prefilled again.
    """

    program_class: str
    finished: bool = False
    seconds: float = 0.0
    programs: list[str] = msgspec.field(default_factory=list)
    refusals: int = 0
    reusable_tokens: int = 0
    wasted_tokens: int = 0


class RequestFailedError(Exception):
    """A request failed permanently."""


class Session:
    """A program, or a sub-agent of one.

    Parameters
    ----------
    client : ApiClient
        Client of an entry with the caller's token.
    program : str
        Id of the program.
    measured : Measurement
        Receives the measurements.
    """

    def __init__(self, client: ApiClient, program: str, measured: Measurement) -> None:
        self.client = client
        self.program = program
        self.measured = measured
        self.calls = 0
        self.read_tokens = 0
        measured.programs.append(program)

    async def say(self, *texts: str, role: str = "user") -> str:
        """Send messages to the model and return the text of its answer."""
        messages = [{"role": role, "content": text} for text in texts]
        done = await self.call({"type": "model", "model": MODEL, "messages": messages})
        usage = done.usage
        reusable = min(self.read_tokens, usage.prompt_tokens)
        self.measured.reusable_tokens += reusable
        self.measured.wasted_tokens += max(0, reusable - usage.cached_tokens)
        self.read_tokens = usage.prompt_tokens
        return done.text

    async def use(self, tool: str, **arguments: Any) -> Any:
        """Call a tool and return its result."""
        return (await self.call({"type": "tool", "tool": tool, "arguments": arguments})).result

    async def delegate(self) -> "Session":
        """Create a sub-agent."""
        result = (await self.call({"type": "sub_program"})).result
        return Session(self.client, result["program"], self.measured)

    async def call(self, body: dict[str, Any]) -> Done:
        """Make a call, with retries under the same id, and return its outcome."""
        self.calls += 1
        path = f"/v1/programs/{self.program}/calls"
        body = {**body, "call": f"call-{self.calls}"}
        return await send_with_retries(self.client, "POST", path, Done, body, self.measured)


async def send_with_retries(
    client: ApiClient,
    method: str,
    path: str,
    model: type,
    body: Any,
    measured: Measurement,
    sleep: Sleep = asyncio.sleep,
) -> Any:
    """Send a request, with retries; raise `RequestFailedError` if it does not succeed."""
    failure: Failure | None = None
    for _ in range(MAX_ATTEMPTS):
        received = await client.try_send(method, path, body)
        outcome = received.and_then(lambda answer: read_answer(answer, model))
        if outcome.is_ok():
            return outcome.ok_value
        failure = outcome.err_value
        measured.refusals += 1
        if failure.retry_after_s is None:
            break
        await sleep(failure.retry_after_s)
    raise RequestFailedError(f"{method} {path}: {failure}")


Script = Callable[[Session, Callable[[float], Awaitable[None]]], Awaitable[None]]
"""Script of a program; it gets the session and a function that waits for a person."""


async def run_program(
    client: ApiClient, program_class: str, script: Script, pause: Sleep, clock: Clock = monotonic
) -> Measurement:
    """Run one program from its creation to its end."""
    measured = Measurement(program_class)
    started = clock()
    try:
        body = {"program_class": program_class}
        view = await send_with_retries(client, "POST", "/v1/programs", ProgramView, body, measured)
        session = Session(client, view.program, measured)
        await script(session, pause)
        path = f"/v1/programs/{session.program}"
        await send_with_retries(client, "DELETE", path, ProgramView, None, measured)
        measured.finished = True
    except RequestFailedError:
        measured.finished = False
    measured.seconds = clock() - started
    return measured
