"""Cost of a call through an entry compared with the same call sent directly to the engine.

Four kinds of calls alternate: directly to the engine; to an entry that keeps a single copy; to the
owner of a program with three copies; and to another entry, which forwards the call to the owner.
The calls are then repeated with longer histories.

    python -m bench.overhead [--rounds 150]
"""

import asyncio
import statistics
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Annotated, Any

import msgspec
import typer

from bench.cluster import BenchCluster, bench_cluster
from bench.fast_engine import COMPLETIONS
from bench.fit import line
from bench.load import MODEL, Connection, Samples, model_call
from bench.report import begin, finish, percentile
from bench.usage import cpu_s
from tests.processes import ZONES

SINGLE_COPY_ENTRY = 3
"""Number of the entry without peers, whose programs have a single copy."""

STEP_S = 0.002
TOKENS = 8
TURNS = 10
HISTORY_TOKENS = (1_000, 25_000, 50_000, 100_000, 190_000)
CHARACTERS_PER_TOKEN = 4
HISTORY_CALLS = 25
PRIMING_CALL = 0

Call = Callable[[Samples], Awaitable[None]]


class Times(msgspec.Struct, frozen=True):
    """Times of one kind of call, in seconds."""

    first_p50: float
    first_p99: float
    whole_p50: float
    whole_p99: float


class Comparison(msgspec.Struct, frozen=True):
    """Ratios, and differences in seconds, between two kinds of calls in the same run."""

    first_p50_difference: float
    first_p50_ratio: float
    first_p99_difference: float
    whole_p50_difference: float
    whole_p50_ratio: float
    whole_p99_difference: float


class OverheadCluster(BenchCluster):
    """Three entries that copy to each other, and one without peers."""

    def settings(self, number: int) -> dict[str, Any]:
        """Return the settings of one entry."""
        settings = super().settings(number)
        if number == SINGLE_COPY_ENTRY:
            settings["peers"] = []
            settings["durability"]["copies"] = 1
            return settings
        single_copy = self.entry_name(SINGLE_COPY_ENTRY)
        settings["peers"] = [peer for peer in settings["peers"] if peer["entry"] != single_copy]
        return settings


class ProgramCalls:
    """Makes sequential calls through an entry, in a new program after every `TURNS` calls."""

    def __init__(self, owner: Connection, via: Connection) -> None:
        self.owner = owner
        self.via = via
        self.path = ""
        self.turn = 0

    async def begin(self, history_tokens: int = 0) -> None:
        """Create a program, with a history of a given size."""
        created = await self.owner.post("/v1/programs", {"program_class": "load"})
        self.path = f"/v1/programs/{created['program']}/calls"
        self.turn = 0
        if history_tokens:
            body = model_call(PRIMING_CALL, 1, history_tokens * CHARACTERS_PER_TOKEN)
            await self.owner.stream(self.path, body, Samples())

    async def call(self, samples: Samples) -> None:
        """Make the next call."""
        if self.turn % TURNS == 0:
            await self.begin()
        self.turn += 1
        await self.via.stream(self.path, model_call(self.turn, TOKENS), samples)

    async def call_same_program(self, samples: Samples) -> None:
        """Make the next call without creating a new program."""
        self.turn += 1
        await self.via.stream(self.path, model_call(self.turn, TOKENS), samples)


def direct_call(engine: Connection, history: str = "") -> Call:
    """Return a function that calls the engine directly."""

    async def call(samples: Samples) -> None:
        messages = [{"role": "user", "content": f"{history} tokens={TOKENS}"}]
        body = {"model": MODEL, "messages": messages, "max_tokens": TOKENS, "stream": True}
        await engine.stream(COMPLETIONS, body, samples)

    return call


async def measure(cluster: BenchCluster, rounds: int) -> dict[str, Any]:
    """Make the four kinds of calls alternately and compare them."""
    engine, single_copy, owner, forwarder = await connections(cluster)
    calls: dict[str, Call] = {
        "straight": direct_call(engine),
        "one_copy": ProgramCalls(single_copy, single_copy).call,
        "three_copies": ProgramCalls(owner, owner).call,
        "passed_on": ProgramCalls(owner, forwarder).call,
    }
    samples = {name: Samples() for name in calls}
    for _ in range(rounds):
        for name, call in calls.items():
            await call(samples[name])
    times = {name: times_of(each) for name, each in samples.items()}
    return {
        "tokens": TOKENS,
        "step_s": STEP_S,
        "rounds": rounds,
        "failures": sum(len(each.failures) for each in samples.values()),
        "times": times,
        "one_copy_beside_straight": compare(times["one_copy"], times["straight"]),
        "three_copies_beside_straight": compare(times["three_copies"], times["straight"]),
        "passed_on_beside_straight": compare(times["passed_on"], times["straight"]),
        "three_copies_beside_one": compare(times["three_copies"], times["one_copy"]),
        "passed_on_beside_owner": compare(times["passed_on"], times["three_copies"]),
    }


async def measure_history(cluster: BenchCluster) -> dict[str, Any]:
    """Measure time to first token and processor time of the owner by length of the history."""
    engine, _, owner, _ = await connections(cluster)
    points = []
    for tokens in HISTORY_TOKENS:
        program = ProgramCalls(owner, owner)
        await program.begin(tokens)
        call_engine = direct_call(engine, "x" * tokens * CHARACTERS_PER_TOKEN)
        samples, baseline = Samples(), Samples()
        owner_cpu_s = 0.0
        for _ in range(HISTORY_CALLS):
            await call_engine(baseline)
            before = cpu_s(cluster.pid(0))
            await program.call_same_program(samples)
            owner_cpu_s += cpu_s(cluster.pid(0)) - before
        first_s = statistics.median(samples.first_token_s)
        points.append(
            {
                "history_tokens": tokens,
                "first_p50": first_s,
                "first_p50_difference": first_s - statistics.median(baseline.first_token_s),
                "owner_cpu_per_call_s": owner_cpu_s / HISTORY_CALLS,
                "failures": len(samples.failures) + len(baseline.failures),
            }
        )
    lengths = [point["history_tokens"] for point in points]
    return {
        "points": points,
        "cpu_s_by_history_token": line(lengths, [p["owner_cpu_per_call_s"] for p in points]),
        "delay_s_by_history_token": line(lengths, [p["first_p50_difference"] for p in points]),
    }


async def connections(cluster: BenchCluster) -> list[Connection]:
    """Return connections to the engine, the single-copy entry, the owner and another entry."""
    urls = cluster.entry_urls()
    opened = [
        Connection(cluster.urls["engine-1"]),
        *map(Connection, (urls[SINGLE_COPY_ENTRY], *urls[:2])),
    ]
    for connection in opened:
        await connection.open()
    return opened


def times_of(samples: Samples) -> Times:
    """Return medians and 99th percentiles."""
    return Times(
        percentile(samples.first_token_s, 0.5),
        percentile(samples.first_token_s, 0.99),
        percentile(samples.total_s, 0.5),
        percentile(samples.total_s, 0.99),
    )


def compare(times: Times, baseline: Times) -> Comparison:
    """Return the differences and ratios to a baseline."""
    return Comparison(
        times.first_p50 - baseline.first_p50,
        times.first_p50 / baseline.first_p50,
        times.first_p99 - baseline.first_p99,
        times.whole_p50 - baseline.whole_p50,
        times.whole_p50 / baseline.whole_p50,
        times.whole_p99 - baseline.whole_p99,
    )


def main(
    rounds: Annotated[int, typer.Option(help="Calls of every kind.")] = 150,
    repetitions: Annotated[int, typer.Option(help="Fresh clusters.")] = 3,
) -> None:
    """Run the measurements and write the result."""
    report = begin(" ".join(["python -m bench.overhead", *sys.argv[1:]]))
    runs = []
    for _ in range(repetitions):
        with bench_cluster(
            (*ZONES, ZONES[0]), cluster=OverheadCluster, step_s=STEP_S, module="bench.entry"
        ) as cluster:
            time.sleep(1.0)
            calls = asyncio.run(measure(cluster, rounds))
            runs.append({"calls": calls, "history": asyncio.run(measure_history(cluster))})
    report.results = {"runs": runs}
    typer.echo(finish(report, "overhead"))


if __name__ == "__main__":
    typer.run(main)
