"""Builders of records and programs for tests."""

from waxwingglade.base import (
    CallId,
    ClassName,
    ConfigVersion,
    Epoch,
    ModelName,
    ProgramId,
    TenantId,
    ToolName,
)
from waxwingglade.program import (
    Amount,
    CallEnded,
    CallStarted,
    Created,
    Done,
    Message,
    MessageRole,
    ModelCall,
    Record,
    ToolCall,
    Usage,
    apply_record,
)
from waxwingglade.settings import Budget, ProgramPolicy

PROGRAM = ProgramId("z.e.i.home0.p")


def created(parent: ProgramId | None = None, **budget) -> Created:
    """Return the record that creates a program with a budget."""
    return Created(
        tenant=TenantId("t"),
        program_class=ClassName("c"),
        policy=ProgramPolicy(budget=Budget(**budget)),
        config_version=ConfigVersion(1),
        created_at=100.0,
        request=CallId("r"),
        parent=parent,
    )


def model_call(call: str, text: str = "hello", order: int | None = None) -> ModelCall:
    """Return a model call with one user message."""
    messages = [Message(MessageRole.USER, text)]
    return ModelCall(CallId(call), ModelName("m"), messages, 10, order)


def tool_call(call: str) -> ToolCall:
    """Return a tool call."""
    return ToolCall(CallId(call), ToolName("booking"), {})


def done(text: str = "answer", tokens: int = 5) -> Done:
    """Return a complete answer."""
    return Done(text, usage=Usage(prompt_tokens=tokens, output_tokens=tokens))


def started(call, tokens: int = 50, idempotent: bool = True) -> CallStarted:
    """Return the record that starts a call with a reservation."""
    return CallStarted(call, Amount(tokens, 10 * tokens), None, 0.0, "a1", idempotent)


def ended(call: str, outcome, tokens: int = 10) -> CallEnded:
    """Return the record that ends a call."""
    return CallEnded(CallId(call), outcome, Amount(tokens, 10 * tokens), 0.0)


def fold(*bodies, programs=None, program: ProgramId = PROGRAM):
    """Apply records and return the programs."""
    programs = {} if programs is None else programs
    for body in bodies:
        apply_record(programs, Record(1, Epoch(1), program, body))
    return programs
