"""Planted faults: each makes one function of the package wrong on purpose.

``python -m tests.prove.mutants NAME ARGUMENTS`` runs the command line of the package with one
planted fault.  Each check has to find the faults that violate its point.
"""

import asyncio
import sys
from collections.abc import Callable

import msgspec

import waxwingglade.cli
from tests.prove.schedule import Fault, FaultKind, Round
from waxwingglade.base import Failure, Ok, Verdict
from waxwingglade.connection.peer_messages import SealedCopy
from waxwingglade.decisions import Dispatcher
from waxwingglade.process import daemon, release, takeover
from waxwingglade.program import CacheReleased, Delta
from waxwingglade.proof import Point
from waxwingglade.request import call_execution, model_call, tool_call
from waxwingglade.request.events import CallEvents
from waxwingglade.request.order import CallOrder
from waxwingglade.version import ActiveConfig

Plant = Callable[[], None]
DROPPED_RECORDS = 6
REVERT_DELAY_S = 0.6
REVERT_EVERY = 3


def calls_overtake() -> None:
    """Run every call at once, regardless of the order of calls."""
    CallOrder._may_run = lambda self, state, call: True


def records_forgotten() -> None:
    """Drop the last records when a log is taken over."""
    seal = takeover._seal

    async def drop_records(means, entry):
        sealed = await seal(means, entry)
        return sealed.map(lambda copy: SealedCopy(copy.last_epoch, copy.records[:-DROPPED_RECORDS]))

    takeover._seal = drop_records


def histories_mixed() -> None:
    """Add messages of another program's history to a model's prompt."""
    prepare = model_call._prepare

    def mix(execution, events):
        generation = prepare(execution, events)
        others = [each for each in execution.owned.programs.values() if each is not execution.state]
        foreign = others[0].history[:2] if others else []
        generation.prompt = [*foreign, *generation.prompt]
        return generation

    model_call._prepare = mix


def budget_unchecked() -> None:
    """Accept every reservation, regardless of the budget."""
    call_execution.check_amount = lambda account, budget, amount: Ok(None)
    call_execution.check_turns = lambda account, budget: Ok(None)


def release_forgotten() -> None:
    """Record that the engines have released their caches without a request to them."""

    async def record_release(entry, owned, state):
        await owned.append(state.program, CacheReleased(sorted(state.cached_on)))

    async def sweep_nothing(entry):
        await asyncio.Event().wait()

    release._release = record_release
    daemon.sweep_caches = sweep_nothing


def pieces_lost() -> None:
    """Drop the first character of a stream."""
    follow = CallEvents.follow

    async def drop_first(self, offset, attempt):
        async for event in follow(self, offset, attempt):
            if isinstance(event, Delta) and event.offset == 0:
                yield msgspec.structs.replace(event, offset=1, text=event.text[1:])
            else:
                yield event

    CallEvents.follow = drop_first


def answers_swapped() -> None:
    """Answer each call with the answer of the previous call."""
    finish = call_execution.finish
    previous = []

    async def swap(this, outcome, used):
        previous.append(await finish(this, outcome, used))
        return previous[-2] if len(previous) > 1 else previous[-1]

    model_call.finish = swap
    tool_call.finish = swap


def runs_denied() -> None:
    """Report that a call did not run when this is unknown."""
    finish = call_execution.finish

    async def deny(this, outcome, used):
        answer = await finish(this, outcome, used)
        if isinstance(answer, Failure):
            return msgspec.structs.replace(answer, verdict=Verdict.NOT_RUN)
        return answer

    call_execution.finish = deny


def effects_repeated() -> None:
    """Repeat a call although it may have run."""
    tool_call._may_repeat = lambda failure, tool: True


def leave_ignored() -> None:
    """Continue to send work to a leaving target."""
    Dispatcher.set_leaving = lambda self, target, leaving=True: None


def drain_cuts() -> None:
    """Stop at once instead of draining."""
    daemon.Daemon.drain_and_stop = daemon.Daemon.stop


def configuration_reverts() -> None:
    """Revert every third version to the previous one after a short time."""
    put = ActiveConfig._put_in_force

    def put_and_revert(self, snapshot, source):
        previous = self.current
        put(self, snapshot, source)
        if snapshot.version % REVERT_EVERY == 0:
            loop = asyncio.get_running_loop()
            loop.call_later(REVERT_DELAY_S, setattr, self, "current", previous)

    ActiveConfig._put_in_force = put_and_revert


class Planted(msgspec.Struct, frozen=True):
    """A planted fault, the point that it violates, and the faults that expose it."""

    plant: Plant
    point: Point
    faults: Round = []


def _fault(kind: FaultKind, lasts_s: float = 2.0) -> Round:
    return [Fault(kind, 0, 0.5, lasts_s)]


MUTANTS: dict[str, Planted] = {
    "calls-overtake": Planted(calls_overtake, Point.ORDER),
    "records-forgotten": Planted(records_forgotten, Point.HISTORY, _fault(FaultKind.KILL_ENTRY)),
    "histories-mixed": Planted(histories_mixed, Point.HISTORY),
    "budget-unchecked": Planted(budget_unchecked, Point.BUDGET),
    "release-forgotten": Planted(release_forgotten, Point.RELEASE),
    "pieces-lost": Planted(pieces_lost, Point.ANSWERS),
    "answers-swapped": Planted(answers_swapped, Point.ANSWERS),
    "runs-denied": Planted(runs_denied, Point.NOT_RUN, _fault(FaultKind.TOOL_CUT_AFTER)),
    "effects-repeated": Planted(
        effects_repeated, Point.AT_MOST_ONCE, _fault(FaultKind.TOOL_CUT_AFTER)
    ),
    "leave-ignored": Planted(leave_ignored, Point.LEAVING, _fault(FaultKind.ENGINE_LEAVES, 5.0)),
    "drain-cuts": Planted(drain_cuts, Point.DRAIN, _fault(FaultKind.DRAIN_ENTRY)),
    "configuration-reverts": Planted(configuration_reverts, Point.CONFIG),
}
"""Every planted fault by name."""


def main() -> None:
    """Plant a fault and run the package's command line."""
    name = sys.argv.pop(1)
    MUTANTS[name].plant()
    waxwingglade.cli.main()


if __name__ == "__main__":
    main()
