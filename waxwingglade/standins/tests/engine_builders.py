"""Build simulated time and requests for tests of the engine stand-in."""

import asyncio

from waxwingglade.base import ModelName, ProgramId
from waxwingglade.program.messages import Message, MessageRole
from waxwingglade.standins import EngineCore, EngineSpeed, Job, JobRequest

MODEL = ModelName("small")


class SimulatedTime:
    """A clock that only `sleep` advances."""

    def __init__(self) -> None:
        self.now = 0.0

    def clock(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += seconds
        await asyncio.sleep(0)


def job_request(
    name: str, text: str = "hello", tokens: int = 4, priority: int = 0, program: str = ""
) -> JobRequest:
    """Return a request for an answer of `tokens` tokens, by default in a program of its own."""
    messages = [Message(MessageRole.USER, f"{text} tokens={tokens}")]
    return JobRequest(name, ProgramId(program or name), MODEL, messages, 1000, priority)


def engine_core(**speed: float) -> tuple[EngineCore, SimulatedTime]:
    """Return a core with simulated time."""
    time = SimulatedTime()
    return EngineCore(EngineSpeed(**speed), time.clock, time.sleep), time


async def run_all(core: EngineCore, *jobs: Job) -> list[str]:
    """Run the core until the jobs have ended, and return their texts."""
    task = asyncio.create_task(core.run())
    texts = [await _text_of(job) for job in jobs]
    task.cancel()
    return texts


async def _text_of(job: Job) -> str:
    text = ""
    while (token := await job.outputs.get()) is not None:
        text += token
    return text
