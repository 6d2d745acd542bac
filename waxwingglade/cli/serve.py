"""Commands that run until they are stopped."""

import asyncio
import contextlib
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Protocol

import typer

from waxwingglade.process.check import check_file
from waxwingglade.process.daemon import Daemon
from waxwingglade.process.entry import Entry
from waxwingglade.process.logs import start_logging
from waxwingglade.settings import ProcessSettings
from waxwingglade.standins import EngineStandin, StoreStandin, ToolStandin

standin_app = typer.Typer(help="Run a stand-in for what surrounds the system, for trials.")

Port = Annotated[int, typer.Option(help="Port on the loopback address; 0 takes a free one.")]


class Standin(Protocol):
    """Interface of all stand-ins."""

    url: str

    async def stop(self) -> None:
        """Close the port and all connections."""


def serve(settings: Annotated[Path, typer.Argument(help="YAML settings of this entry.")]) -> None:
    """Run one entry until SIGTERM or SIGINT; print where it serves callers and operators."""
    asyncio.run(_serve(check_file(settings)))


async def _serve(settings: ProcessSettings) -> None:
    entry = Entry(settings)
    start_logging(settings, lambda: entry.config.current.version)
    daemon = Daemon(entry)

    async def start() -> None:
        await daemon.start()
        typer.echo(daemon.url)
        typer.echo(daemon.operator_url)

    await run_until_stopped(start, daemon.drain_and_stop, daemon.drain_requested)


@standin_app.command("store")
def standin_store(port: Port = 0, control_port: Port = 0) -> None:
    """Run the stand-in for the platform's key-value service.

    Its faults are set at the control port too, which answers while the store refuses connections.
    """
    standin = StoreStandin()
    _run_standin(standin, lambda: standin.start(port, control_port))


@standin_app.command("engine")
def standin_engine(port: Port = 0) -> None:
    """Run the stand-in for a model engine."""
    standin = EngineStandin()
    _run_standin(standin, lambda: standin.start(port))


@standin_app.command("tool")
def standin_tool(port: Port = 0) -> None:
    """Run the stand-in for a plain service."""
    standin = ToolStandin()
    _run_standin(standin, lambda: standin.start(port))


def _run_standin(standin: Standin, begin: Callable[[], Awaitable[None]]) -> None:
    async def start() -> None:
        await begin()
        typer.echo(standin.url)

    async def run() -> None:
        await run_until_stopped(start, standin.stop, asyncio.Event())

    asyncio.run(run())


async def run_until_stopped(
    start: Callable[[], Awaitable[None]],
    stop: Callable[[], Awaitable[None]],
    stop_requested: asyncio.Event,
) -> None:
    """Start, wait for SIGTERM, SIGINT or `stop_requested`, and stop."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await start()
    with contextlib.suppress(asyncio.CancelledError):
        await stop_requested.wait()
    await stop()
