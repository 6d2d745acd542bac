"""A lightweight model engine that streams tokens at a fixed rate, to put load on an entry.

One process simulates many accelerators.  Each accelerator steps independently, and every step sends
one token to each of its streams, as an engine with continuous batching does.

    python -m bench.fast_engine --step-s 0.028 --accelerators 32
"""

import asyncio
import contextlib
import itertools
import re
from collections.abc import AsyncIterator
from typing import Annotated

import msgspec
import typer

TOKENS_PARAMETER = re.compile(rb"tokens=(\d+)")
TOKEN = "abc "
DEFAULT_TOKENS = 16
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
METRICS = (
    b"# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running %d\n"
    b"# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting 0\n"
    b"# TYPE vllm:gpu_cache_usage_perc gauge\nvllm:gpu_cache_usage_perc 0\n"
)
COMPLETIONS = "/v1/chat/completions"


class Counts(msgspec.Struct):
    """Totals of the engine so far, and the calls that are running."""

    calls: int = 0
    tokens: int = 0
    running: int = 0
    prompt_bytes: int = 0


class Stream(msgspec.Struct):
    """One answer in progress."""

    writer: asyncio.StreamWriter
    token_limit: int
    sent: int
    prompt_tokens: int
    done: asyncio.Event


class FastEngine:
    """The engine with its streams.

    Parameters
    ----------
    step_s : float
        Seconds between the tokens of a stream.
    accelerators : int
        Groups of streams that step together.
    """

    def __init__(self, step_s: float, accelerators: int) -> None:
        self.step_s = step_s
        self.counts = Counts()
        self.groups: list[list[Stream]] = [[] for _ in range(accelerators)]
        self.next_group = itertools.cycle(range(accelerators))

    async def run(self, port: int = 0) -> None:
        """Listen, print the address and serve until cancelled."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        typer.echo(f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}")
        steps = [self.step_group(number) for number in range(len(self.groups))]
        await asyncio.gather(*steps)

    async def step_group(self, number: int) -> None:
        """Send one token to each stream of a group, at a steady rate."""
        loop = asyncio.get_running_loop()
        next_step_at = loop.time() + self.step_s * number / len(self.groups)
        while True:
            await asyncio.sleep(max(0.0, next_step_at - loop.time()))
            next_step_at += self.step_s
            self.groups[number] = [each for each in self.groups[number] if self.step(each)]

    def step(self, stream: Stream) -> bool:
        """Send one token; return whether the stream continues."""
        if stream.writer.is_closing():
            stream.done.set()
            return False
        stream.sent += 1
        self.counts.tokens += 1
        is_last = stream.sent >= stream.token_limit
        stream.writer.write(_chunk(stream, is_last))
        if is_last:
            stream.done.set()
        return not is_last

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            async for path, body in _requests(reader):
                if path == COMPLETIONS:
                    await self.complete(writer, body)
                else:
                    writer.write(self.answer(path))
        writer.close()

    def answer(self, path: str) -> bytes:
        """Return the answer to a request that is not a completion."""
        if path == "/metrics":
            return _plain(METRICS % self.counts.running)
        if path == "/bench/counts":
            return _plain(msgspec.json.encode(self.counts))
        return _plain(b'{"programs": []}' if path == "/v1/cache/held" else b"{}")

    async def complete(self, writer: asyncio.StreamWriter, body: bytes) -> None:
        """Stream one answer; the last ``tokens=N`` in the request sets its length."""
        parameters = TOKENS_PARAMETER.findall(body)
        token_limit = int(parameters[-1]) if parameters else DEFAULT_TOKENS
        stream = Stream(writer, token_limit, 0, len(body) // len(TOKEN), asyncio.Event())
        self.counts.calls += 1
        self.counts.running += 1
        self.counts.prompt_bytes += len(body)
        writer.write(STREAM_HEAD)
        self.groups[next(self.next_group)].append(stream)
        await stream.done.wait()
        self.counts.running -= 1


async def _requests(reader: asyncio.StreamReader) -> AsyncIterator[tuple[str, bytes]]:
    while True:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return
        length = re.search(rb"(?i)content-length: (\d+)", head)
        body = await reader.readexactly(int(length[1])) if length else b""
        yield head.split(b" ", 2)[1].decode(), body


def _chunk(stream: Stream, is_last: bool) -> bytes:
    usage = {"prompt_tokens": stream.prompt_tokens, "completion_tokens": stream.sent}
    choice = {"index": 0, "delta": {"content": TOKEN}, "finish_reason": "stop" if is_last else None}
    event = {"object": "chat.completion.chunk", "choices": [choice], "usage": usage}
    data = b"data: " + msgspec.json.encode(event) + b"\n\n"
    if is_last:
        data += b"data: [DONE]\n\n"
    ending = b"0\r\n\r\n" if is_last else b""
    return b"%x\r\n%s\r\n%s" % (len(data), data, ending)


def _plain(body: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
    return head % len(body) + body


def main(
    step_s: Annotated[float, typer.Option(help="Seconds between the tokens of a stream.")] = 0.028,
    accelerators: Annotated[int, typer.Option(help="Groups that step together.")] = 32,
) -> None:
    """Stream tokens at a fixed rate until the process is killed."""
    asyncio.run(FastEngine(step_s, accelerators).run())


if __name__ == "__main__":
    typer.run(main)
