"""What becomes of a program's cache while its calls go on.

None of this is needed for a right answer: whatever fails here only costs prefill.
"""

import contextlib
from collections.abc import Iterator

from waxwingglade.base import ToolName
from waxwingglade.connection.engine_control import export_cache, import_cache, release
from waxwingglade.decisions import Grant
from waxwingglade.request.call_execution import CallExecution


@contextlib.contextmanager
def tool_pause(execution: CallExecution, tool: ToolName) -> Iterator[None]:
    """Let a program's cache go for the time of a tool call, where keeping it would not pay."""
    entry, program = execution.entry, execution.state.program
    for holding in entry.dispatcher.program_paused(program, tool):
        target = entry.targets.get(holding.target)
        if target is not None:
            entry.spawn(release(entry.http, target, program))
    try:
        yield
    finally:
        entry.dispatcher.program_resumed(program)


async def transfer_cache(execution: CallExecution, grant: Grant) -> None:
    """Copy the program's cache to the target that was granted, where that beats prefill."""
    entry, program = execution.entry, execution.state.program
    source = entry.targets.get(grant.source) if grant.source else None
    if source is None:
        return
    exported = await export_cache(entry.http, source, program)
    if exported.is_ok():
        await import_cache(entry.http, entry.targets[grant.target], program, exported.ok_value)
