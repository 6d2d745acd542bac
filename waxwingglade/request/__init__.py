"""What lives as long as a request: the events of a call, its turn, and its way to a target."""

from waxwingglade.request.call_execution import CallExecution, new_execution
from waxwingglade.request.events import CallEvents, replay
from waxwingglade.request.model_call import run_model_call
from waxwingglade.request.order import CallOrder
from waxwingglade.request.tool_call import run_tool_call

__all__ = [
    "CallEvents",
    "CallExecution",
    "CallOrder",
    "new_execution",
    "replay",
    "run_model_call",
    "run_tool_call",
]
