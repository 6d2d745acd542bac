"""The event stream of one running call, for any number of readers."""

import asyncio
from collections.abc import AsyncIterator, Callable

from waxwingglade.base import Failure
from waxwingglade.program import Call, Delta, Done, Reset


class CallEvents:
    """Text and outcome of a call that runs in this process.

    Parameters
    ----------
    attempt : str
        Identifier of the attempt that generates the text.
    call : Call
        The running call.
    on_text : callable
        Called for each piece of generated text, without arguments.
    """

    def __init__(
        self, attempt: str, call: Call, on_text: Callable[[], None] = lambda: None
    ) -> None:
        self.attempt = attempt
        self.on_text = on_text
        self.call = call
        self.text = ""
        self.outcome: Done | Failure | None = None
        self.changed = asyncio.Event()

    def add_text(self, text: str) -> None:
        """Append generated text."""
        self.text += text
        self.on_text()
        self._notify_readers()

    def finish(self, outcome: Done | Failure) -> None:
        """Set the outcome; after the first time, this has no effect."""
        if self.outcome is None:
            self.outcome = outcome
        self._notify_readers()

    async def wait(self) -> Done | Failure:
        """Wait for the outcome and return it."""
        while self.outcome is None:
            await self.changed.wait()
        return self.outcome

    async def follow(
        self, offset: int, attempt: str
    ) -> AsyncIterator[Delta | Reset | Done | Failure]:
        """Yield the text after the first `offset` characters of `attempt`, then the outcome.

        A reader that has text of another attempt gets a `Reset` and the text from its start.
        """
        if offset and attempt != self.attempt:
            offset = 0
            yield Reset(self.attempt)
        while True:
            # The event is read before the state, so that no change between the two is missed.
            changed = self.changed
            text, outcome = self.text, self.outcome
            if len(text) > offset:
                yield Delta(offset, text[offset:], self.attempt)
                offset = len(text)
                continue
            if outcome is not None:
                yield outcome
                return
            await changed.wait()

    def _notify_readers(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


async def replay(
    outcome: Done | Failure, attempt: str, offset: int, known_attempt: str
) -> AsyncIterator[Delta | Reset | Done | Failure]:
    """Yield a recorded answer of `attempt` like `CallEvents.follow`.

    `offset` and `known_attempt` say how many characters of which attempt the reader has.
    """
    if offset and known_attempt != attempt:
        offset = 0
        yield Reset(attempt)
    if isinstance(outcome, Done) and len(outcome.text) > offset:
        yield Delta(offset, outcome.text[offset:], attempt)
    yield outcome
