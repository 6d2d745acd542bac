"""Execution of one request: the order and events of its call, and its attempts at targets."""

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
