"""The events of a call as a stream in the common chat-completions format."""

import msgspec

from waxwingglade.base import Failure
from waxwingglade.connection.caller_stream import ANSWER_INTERRUPTED, start_stream, write_event
from waxwingglade.connection.chat_wire import (
    STREAM_END,
    ChatRequest,
    Chunk,
    ChunkChoice,
    WireDelta,
    wire_error,
    wire_usage,
)
from waxwingglade.connection.http_api import ApiHandler
from waxwingglade.connection.peer_messages import CallerEvent
from waxwingglade.program import Delta, Done, Reset


class ChatStream:
    """One streamed answer.

    Parameters
    ----------
    handler : ApiHandler
        Handler of the request.
    body : ChatRequest
        Body of the request.
    completion_id : str
        Id of the completion.
    created : int
        Time of creation, in seconds since 1970.
    """

    def __init__(
        self, handler: ApiHandler, body: ChatRequest, completion_id: str, created: int
    ) -> None:
        self.handler = handler
        self.body = body
        self.completion_id = completion_id
        self.created = created
        self.started = False
        self.sent_text = ""

    async def send(self, event: CallerEvent) -> bool:
        """Send the chunks of an event; return whether further events may follow."""
        if isinstance(event, Reset) and not self.sent_text:
            return True
        await self._start()
        if isinstance(event, Delta):
            await self._send_text(event.text)
            return True
        if isinstance(event, Done) and event.text.startswith(self.sent_text):
            await self._finish(event)
            return False
        # The format cannot retract text, so the stream fails if the answer starts over.
        failure = event if isinstance(event, Failure) else ANSWER_INTERRUPTED
        self.handler.api.on_failure(failure)
        await write_event(self.handler, msgspec.json.encode(wire_error(failure)))
        return False

    async def _start(self) -> None:
        if self.started:
            return
        self.started = True
        start_stream(self.handler)
        await self._send_chunk(ChunkChoice(WireDelta(role="assistant", content="")))

    async def _send_text(self, text: str) -> None:
        self.sent_text += text
        await self._send_chunk(ChunkChoice(WireDelta(content=text)))

    async def _finish(self, done: Done) -> None:
        rest = done.text[len(self.sent_text) :]
        if rest:
            await self._send_text(rest)
        await self._send_chunk(ChunkChoice(WireDelta(), done.finish_reason))
        options = self.body.stream_options
        if options is not None and options.include_usage:
            usage = Chunk(
                self.completion_id, self.created, self.body.model, [], wire_usage(done.usage)
            )
            await write_event(self.handler, msgspec.json.encode(usage))
        await write_event(self.handler, STREAM_END)

    async def _send_chunk(self, choice: ChunkChoice) -> None:
        chunk = Chunk(self.completion_id, self.created, self.body.model, [choice])
        await write_event(self.handler, msgspec.json.encode(chunk))
