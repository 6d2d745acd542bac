"""HTTP handlers of the engine stand-in."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import msgspec
import tornado.iostream
import tornado.web

from waxwingglade.base import ModelName, ProgramId
from waxwingglade.connection import EngineOrder
from waxwingglade.program.messages import Message, MessageRole
from waxwingglade.standins.engine_batch import CANCELLED, EngineFaults, Job, JobRequest
from waxwingglade.standins.engine_reports import EngineRecord

if TYPE_CHECKING:
    from waxwingglade.standins.engine import EngineStandin

CUT = "cut"


class CompletionBody(msgspec.Struct, frozen=True):
    """The fields of a completion request that the stand-in reads."""

    model: str
    messages: list[Message]
    max_tokens: int
    priority: int = 0
    continue_final_message: bool = False


class RequestBody(msgspec.Struct, frozen=True):
    """Body with the id of a request."""

    request_id: str


class ProgramBody(msgspec.Struct, frozen=True):
    """Body with the id of a program."""

    program: ProgramId


class _Handler(tornado.web.RequestHandler):
    """Base class of the handlers, with JSON bodies."""

    def initialize(self, standin: EngineStandin) -> None:
        self.standin = standin
        self.core = standin.core

    def read(self, model: type) -> Any:
        try:
            return msgspec.json.decode(self.request.body, type=model)
        except msgspec.DecodeError as error:
            raise tornado.web.HTTPError(HTTPStatus.BAD_REQUEST, reason="malformed body") from error

    def answer(self, body: Any) -> None:
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(body))

    def refuse(self, status: int, kind: str, message: str) -> None:
        self.set_status(status)
        self.answer({"error": {"type": kind, "message": message}})

    def cut(self) -> None:
        self.request.connection.stream.close()


class _Completions(_Handler):
    job: Job | None = None

    async def post(self) -> None:
        request = self._job_request(self.read(CompletionBody))
        faults = self.core.faults
        if faults.refuse:
            self.core.refuse(request)
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, "not_run", "refused")
            return
        if not self.standin.orders.serves(request.model):
            self.core.refuse(request)
            self.refuse(HTTPStatus.NOT_FOUND, "not_run", "model is not loaded")
            return
        if faults.delay_s:
            await self.core.sleep(faults.delay_s)
        self.job = self.core.submit(request)
        if self.request.connection.stream.closed():
            self.core.stop(self.job, CANCELLED)
        try:
            await self._stream(self.job)
        except tornado.iostream.StreamClosedError:
            self.core.stop(self.job, CANCELLED)

    def on_connection_close(self) -> None:
        if self.job is not None:
            self.core.stop(self.job, CANCELLED)

    def _job_request(self, body: CompletionBody) -> JobRequest:
        messages, resume_text = _split_resume(body)
        return JobRequest(
            self.request.headers.get("x-request-id", ""),
            ProgramId(self.request.headers.get("x-program-id", "")),
            ModelName(body.model),
            messages,
            body.max_tokens,
            body.priority,
            resume_text,
        )

    async def _stream(self, job: Job) -> None:
        if self._cut_if_due(job):
            return
        while (token := await job.outputs.get()) is not None:
            self._send_token(token, job.record)
            await self.flush()
            if self._cut_if_due(job):
                return
        self._end(job)

    def _cut_if_due(self, job: Job) -> bool:
        if self.core.faults.cut_after_tokens != job.record.output_tokens:
            return False
        self.core.stop(job, CUT)
        job.record.outcome = CUT
        self.cut()
        return True

    def _send_token(self, token: str, record: EngineRecord) -> None:
        self.set_header("Content-Type", "text/event-stream")
        if self.core.faults.garbage:
            self.write("data: {no json\n\n")
        self._send([_choice(token, None)], record)

    def _end(self, job: Job) -> None:
        record = job.record
        if record.outcome == CANCELLED and not record.admitted:
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, "not_run", "cancelled while it waited")
            return
        if record.outcome == CANCELLED:
            self._write_event({"error": {"type": CANCELLED, "message": "cancelled"}})
            return
        self._send([_choice(None, record.outcome)], record)
        self._send([], record)
        self.write("data: [DONE]\n\n")

    def _send(self, choices: list[dict[str, Any]], record: EngineRecord) -> None:
        usage = {
            "prompt_tokens": record.prompt_tokens,
            "completion_tokens": record.output_tokens,
            "prompt_tokens_details": {"cached_tokens": record.cached_tokens},
        }
        self._write_event({"id": record.request_id, "choices": choices, "usage": usage})

    def _write_event(self, event: dict[str, Any]) -> None:
        self.write(b"data: " + msgspec.json.encode(event) + b"\n\n")


def _split_resume(body: CompletionBody) -> tuple[list[Message], str]:
    if not body.continue_final_message or not body.messages:
        return body.messages, ""
    last = body.messages[-1]
    if last.role is not MessageRole.ASSISTANT:
        return body.messages, ""
    return body.messages[:-1], last.content


def _choice(text: str | None, reason: str | None) -> dict[str, Any]:
    return {"index": 0, "delta": {"content": text}, "finish_reason": reason}


class _Cancel(_Handler):
    def post(self) -> None:
        request_id = self.read(RequestBody).request_id
        found = self.core.cancel(request_id)
        self.standin.record_control("cancel", request_id, accepted=found)
        self.answer({})


class _Release(_Handler):
    def post(self) -> None:
        program = self.read(ProgramBody).program
        self.core.release(program)
        self.standin.record_control("release", program)
        self.answer({})


class _Held(_Handler):
    def get(self) -> None:
        self.answer({"programs": sorted(self.core.cache.held)})


class _Events(_Handler):
    def get(self) -> None:
        after = int(self.get_argument("after", "0"))
        events = self.core.events.after(after)
        self.answer({"events": events, "last": self.core.events.published_sequence})


class _Export(_Handler):
    def get(self) -> None:
        program = ProgramId(self.get_argument("program"))
        blocks = self.core.export(program)
        if not blocks:
            self.refuse(HTTPStatus.NOT_FOUND, "not_run", "holds no cache of the program")
            return
        self.standin.record_control("export", program)
        self.answer(blocks)


class _Import(_Handler):
    def post(self) -> None:
        program = ProgramId(self.get_argument("program"))
        self.core.import_blocks(program, self.read(list[str]))
        self.standin.record_control("import", program)
        self.answer({})


class _Orders(_Handler):
    def post(self) -> None:
        order = self.read(EngineOrder)
        accepted = self.standin.orders.take(order)
        subject = f"{order.kind.value} {order.value}"
        self.standin.record_control("order", subject, fencing=order.fencing, accepted=accepted)
        if not accepted:
            self.refuse(HTTPStatus.CONFLICT, "fenced", "old fencing number")
            return
        self.answer({})


class _State(_Handler):
    def get(self) -> None:
        self.answer(self.standin.orders.state())


class _Metrics(_Handler):
    def get(self) -> None:
        sample = self.core.load.reported()
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(
            "# TYPE vllm:num_requests_running gauge\n"
            f'vllm:num_requests_running{{engine="0"}} {sample.running}\n'
            "# TYPE vllm:num_requests_waiting gauge\n"
            f'vllm:num_requests_waiting{{engine="0"}} {sample.waiting}\n'
            "# TYPE vllm:kv_cache_usage_perc gauge\n"
            f'vllm:kv_cache_usage_perc{{engine="0"}} {sample.kv_used_fraction}\n'
        )


class _Faults(_Handler):
    def post(self) -> None:
        self.standin.faults = self.read(EngineFaults)
        self.answer({})


class _Ended(_Handler):
    def post(self) -> None:
        self.core.cache.mark_ended(self.read(ProgramBody).program)
        self.answer({})


class _History(_Handler):
    def get(self) -> None:
        self.answer(self.standin.history())


def engine_routes(standin: EngineStandin) -> list[tuple[str, type, dict[str, Any]]]:
    """Return the routes of an engine."""
    handlers = {
        "/v1/chat/completions": _Completions,
        "/v1/cancel": _Cancel,
        "/v1/cache/release": _Release,
        "/v1/cache/held": _Held,
        "/v1/cache/events": _Events,
        "/v1/cache/export": _Export,
        "/v1/cache/import": _Import,
        "/v1/orders": _Orders,
        "/v1/state": _State,
        "/metrics": _Metrics,
        "/standin/faults": _Faults,
        "/standin/ended": _Ended,
        "/standin/history": _History,
    }
    return [(path, handler, {"standin": standin}) for path, handler in handlers.items()]


__all__ = ["engine_routes"]
