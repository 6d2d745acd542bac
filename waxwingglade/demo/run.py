"""Run the demo: the programs of two firms on an embedded system."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import msgspec

from waxwingglade.base import ProgramId
from waxwingglade.connection.api_client import ApiClient
from waxwingglade.connection.http import HttpClient
from waxwingglade.demo.embedded import Embedded, EmbeddedSettings, embedded
from waxwingglade.demo.report import DemoReport, report_classes
from waxwingglade.demo.scripts import INITIAL_TREE, KETTU, KIPRONO, Plan, choose_plans
from waxwingglade.demo.session import Measurement, run_program
from waxwingglade.standins import EngineSpeed

ENGINES = 6
SERVICES = 3
STEP_S = 0.002
RELEASE_TIMEOUT_S = 5.0
POLL_S = 0.02


class DemoSettings(msgspec.Struct, frozen=True):
    """Size of the demo.

    Parameters
    ----------
    programs : int
        Number of programs to run.
    arrivals_s : float
        Seconds over which the programs start.
    pause_factor : float
        Factor of the pauses in which a program waits for a person.
    seed : int
        Random seed of the choice of programs and of their start times.
    """

    programs: int = 100
    arrivals_s: float = 5.0
    pause_factor: float = 1.0
    seed: int = 1


async def run_demo(settings: DemoSettings, on_progress: Callable[[int, int], None]) -> DemoReport:
    """Run the programs and return the measurements.

    Parameters
    ----------
    settings : DemoSettings
        Size of the demo.
    on_progress : callable
        Called with the numbers of ended and of all programs when a program ends.
    """
    system = EmbeddedSettings(
        zones=("demo-1",),
        engines=ENGINES,
        services=SERVICES,
        tenants=(KETTU, KIPRONO),
        config=INITIAL_TREE,
        speed=EngineSpeed(step_s=STEP_S),
    )
    http = HttpClient()
    try:
        async with embedded(system) as running:
            measured = await _run_programs(running, http, settings, on_progress)
            effects = [effect for service in running.services for effect in service.effects]
            await _wait_for_release(running)
            held = sum(engine.history().ended_token_seconds for engine in running.engines)
            return DemoReport(report_classes(measured, effects), held)
    finally:
        await http.close()


async def _run_programs(
    running: Embedded,
    http: HttpClient,
    settings: DemoSettings,
    on_progress: Callable[[int, int], None],
) -> list[Measurement]:
    generator = random.Random(settings.seed)
    plans = choose_plans(settings.programs, settings.seed)
    measured: list[Measurement] = []

    async def pause(seconds: float) -> None:
        await asyncio.sleep(seconds * settings.pause_factor)

    async def run(plan: Plan, start_delay_s: float) -> None:
        await asyncio.sleep(start_delay_s)
        client = ApiClient(http, running.urls[0], running.tokens[plan.tenant])
        ended = await run_program(client, plan.program_class, plan.script, pause)
        mark_ended(running, ended)
        measured.append(ended)
        on_progress(len(measured), len(plans))

    start_delays_s = [generator.uniform(0.0, settings.arrivals_s) for _ in plans]
    await asyncio.gather(*(run(*each) for each in zip(plans, start_delays_s, strict=True)))
    return measured


def mark_ended(running: Embedded, measured: Measurement) -> None:
    """Make the engines count the cache that they hold for an ended program as wasted."""
    for engine in running.engines:
        for program in measured.programs:
            engine.core.cache.mark_ended(ProgramId(program))


async def _wait_for_release(running: Embedded) -> None:
    """Wait until the engines have released all cache, so that its complete cost is counted."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RELEASE_TIMEOUT_S):
            while any(engine.core.cache.held for engine in running.engines):
                await asyncio.sleep(POLL_S)
