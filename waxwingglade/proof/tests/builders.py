"""Build the history of a run without violations, which tests modify."""

from collections.abc import Callable

import msgspec

from waxwingglade.base import (
    CallId,
    ClassName,
    ConfigVersion,
    EntryId,
    ModelName,
    ProgramId,
    TargetId,
    TenantId,
    ToolName,
)
from waxwingglade.connection.peer_messages import (
    CallSummary,
    CreateProgram,
    EndProgram,
    ProgramView,
    ReadProgram,
    SubmitCall,
)
from waxwingglade.program import Call, Done, Message, MessageRole, ModelCall, ToolCall, Usage
from waxwingglade.proof.history import (
    Answer,
    Answered,
    CacheReported,
    ConfigAccepted,
    ConfigInForce,
    DrainEnded,
    DrainStarted,
    EffectSeen,
    EntryUp,
    Event,
    GenerationSeen,
    History,
    Quiesced,
    Request,
    Submitted,
    TargetLeaving,
    TextReceived,
)
from waxwingglade.settings import Budget
from waxwingglade.standins import engine_text

TENANT = TenantId("kettu")
ENGINE = TargetId("engine-1")
TOOL = TargetId("tool-1")
ENTRIES = (EntryId("entry-0"), EntryId("entry-1"))
TOKENS = 6
FIRST = ProgramId("z.entry-0.i.0.first")
SECOND = ProgramId("z.entry-0.i.0.second")


class Run:
    """A run without violations; the time advances by one second with every event."""

    def __init__(self) -> None:
        self.history = History(seed=1)
        self.now = 0.0
        self.number = 0
        self.messages: dict[ProgramId, list[Message]] = {}
        self.calls: dict[ProgramId, list[CallSummary]] = {}
        self.ended: set[ProgramId] = set()

    def tick(self) -> float:
        """Advance the time by one second and return it."""
        self.now += 1.0
        return self.now

    def record(self, event: Event) -> None:
        """Add an event."""
        self.history.record(event)

    def ask(self, request: Request, answer: Callable[[], Answer]) -> None:
        """Record a request and its answer."""
        self.number += 1
        number = self.number
        self.record(Submitted(self.tick(), number, ENTRIES[number % 2], request))
        self.record(Answered(self.tick(), number, answer()))

    def create(self, program: ProgramId) -> None:
        """Create a program."""
        self.messages[program] = []
        self.calls[program] = []
        request = CreateProgram(TENANT, ClassName("appointment"), CallId(program[-5:]))
        self.ask(request, lambda: self.view(program))

    def model(self, program: ProgramId, call: str, order: int | None = None) -> None:
        """Make a model call."""
        content = f"{program[-5:]}/{call} tokens={TOKENS}"
        message = Message(MessageRole.USER, content)
        made = ModelCall(CallId(call), ModelName("base"), [message], None, order)
        self.ask(SubmitCall(TENANT, program, made), lambda: self._generate(program, made))

    def tool(self, program: ProgramId, call: str, order: int | None = None) -> None:
        """Make a non-idempotent tool call."""
        made = ToolCall(CallId(call), ToolName("booking"), {"slot": call}, order)
        self.ask(SubmitCall(TENANT, program, made), lambda: self._effect(program, made))

    def end(self, program: ProgramId) -> None:
        """End a program."""
        self.ended.add(program)
        self.ask(EndProgram(TENANT, program), lambda: self.view(program))

    def read(self, program: ProgramId) -> None:
        """Read a program."""
        self.ask(ReadProgram(TENANT, program), lambda: self.view(program))

    def view(self, program: ProgramId) -> ProgramView:
        """Return the current view of a program."""
        return ProgramView(
            program=program,
            tenant=TENANT,
            program_class=ClassName("appointment"),
            state="ended" if program in self.ended else "open",
            created_at=0.0,
            config_version=ConfigVersion(1),
            turns=len(self.calls[program]),
            tokens_spent=0,
            tokens_reserved=0,
            money_spent_microcents=0,
            money_reserved_microcents=0,
            budget=Budget(tokens=1000, turns=10),
            history=list(self.messages[program]),
            calls=list(self.calls[program]),
        )

    def _generate(self, program: ProgramId, call: ModelCall) -> Done:
        prompt = [*self.messages[program], *call.messages]
        text = engine_text.answer_text(call.model, prompt, TOKENS)
        started = self.tick()
        seen = GenerationSeen(
            at=started,
            ended=self.tick(),
            target=ENGINE,
            program=program,
            call=call.call,
            request_id=f"{program}.{call.call}.a.0",
            conversation=f"{engine_text.answer_seed(call.model, prompt):016x}",
            prompt_tokens=20,
            output_tokens=TOKENS,
            finished=True,
        )
        self.record(seen)
        self.record(TextReceived(self.tick(), self.number, 0, text[:5], "a"))
        self.record(TextReceived(self.tick(), self.number, 5, text[5:], "a"))
        self.messages[program] += [*call.messages, Message(MessageRole.ASSISTANT, text)]
        return self._done(program, call, Done(text, usage=Usage(20, 0, TOKENS)))

    def _effect(self, program: ProgramId, call: ToolCall) -> Done:
        result = {"tool": call.tool, "number": self.number}
        arrived = self.tick()
        self.record(
            EffectSeen(self.tick(), arrived, TOOL, call.tool, program, call.call, False, result, 1)
        )
        content = msgspec.json.encode(result).decode()
        self.messages[program].append(Message(MessageRole.TOOL, content))
        return self._done(program, call, Done(result=result))

    def _done(self, program: ProgramId, call: Call, done: Done) -> Done:
        kind = str(type(call).__struct_config__.tag)
        self.calls[program].append(CallSummary(call.call, kind, done))
        return done


def valid_run() -> Run:
    """Return a run with two programs, a drain, a leaving target and a new configuration.

    No check finds a violation in it.
    """
    run = Run()
    for entry in ENTRIES:
        run.record(EntryUp(run.tick(), entry))
        run.record(ConfigInForce(run.tick(), entry, ConfigVersion(1), "one"))
    run.create(FIRST)
    run.create(SECOND)
    run.model(FIRST, "c1", 1)
    run.model(SECOND, "c1")
    run.tool(FIRST, "c2", 2)
    run.model(FIRST, "c3", 3)
    run.tool(SECOND, "c2")
    run.record(ConfigAccepted(run.tick(), ConfigVersion(2), "two"))
    for entry in ENTRIES:
        run.record(ConfigInForce(run.tick(), entry, ConfigVersion(2), "two"))
    run.record(DrainStarted(run.tick(), ENTRIES[0]))
    run.read(FIRST)
    run.record(DrainEnded(run.tick(), ENTRIES[0], 0))
    run.record(EntryUp(run.tick(), ENTRIES[0]))
    run.end(FIRST)
    run.record(TargetLeaving(run.tick(), ENGINE))
    run.record(Quiesced(run.tick()))
    run.read(FIRST)
    run.read(SECOND)
    run.record(CacheReported(run.tick(), ENGINE, [SECOND]))
    return run


def valid_history() -> History:
    """Return the history of `valid_run`."""
    return valid_run().history


def change(history: History, kind: type, pick: Callable, **changes) -> None:
    """Change the fields of the first event of a type that `pick` chooses."""
    for place, event in enumerate(history.events):
        if isinstance(event, kind) and pick(event):
            history.events[place] = msgspec.structs.replace(event, **changes)
            return
    raise AssertionError(f"no {kind.__name__} to change")
