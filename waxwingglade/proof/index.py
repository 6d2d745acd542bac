"""Index a history by request, call and program."""

from typing import NamedTuple

import msgspec

from waxwingglade.base import CallId, Failure, ProgramId, Verdict
from waxwingglade.connection.peer_messages import EndProgram, ProgramView, SubmitCall
from waxwingglade.program import Done
from waxwingglade.proof.history import (
    Answered,
    EffectSeen,
    GenerationSeen,
    History,
    Quiesced,
    Submitted,
    TextReceived,
    TextReset,
)


class CallKey(NamedTuple):
    """Identifies one call of one program."""

    program: ProgramId
    call: CallId


class Exchange(msgspec.Struct):
    """A request with the answer and the streamed text that its caller received."""

    submitted: Submitted
    pieces: list[TextReceived | TextReset] = []
    answered: Answered | None = None

    @property
    def answer(self):
        """The final answer, or None."""
        return self.answered.answer if self.answered else None

    def was_refused(self) -> bool:
        """Return whether the answer is a refusal as "not run"."""
        return isinstance(self.answer, Failure) and self.answer.verdict is Verdict.NOT_RUN


class Run(msgspec.Struct, frozen=True):
    """One execution of a call by an engine or a tool.

    Parameters
    ----------
    at : float
        Time at which the request arrived at the target.
    seen : EffectSeen or GenerationSeen
        Event that the target recorded.
    """

    at: float
    seen: EffectSeen | GenerationSeen


def exchanges(history: History) -> list[Exchange]:
    """Return every request with its answer, in order of submission."""
    found = {each.number: Exchange(each) for each in history.of(Submitted)}
    for piece in history.of(TextReceived, TextReset):
        found[piece.number].pieces.append(piece)
    for answered in history.of(Answered):
        found[answered.number].answered = answered
    return list(found.values())


def call_exchanges(history: History) -> dict[CallKey, list[Exchange]]:
    """Return the submissions of each call, in order."""
    found: dict[CallKey, list[Exchange]] = {}
    for each in exchanges(history):
        request = each.submitted.request
        if isinstance(request, SubmitCall):
            found.setdefault(CallKey(request.program, request.call.call), []).append(each)
    return found


def runs(history: History) -> dict[CallKey, list[Run]]:
    """Return the executions of each call, in order of arrival."""
    found: dict[CallKey, list[Run]] = {}
    for seen in history.of(EffectSeen, GenerationSeen):
        at = seen.arrived if isinstance(seen, EffectSeen) else seen.at
        found.setdefault(CallKey(seen.program, seen.call), []).append(Run(at, seen))
    for each in found.values():
        each.sort(key=lambda run: run.at)
    return found


def views(history: History) -> dict[ProgramId, list[Exchange]]:
    """Return the exchanges whose answer is a view of a program, in order of the answers."""
    found: dict[ProgramId, list[Exchange]] = {}
    for each in exchanges(history):
        if isinstance(each.answer, ProgramView):
            found.setdefault(each.answer.program, []).append(each)
    for shown in found.values():
        shown.sort(key=lambda exchange: exchange.answered.at)
    return found


def last_views(history: History) -> dict[ProgramId, ProgramView]:
    """Return the last view of each program."""
    return {program: shown[-1].answer for program, shown in views(history).items()}


def roots(history: History) -> dict[ProgramId, ProgramId]:
    """Return for each known program the root program whose budget it uses."""
    parents = {program: view.parent for program, view in last_views(history).items()}

    def root(program: ProgramId) -> ProgramId:
        parent = parents.get(program)
        return root(parent) if parent else program

    return {program: root(program) for program in parents}


def done_at(attempts: list[Exchange]) -> float | None:
    """Return when a caller first knew that a call was complete, or None."""
    times = [each.answered.at for each in attempts if isinstance(each.answer, Done)]
    return min(times, default=None)


def ended_at(history: History) -> dict[ProgramId, float]:
    """Return when a caller first knew that each program had ended."""
    found: dict[ProgramId, float] = {}
    for program, shown in views(history).items():
        times = [each.answered.at for each in shown if each.answer.state == "ended"]
        if times:
            found[program] = min(times)
    return found


def end_requests(history: History) -> dict[ProgramId, list[Exchange]]:
    """Return the requests to end each program."""
    found: dict[ProgramId, list[Exchange]] = {}
    for each in exchanges(history):
        if isinstance(each.submitted.request, EndProgram):
            found.setdefault(each.submitted.request.program, []).append(each)
    return found


def quiesced_at(history: History) -> float:
    """Return when all faults and requests had ended; infinite if that was not recorded."""
    return min((each.at for each in history.of(Quiesced)), default=float("inf"))
