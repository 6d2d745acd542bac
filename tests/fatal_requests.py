"""A cluster whose servers end under marked requests and come back as new ones."""

import asyncio
import random
import sys

import msgspec

from tests.platform_cluster import HEARTBEAT_S, HOST, Node, PlatformCluster, configuration
from waxwingglade.base import WaxwinggladeError
from waxwingglade.standins.registered_server import Crash, RegisteredServer, Run

MARK = b"ends its server"
SERVERS = 6
"""Servers of each service."""

RESTART_S = 1.0
"""Seconds after which a server that ended comes back as a new one."""

EXPIRY_S = 3 * HEARTBEAT_S
"""Seconds after which the store removes the item of a server that ended."""

RESUMED = "/resumed/"
EAGER = "/eager/"
"""Routes whose requests may be sent to five servers."""

MAX_ENDED = 3
"""Servers that one request may end; the platform allows no send after that."""

PAUSE_S = (0.1, 0.4)
"""Shortest and longest pause of a caller before it repeats a request."""

OK = 200

PATIENCE_S = 10.0
"""Seconds after which a caller gives up."""


class Answer(msgspec.Struct):
    """Answer to one attempt of a caller; status 0 if there was none."""

    status: int
    text: str = ""


class FatalRequests(PlatformCluster):
    """A cluster whose servers end under requests that contain `MARK`."""

    def __init__(self, entries: int = 3, seed: int = 1) -> None:
        super().__init__(entries=entries)
        self.rng = random.Random(seed)
        common = {"host": HOST, "timeout_ms": 5000, "max_attempts": 5}
        stream = {"kind": "streaming", "resumable": True, "service": "engines"}
        extra = [
            {**common, **stream, "name": "resumed", "path_prefix": RESUMED},
            {**common, "kind": "safe", "service": "notes", "name": "eager", "path_prefix": EAGER},
        ]
        self.store.put("op/config", configuration(4, extra))
        self.ended: list[RegisteredServer] = []
        self.ends_left = sys.maxsize
        self.crash_kind = Crash.RESET
        self.tasks: set[asyncio.Task] = set()
        for servers in (self.engines, self.notes):
            while len(servers) < SERVERS:
                servers.append(self._server(servers[0].service, servers[0].events))
        for server in [*self.engines, *self.notes]:
            self._prepare(server)

    def _server(self, service: str, events: int) -> RegisteredServer:
        return RegisteredServer(self.store, service, events)

    def _prepare(self, server: RegisteredServer) -> None:
        server.fatal = MARK if self.ends_left else b""
        server.crash_kind = self.crash_kind
        server.crashed = lambda: self._replace(server)

    def _replace(self, server: RegisteredServer) -> None:
        self.ended.append(server)
        self.ends_left -= 1
        if not self.ends_left:
            for other in [*self.engines, *self.notes]:
                other.fatal = b""
        for work in (self._restart(server), self._expire(server)):
            task = asyncio.create_task(work)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _restart(self, server: RegisteredServer) -> None:
        await asyncio.sleep(RESTART_S)
        servers = self.engines if server.service == "engines" else self.notes
        added = self._server(server.service, server.events)
        self._prepare(added)
        await added.start()
        servers.append(added)

    async def _expire(self, server: RegisteredServer) -> None:
        await asyncio.sleep(EXPIRY_S)
        server.deregister()

    def end_by(self, kind: Crash) -> None:
        """Let marked requests end servers in one way from now on."""
        self.crash_kind = kind
        for server in [*self.engines, *self.notes]:
            server.crash_kind = kind

    def end_at_most(self, ends: int) -> None:
        """Let marked requests end servers again, but only so many."""
        self.ends_left = ends
        for server in [*self.engines, *self.notes]:
            server.fatal = MARK

    async def stop(self) -> None:
        """Stop everything."""
        for task in self.tasks:
            task.cancel()
        await super().stop()

    @property
    def recovered(self) -> bool:
        """Whether all servers that ended have been replaced, and their items have expired."""
        return not self.tasks

    def fatal_runs(self, body: bytes = MARK) -> list[Run]:
        """Return the arrivals of marked requests at servers, in order."""
        runs = [run for server in [*self.engines, *self.notes] for run in server.runs]
        return sorted((run for run in runs if body in run.body), key=lambda run: run.began_at)

    async def repeat(
        self,
        path: str,
        body: bytes,
        times: int,
        patience_s: float = PATIENCE_S,
        trusts_answers: bool = True,
        **headers: str | int,
    ) -> list[Answer]:
        """Send a request as callers repeat it: with new ids, through any entry, after a pause.

        A caller that does not trust answers repeats the request after a success, too, as one whose
        answer may be truncated.
        """
        answers: list[Answer] = []
        for number in range(times):
            if number:
                await asyncio.sleep(self.rng.uniform(*PAUSE_S))
            entry = self.rng.choice(self.entries)
            answers.append(await self.attempt(entry, path, body, patience_s, **headers))
            if trusts_answers and answers[-1].status == OK:
                break
        return answers

    async def attempt(
        self,
        entry: Node,
        path: str,
        body: bytes,
        patience_s: float = PATIENCE_S,
        **headers: str | int,
    ) -> Answer:
        """Send a request once, with a new id."""
        try:
            response = await self.call(entry, "POST", path, body, patience_s, **headers)
        except (WaxwinggladeError, TimeoutError):
            return Answer(0)
        return Answer(response.status, response.body.decode())


def program(name: str) -> dict[str, str | int]:
    """Return the headers of the turns of a program."""
    return {
        "program_id": name,
        "session_id": f"session-{name}",
        "token_budget": 1000,
        "token_count": "10,40",
    }


__all__ = ["EAGER", "MARK", "MAX_ENDED", "OK", "PAUSE_S", "RESUMED", "FatalRequests", "program"]
