"""Release and transfer of a program's prompt cache around its calls.

Answers are correct without either.  A failure here only costs another prefill of the prompt.
"""

import contextlib
from collections.abc import Iterator

from waxwingglade.base import ToolName
from waxwingglade.connection.engine_control import export_cache, import_cache, release
from waxwingglade.decisions import Grant
from waxwingglade.request.call_execution import CallExecution


@contextlib.contextmanager
def tool_pause(execution: CallExecution, tool: ToolName) -> Iterator[None]:
    """Mark a program as paused during a tool call; release cache that is not worth retaining."""
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
    """Copy the program's cache to the granted target, if the grant names a source for it.

    A grant names a source where the copy takes less time than another prefill.
    """
    entry, program = execution.entry, execution.state.program
    source = entry.targets.get(grant.source) if grant.source else None
    if source is None:
        return
    exported = await export_cache(entry.http, source, program)
    if exported.is_ok():
        await import_cache(entry.http, entry.targets[grant.target], program, exported.ok_value)
