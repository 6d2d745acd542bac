"""The headers of callers, targets and this system on the platform."""

from waxwingglade.base import FormatError, ModelName, ProgramId, TargetId
from waxwingglade.ingress.dialect import (
    AnswerFacts,
    Call,
    Dialect,
    LoadStamp,
    PromptPart,
    RequestId,
    Send,
    SessionId,
)
from waxwingglade.transport.messages import HeaderList, HttpResponse

PREFIX = "X-Waxwingglade-"
REQUEST_ID = PREFIX + "Request-Id"
DEADLINE = PREFIX + "Deadline-Ms"
EXPECT_TARGET = PREFIX + "Expect-Instance"
PRIORITY = PREFIX + "Request-Priority"
PIN = PREFIX + "Pin-Ms"
SEAL = PREFIX + "Server-Seal"
NOT_RUN = PREFIX + "Not-Run"
TARGET_ID = PREFIX + "Instance-Id"
LOAD = PREFIX + "Server-Load"
MODEL = PREFIX + "Model"
TOKEN_COUNT = PREFIX + "Token-Count"
PROMPT_PARTS = PREFIX + "Prompt-Prefix"
OUTPUT_HINT = PREFIX + "Length-Hint"
AFFINITY = PREFIX + "Affinity-Key"
PROGRAM = PREFIX + "Program-Id"
SESSION = PREFIX + "Session-Id"
FINISH = PREFIX + "Finish-Ms"
BUDGET = PREFIX + "Token-Budget"
PREVIOUS_TURN = PREFIX + "Previous-Turn"
ACCOUNT = PREFIX + "Tenant"
LAST_EVENT = "Last-Event-Id"
AUTHORIZATION = "Authorization"

MISDIRECTED = 421

USUAL_STRETCH = 100
"""Reported by a target on whose VM work takes as long as usual."""

LARGEST_LOAD = 2**31 - 1
"""Greatest number of requests that a target can report."""

_HOP_BY_HOP = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
}
_SET_BY_THIS_SYSTEM = {
    DEADLINE,
    EXPECT_TARGET,
    PRIORITY,
    PIN,
    LAST_EVENT,
    ACCOUNT,
    AUTHORIZATION,
    PREFIX + "Hold",
    PREFIX + "Kv-Backup",
    PREFIX + "Expect-Version",
    "Kv-From",
    "Kv-Fetch",
}
"""Headers that determine where, how and for whom a target runs a request.  Those sent by a caller
are not forwarded."""

_CREDENTIALS = AUTHORIZATION.lower()
_DROPPED_HEADERS = _HOP_BY_HOP | {name.lower() for name in _SET_BY_THIS_SYSTEM}


def read_call(method: str, path: str, headers: HeaderList) -> Call:
    """Decode the head of a caller's request; raise `FormatError` naming an invalid header."""
    values = {name.lower(): value for name, value in headers}
    dropped = _DROPPED_HEADERS | _named_by_connection(values)
    call = Call(
        request=RequestId(values.get(REQUEST_ID.lower(), "")),
        method=method,
        path=path,
        host=values.get("host", "").strip().lower(),
        headers=[(name, value) for name, value in headers if name.lower() not in dropped],
    )
    call.credentials = [value for name, value in headers if name.lower() == _CREDENTIALS]
    call.deadline_s = _seconds(values, DEADLINE)
    call.finish_s = _seconds(values, FINISH)
    call.affinity = values.get(AFFINITY.lower(), "")
    call.last_event = _integer(values, LAST_EVENT)
    call.output_hint = _integer(values, OUTPUT_HINT)
    call.token_budget = _integer(values, BUDGET)
    if model := values.get(MODEL.lower()):
        call.model = ModelName(model)
    if program := values.get(PROGRAM.lower()):
        call.program = ProgramId(program)
    if session := values.get(SESSION.lower()):
        call.session = SessionId(session)
    if previous := values.get(PREVIOUS_TURN.lower()):
        call.previous_turn = RequestId(previous)
    if counts := values.get(TOKEN_COUNT.lower()):
        call.prompt_tokens, call.max_output_tokens = _token_counts(counts)
    if parts := values.get(PROMPT_PARTS.lower()):
        call.prompt_parts = _prompt_parts(parts)
    return call


def _named_by_connection(values: dict[str, str]) -> set[str]:
    """Return the hop-by-hop headers that the Connection header lists."""
    named = values.get("connection", "")
    return {name.strip().lower() for name in named.split(",") if name.strip()} - {"host"}


def _integer(values: dict[str, str], name: str) -> int | None:
    value = values.get(name.lower())
    if value is None:
        return None
    try:
        return int(value)
    except ValueError as error:
        raise FormatError(f"{name}: {value!r} is no integer") from error


def _seconds(values: dict[str, str], name: str) -> float | None:
    value = values.get(name.lower())
    if value is None:
        return None
    try:
        return float(value) / 1000
    except ValueError as error:
        raise FormatError(f"{name}: {value!r} is no number") from error


def _token_counts(value: str) -> tuple[int, int]:
    prompt, _, output = value.partition(",")
    try:
        return int(prompt), int(output or 0)
    except ValueError as error:
        raise FormatError(f"{TOKEN_COUNT}: {value!r}") from error


def _prompt_parts(value: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.split(","):
        name, _, tokens = entry.strip().partition(":")
        try:
            parts.append(PromptPart(name, int(tokens)))
        except ValueError as error:
            raise FormatError(f"{PROMPT_PARTS}: {entry!r}") from error
    return tuple(parts)


def read_answer(head: HttpResponse) -> AnswerFacts:
    """Decode the head of a target's answer."""
    request = head.header(REQUEST_ID)
    target = head.header(TARGET_ID)
    return AnswerFacts(
        request=RequestId(request) if request else None,
        certified=head.header(SEAL) is not None and head.header("Content-Encoding") is None,
        not_run=head.header(NOT_RUN) is not None or head.status == MISDIRECTED,
        target=TargetId(target) if target else None,
        load=_load(head.header(LOAD)),
    )


def _load(value: str | None) -> LoadStamp | None:
    """Decode RUNNING,WAITING,SLOTS[,STRETCH]; return None if the value is missing or invalid.

    STRETCH is in percent; if it is invalid, the other figures still count.  Later figures, which a
    newer target may add, are ignored.
    """
    if value is None:
        return None
    figures = value.split(",")
    try:
        running, waiting, slots = (int(figure) for figure in figures[:3])
    except ValueError:
        return None
    if max(running, waiting, slots) > LARGEST_LOAD or min(running, waiting, slots) < 0:
        return None
    return LoadStamp(running, waiting, slots, _stretch(figures[3]) if len(figures) > 3 else None)


def _stretch(figure: str) -> float | None:
    """Return a stretch, or None if the figure is no positive number."""
    try:
        stretch = int(figure) / USUAL_STRETCH
    except (ValueError, OverflowError):
        return None
    return stretch if stretch > 0 else None


def target_headers(call: Call, send: Send) -> HeaderList:
    """Return the headers of a call as sent to a target."""
    headers = list(call.headers)
    headers.append((DEADLINE, str(max(1, int(send.time_left_s * 1000)))))
    headers.append((EXPECT_TARGET, send.target))
    if call.account is not None:
        headers.append((ACCOUNT, call.account))
    if send.priority is not None:
        headers.append((PRIORITY, str(send.priority)))
    if send.last_event is not None:
        headers.append((LAST_EVENT, str(send.last_event)))
    if send.pin_s:
        headers.append((PIN, str(int(send.pin_s * 1000))))
    return headers


def own_headers(request: RequestId) -> HeaderList:
    """Return the headers of an answer that this system generates itself."""
    return [(REQUEST_ID, request)] if request else []


DIALECT = Dialect(read_call, read_answer, target_headers, own_headers)

__all__ = ["DIALECT", "own_headers", "read_answer", "read_call", "target_headers"]
