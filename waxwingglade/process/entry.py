"""The state of an entry process, shared by the modules that act on it."""

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
import zmq.asyncio

from waxwingglade.base import (
    CallId,
    Clock,
    ConfigVersion,
    EntryId,
    EntryRef,
    Epoch,
    Incarnation,
    LogId,
    ProgramId,
    TargetId,
    TenantId,
    ZoneId,
    log_of,
    monotonic,
    new_nonce,
    wall,
)
from waxwingglade.base.tasks import run_forever, start_task
from waxwingglade.connection.http import HttpClient
from waxwingglade.connection.peer import PeerLinks
from waxwingglade.connection.peer_messages import Fenced, SealCopy, SealedCopy, TargetReport
from waxwingglade.connection.store import StoreClient
from waxwingglade.decisions import BlockHash, Dispatcher, TargetTable
from waxwingglade.process.copies import Copies
from waxwingglade.process.directory import Directory
from waxwingglade.process.disk import open_disk
from waxwingglade.process.log_copy import LogCopy
from waxwingglade.process.members import Heartbeats, Members
from waxwingglade.process.metrics import Metrics
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.program import ProgramState
from waxwingglade.request.events import CallEvents
from waxwingglade.request.order import CallOrder
from waxwingglade.settings import CutPolicy, ProcessSettings, ProgramPolicy, TargetSettings
from waxwingglade.version import PolicyPath, open_active

if TYPE_CHECKING:
    from waxwingglade.process.configuration import Configuration

PolicyFor = Callable[[PolicyPath], "ResolvedPolicy"]


class ResolvedPolicy(msgspec.Struct, frozen=True):
    """The policy of a program, and the version of the configuration that it comes from."""

    policy: ProgramPolicy
    version: ConfigVersion


class RunningProgram(msgspec.Struct):
    """State of a program in the process that owns it, beyond its records.

    `created_at_estimate` is the program's creation on this process's monotonic clock, in seconds,
    derived from its age when this process first saw it; `blocks` is the hash chain of the last
    prompt.  `tasks` are the calls that run in this process; `ended` is True once the program's end
    is durable, so that its calls are cancelled.
    """

    order: CallOrder
    calls: dict[CallId, CallEvents]
    tasks: dict[asyncio.Task, CallEvents]
    created_at_estimate: float
    ended: bool = False
    service_received_s: float = 0.0
    blocks: tuple[BlockHash, ...] = ()


class Entry:
    """State of an entry process.

    Parameters
    ----------
    settings : ProcessSettings
        Settings of the process.
    policy_for : callable, optional
        Returns the policy of a program; by default that of the configuration in force.
    clock, wall_clock : Clock
        Monotonic time, and time since 1970, in seconds.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        policy_for: PolicyFor | None = None,
        clock: Clock = monotonic,
        wall_clock: Clock = wall,
    ) -> None:
        self.settings = settings
        self.config = open_active(settings)
        self.configuration: Configuration | None = None
        self.policy_for = policy_for or self._policy_in_force
        self.clock = clock
        self.wall_clock = wall_clock
        self.incarnation = Incarnation(new_nonce())
        self.disk = open_disk(Path(settings.data_folder)) if settings.data_folder else None
        self.own = EntryRef(
            EntryId(settings.entry),
            self.incarnation,
            ZoneId(settings.zone),
            peer_address="",
            disk=self.disk.incarnation if self.disk else "",
        )
        self.context = zmq.asyncio.Context()
        self.links = PeerLinks(self.context)
        self.members = Members(self.own, settings.durability, clock)
        self.heartbeats: Heartbeats | None = None
        self.store = StoreClient(settings.store, clock)
        self.directory = Directory(self.store)
        self.http = HttpClient()
        self.metrics = Metrics(clock)
        self.targets: dict[TargetId, TargetSettings] = {
            TargetId(target.target): target for target in settings.targets
        }
        self.table = TargetTable(settings.decisions, ZoneId(settings.zone), clock)
        for target in settings.targets:
            self.table.add(target)
        self.dispatcher = Dispatcher(self.table, clock)
        self.owned: dict[LogId, OwnedLog] = {}
        self.open_logs: dict[CutPolicy, list[LogId]] = {cut: [] for cut in CutPolicy}
        self.log_numbers = itertools.count()
        self.copies = Copies(self._owned_epoch, self._seal_owned, clock)
        if self.disk is not None:
            self.copies.attach_disk(self.disk)
        self.running: dict[ProgramId, RunningProgram] = {}
        self.programs_by_request: dict[tuple[TenantId, CallId], ProgramId] = {}
        self.tasks: set[asyncio.Task] = set()
        self.taking_over: set[LogId] = set()
        self.pending_takeovers: set[LogId] = set()
        self.target_reports: dict[TargetId, TargetReport] = {}
        self.active_requests = 0
        self.owner_reads: dict[LogId, asyncio.Task] = {}
        self.owner_cache: dict[LogId, tuple[EntryRef, float]] = {}

    def _owned_epoch(self, log: LogId) -> Epoch | None:
        owned = self.owned.get(log)
        return None if owned is None else owned.epoch

    def _seal_owned(self, message: SealCopy) -> SealedCopy | Fenced:
        owned = self.owned[message.log]
        answer = owned.seal(message)
        if owned.fenced:
            self.demote(owned)
        return answer

    def demote(self, owned: OwnedLog) -> None:
        """Turn a log that was taken over into a copy, until its new owner replaces it.

        The new owner may fail before it has made its own copies, and this one may then be needed.
        """
        if self.owned.get(owned.log) is not owned or owned.fenced_by is None:
            return
        del self.owned[owned.log]
        self.copies.retain_demoted(owned)
        self.spawn(owned.stop())
        for program, state in owned.programs.items():
            self.programs_by_request.pop((state.created.tenant, state.created.request), None)
            running = self.running.pop(program, None)
            for task in running.tasks if running else ():
                task.cancel()

    def is_orphan(self, copy: LogCopy) -> bool:
        """Return whether the log of a copy seems to have no live owner.

        Its owner is unreachable, or an entry sealed it longer than `suspect_after_s` ago and never
        came to own it.
        """
        if copy.owner is None or self.members.is_unreachable(copy.owner):
            return True
        if copy.owner.incarnation == self.incarnation and copy.promised == copy.epoch:
            # A takeover of the log by this process failed before its end.
            return True
        timeout_s = self.settings.durability.suspect_after_s
        return copy.promised > copy.epoch and self.clock() - copy.sealed_at > timeout_s

    def _policy_in_force(self, path: PolicyPath) -> ResolvedPolicy:
        current = self.config.current
        return ResolvedPolicy(current.resolve(path), current.version)

    def answers_to(self, name: str) -> bool:
        """Return whether messages addressed to `name` are for this entry."""
        return self.own.answers_to(name)

    def log_partners(self) -> list[EntryRef]:
        """Return the entries that own or hold a log which this entry holds or owns."""
        partners = [ref for owned in self.owned.values() for ref in owned.copies]
        for copy in self.copies.logs.values():
            partners += copy.copies if copy.owner is None else [copy.owner, *copy.copies]
        return list({ref.entry: ref for ref in partners}.values())

    def stop_using_disk(self) -> None:
        """Stop holding copies under the name of the data folder, which has failed."""
        self.own = msgspec.structs.replace(self.own, disk="")
        self.members.own = self.own

    def set_addresses(self, peer_address: str, http_address: str) -> None:
        """Set the addresses that were bound when the sockets were opened."""
        self.own = msgspec.structs.replace(
            self.own, peer_address=peer_address, http_address=http_address
        )
        self.members.own = self.own

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine as a task that is cancelled when the process stops."""
        return self._track(start_task(coroutine))

    def keep_running(
        self, function: Callable[..., Coroutine[Any, Any, None]], *args: Any
    ) -> asyncio.Task:
        """Run a coroutine function until the process stops, again whenever it fails."""
        return self._track(run_forever(partial(function, *args)))

    def _track(self, task: asyncio.Task) -> asyncio.Task:
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def log_for(self, program: ProgramId) -> OwnedLog | None:
        """Return the log of a program, if this process owns it."""
        log = log_of(program)
        owned = self.owned.get(log) if log else None
        return None if owned is None or owned.fenced else owned

    def running_program(self, state: ProgramState) -> RunningProgram:
        """Return the state of a program that this process owns, creating it where needed."""
        running = self.running.get(state.program)
        if running is None:
            age_s = max(0.0, self.wall_clock() - state.created.created_at)
            running = RunningProgram(CallOrder(), {}, {}, self.clock() - age_s)
            self.running[state.program] = running
        return running
