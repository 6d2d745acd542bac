"""Check that a program, including its sub-agents, never exceeds its budget.

The usage is counted from what engines and tools did, and also as the system reports it.
"""

from waxwingglade.base import ProgramId
from waxwingglade.connection.peer_messages import ProgramView
from waxwingglade.program import SubProgramCall
from waxwingglade.proof.history import EffectSeen, GenerationSeen, History
from waxwingglade.proof.index import call_exchanges, done_at, last_views, roots, runs, views
from waxwingglade.proof.violation import Point, Violation

WALL_TIME_TOLERANCE_S = 1.0
"""Seconds after a program's wall time within which work that was sent in time may reach a target.

All other limits are exact.
"""


def check_budget(history: History) -> list[Violation]:
    """Return the programs that used, or were reported to use, more than their budget."""
    shown = last_views(history)
    root_of = roots(history)
    tokens = _tokens_used(history, root_of)
    money = _money_used(history, root_of)
    turns = _turns_used(history, root_of)
    found = []
    for program, view in shown.items():
        found += _reported_excess(view)
        if root_of[program] != program:
            continue
        found += _excess(program, "tokens", tokens.get(program, 0), view.budget.tokens)
        found += _excess(program, "money", money.get(program, 0), view.budget.money_microcents)
        found += _excess(program, "turns", turns.get(program, 0), view.budget.turns)
        depth = _depth(program, shown)
        found += _excess(program, "levels of sub-agents", depth, view.budget.depth)
    return found + _late(history, shown, root_of)


def _tokens_used(history: History, root_of: dict[ProgramId, ProgramId]) -> dict[ProgramId, int]:
    """Return the tokens that engines read and generated, including those of unused answers."""
    used: dict[ProgramId, int] = {}
    for seen in history.of(GenerationSeen):
        root = root_of.get(seen.program, seen.program)
        used[root] = used.get(root, 0) + seen.prompt_tokens + seen.output_tokens
    return used


def _money_used(history: History, root_of: dict[ProgramId, ProgramId]) -> dict[ProgramId, int]:
    """Return the cost of what engines and tools did, in millionths of a cent."""
    used: dict[ProgramId, int] = {}
    for seen in history.of(EffectSeen, GenerationSeen):
        root = root_of.get(seen.program, seen.program)
        used[root] = used.get(root, 0) + seen.price_microcents
    return used


def _turns_used(history: History, root_of: dict[ProgramId, ProgramId]) -> dict[ProgramId, int]:
    """Return the number of calls that ran: those that reached a target, and created sub-agents."""
    ran = set(runs(history))
    for key, attempts in call_exchanges(history).items():
        is_sub_program = isinstance(attempts[0].submitted.request.call, SubProgramCall)
        if is_sub_program and done_at(attempts) is not None:
            ran.add(key)
    used: dict[ProgramId, int] = {}
    for key in ran:
        root = root_of.get(key.program, key.program)
        used[root] = used.get(root, 0) + 1
    return used


def _reported_excess(view: ProgramView) -> list[Violation]:
    tokens = view.tokens_spent + view.tokens_reserved
    money = view.money_spent_microcents + view.money_reserved_microcents
    found = _excess(view.program, "tokens booked", tokens, view.budget.tokens)
    found += _excess(view.program, "money booked", money, view.budget.money_microcents)
    return found + _excess(view.program, "turns booked", view.turns, view.budget.turns)


def _depth(program: ProgramId, shown: dict[ProgramId, ProgramView]) -> int:
    view = shown.get(program)
    children = view.children if view else []
    return max((1 + _depth(child, shown) for child in children), default=0)


def _late(
    history: History, shown: dict[ProgramId, ProgramView], root_of: dict[ProgramId, ProgramId]
) -> list[Violation]:
    """Return the work that reached a target after the end of its program's wall time.

    The wall time is counted from a caller's first view of the program.  So the check allows a
    program slightly too much time, never too little.
    """
    found = []
    start = _first_seen(history)
    for seen in history.of(EffectSeen, GenerationSeen):
        root = root_of.get(seen.program, seen.program)
        if root not in shown or root not in start:
            continue
        arrived = seen.arrived if isinstance(seen, EffectSeen) else seen.at
        over_s = arrived - start[root] - shown[root].budget.wall_s
        if over_s > WALL_TIME_TOLERANCE_S:
            text = f"call {seen.call} reached {seen.target} {over_s:.1f} s after its wall time"
            found.append(Violation(Point.BUDGET, root, text, [seen]))
    return found


def _first_seen(history: History) -> dict[ProgramId, float]:
    return {program: each[0].answered.at for program, each in views(history).items()}


def _excess(program: ProgramId, what: str, used: int, allowed: int) -> list[Violation]:
    if used <= allowed:
        return []
    text = f"{used} {what} of {allowed}"
    return [Violation(Point.BUDGET, program, text)]
