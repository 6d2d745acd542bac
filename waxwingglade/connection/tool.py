"""Adapter for services: calls of tools, and their recorded outcomes."""

from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import msgspec

from waxwingglade.base import Err, ErrorCode, Failure, Ok, Outcome, Verdict, may_have_run
from waxwingglade.connection.http import HttpAnswer, HttpClient, HttpRequest, send
from waxwingglade.settings import TargetSettings, ToolSettings

OUTCOME_TIMEOUT_S = 5.0
KEY_HEADER = "Idempotency-Key"
FENCING_HEADER = "X-Fencing-Number"
MAX_SHOWN_BYTES = 200


class ToolAnswer(msgspec.Struct, frozen=True):
    """The result of a tool call that ran."""

    result: Any = None


class WireFailure(msgspec.Struct, frozen=True):
    """Body of a failed call."""

    verdict: Verdict
    code: str = ""


class WireOutcome(msgspec.Struct, frozen=True):
    """Body of an answer about the outcome of an earlier call."""

    found: bool
    result: Any = None


async def call_tool(
    client: HttpClient,
    target: TargetSettings,
    tool: ToolSettings,
    *,
    key: str,
    arguments: dict[str, Any],
    fencing: int,
    timeout_s: float,
) -> Outcome[ToolAnswer]:
    """Call a tool once, without retries.

    Parameters
    ----------
    client : HttpClient
        The shared HTTP client.
    target, tool : TargetSettings, ToolSettings
        The service and its tool.
    key : str
        Idempotency key, which is the same for all attempts of a call.
    arguments : dict
        Arguments of the call, encoded as JSON.
    fencing : int
        Fencing number of the lease of the caller.
    timeout_s : float
        Timeout of the complete call, in seconds.
    """
    request = HttpRequest(
        "POST",
        target.url + tool.path,
        headers={KEY_HEADER: key, FENCING_HEADER: str(fencing)},
        body=msgspec.json.encode(arguments),
        timeout_s=timeout_s,
    )
    return (await send(client, request)).and_then(_decode_answer)


async def ask_outcome(
    client: HttpClient, target: TargetSettings, tool: ToolSettings, key: str
) -> Outcome[ToolAnswer | None]:
    """Request the outcome of the call with `key`.

    None means that the call had not run yet; a call that is still in transit may run later.
    """
    request = HttpRequest(
        "GET",
        f"{target.url}{tool.path}/outcome/{quote(key, safe='')}",
        timeout_s=OUTCOME_TIMEOUT_S,
        repeatable=True,
    )
    return (await send(client, request)).and_then(_decode_outcome)


def _decode_answer(answer: HttpAnswer) -> Outcome[ToolAnswer]:
    if answer.status != HTTPStatus.OK:
        return Err(_decode_failure(answer))
    try:
        return Ok(msgspec.json.decode(answer.body, type=ToolAnswer))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return may_have_run(ErrorCode.TARGET_FAILED, f"service sent garbage: {error}")


def _decode_outcome(answer: HttpAnswer) -> Outcome[ToolAnswer | None]:
    if answer.status != HTTPStatus.OK:
        return may_have_run(ErrorCode.TARGET_FAILED, f"service answered {answer.status}")
    try:
        outcome = msgspec.json.decode(answer.body, type=WireOutcome)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return may_have_run(ErrorCode.TARGET_FAILED, f"service sent garbage: {error}")
    return Ok(ToolAnswer(outcome.result) if outcome.found else None)


def _decode_failure(answer: HttpAnswer) -> Failure:
    """Return the failure that an error status stands for.

    Its verdict is another than "may have run" only if the service reports that explicitly.
    """
    shown = answer.body[:MAX_SHOWN_BYTES].decode("utf-8", "replace")
    message = f"service answered {answer.status}: {shown}"
    try:
        wire = msgspec.json.decode(answer.body, type=WireFailure)
    except (msgspec.DecodeError, UnicodeDecodeError):
        wire = WireFailure(Verdict.MAY_HAVE_RUN)
    if wire.verdict is not Verdict.NOT_RUN:
        return Failure(wire.verdict, ErrorCode.TARGET_FAILED, message, answer.retry_after_s())
    code = ErrorCode.FENCED if wire.code == ErrorCode.FENCED.value else ErrorCode.OVERLOADED
    return Failure(Verdict.NOT_RUN, code, message, answer.retry_after_s())


__all__ = ["ToolAnswer", "ask_outcome", "call_tool"]
