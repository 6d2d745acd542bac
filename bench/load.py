"""Callers that read streamed answers, in a process of their own.

    python -m bench.load URL --streams 100 --tokens 350 --seconds 10

Prints one JSON line with the answers, failures, and seconds to the first token and between tokens.
"""

import asyncio
import itertools
import json
import secrets
import time
from typing import Annotated
from urllib.parse import urlsplit

import msgspec
import typer

from bench.report import percentile
from tests.processes import TOKEN

READ_BYTES = 65_536
END_OF_ANSWER = b"0\r\n\r\n"
MODEL = "base"


class LoadResult(msgspec.Struct):
    """Measurements of all callers; times are in seconds."""

    answers: int = 0
    failures: int = 0
    first_failure: str = ""
    first_token_p50: float = 0.0
    first_token_p95: float = 0.0
    between_tokens_p50: float = 0.0
    between_tokens_p95: float = 0.0


class Samples(msgspec.Struct):
    """Times of all streams in seconds, and the failures."""

    first_token_s: list[float] = []
    between_tokens_s: list[float] = []
    total_s: list[float] = []
    failures: list[str] = []


class Connection:
    """A caller's persistent connection."""

    def __init__(self, url: str) -> None:
        parts = urlsplit(url)
        self.host = parts.hostname
        self.port = parts.port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)

    def send(self, path: str, body: dict, accept: str) -> None:
        """Write a POST request."""
        data = json.dumps(body).encode()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {self.host}\r\nAuthorization: Bearer {TOKEN}\r\n"
            f"Accept: {accept}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        self.writer.write(head.encode() + data)

    async def head(self) -> tuple[int, int | None]:
        """Read the head of an answer; return its status and length, or None if it is chunked."""
        lines = (await self.reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
        length = [line for line in lines if line.lower().startswith(b"content-length:")]
        return int(lines[0].split()[1]), int(length[0].split(b":")[1]) if length else None

    async def post(self, path: str, body: dict) -> dict:
        """Send a request and return the decoded JSON answer."""
        self.send(path, body, "application/json")
        _, length = await self.head()
        return json.loads(await self.reader.readexactly(length or 0))

    async def stream(self, path: str, body: dict, samples: Samples) -> None:
        """Send a request and read its events to the end.

        The seconds to the first event are added to `samples.first_token_s`, and those to the end to
        `samples.total_s`.
        """
        sent_at = time.monotonic()
        self.send(path, body, "text/event-stream")
        _, length = await self.head()
        if length is not None:
            samples.failures.append((await self.reader.readexactly(length)).decode())
            return
        previous_at = 0.0
        tail = b""
        while not tail.endswith(END_OF_ANSWER):
            chunk = await self.reader.read(READ_BYTES)
            if not chunk:
                raise ConnectionError("the answer ended before its last chunk")
            now = time.monotonic()
            if previous_at:
                samples.between_tokens_s.append(now - previous_at)
            else:
                samples.first_token_s.append(now - sent_at)
            previous_at = now
            tail = (tail + chunk)[-len(END_OF_ANSWER) - 200 :]
        if b'"type":"failure"' in tail:
            samples.failures.append(tail.decode(errors="replace"))
            return
        samples.total_s.append(previous_at - sent_at)


async def caller(
    url: str, via: list[str], tokens: int, turns: int, end_at: float, samples: Samples
) -> None:
    """Run programs one after the other, each of `turns` model calls, until `end_at`.

    Programs are created at `url`; their calls are sent to the entries `via` in rotation.
    """
    creator = Connection(url)
    await creator.open()
    connections = [Connection(each) for each in via]
    for connection in connections:
        await connection.open()
    while time.monotonic() < end_at:
        created = await creator.post("/v1/programs", {"program_class": "load"})
        path = f"/v1/programs/{created['program']}/calls"
        for turn in range(turns):
            if time.monotonic() >= end_at:
                return
            connection = connections[turn % len(connections)]
            await connection.stream(path, model_call(turn, tokens), samples)


def model_call(turn: int, tokens: int, padding: int = 0) -> dict:
    """Return the body of a call for a number of tokens; `padding` is in characters."""
    content = f"{'x' * padding} {secrets.token_hex(20)} tokens={tokens}"
    messages = [{"role": "user", "content": content}]
    call = f"m{turn}"
    return {
        "type": "model",
        "call": call,
        "model": MODEL,
        "messages": messages,
        "max_tokens": tokens,
    }


async def run(
    url: str, via: list[str], streams: int, tokens: int, turns: int, seconds: float, ramp_s: float
) -> LoadResult:
    """Run `streams` callers, started at intervals over `ramp_s` seconds."""
    samples = Samples()
    end_at = time.monotonic() + seconds
    tasks = []
    for number in itertools.islice(itertools.count(), streams):
        tasks.append(asyncio.create_task(caller(url, via, tokens, turns, end_at, samples)))
        if number + 1 < streams:
            await asyncio.sleep(ramp_s / streams)
    outcomes = await asyncio.gather(*tasks, return_exceptions=True)
    samples.failures += [repr(each) for each in outcomes if isinstance(each, BaseException)]
    return summary(samples)


def summary(samples: Samples) -> LoadResult:
    """Return the counts and percentiles of the samples."""
    first, between = samples.first_token_s or [0.0], samples.between_tokens_s or [0.0]
    return LoadResult(
        answers=len(samples.total_s),
        failures=len(samples.failures),
        first_failure=samples.failures[0] if samples.failures else "",
        first_token_p50=percentile(first, 0.5),
        first_token_p95=percentile(first, 0.95),
        between_tokens_p50=percentile(between, 0.5),
        between_tokens_p95=percentile(between, 0.95),
    )


def main(
    url: str,
    via: Annotated[list[str] | None, typer.Option(help="Entries that get the calls.")] = None,
    streams: int = 10,
    tokens: int = 100,
    turns: int = 10,
    seconds: float = 5.0,
    ramp_s: float = 1.0,
) -> None:
    """Read streams for a while and print the measurements."""
    result = asyncio.run(run(url, via or [url], streams, tokens, turns, seconds, ramp_s))
    typer.echo(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    typer.run(main)
