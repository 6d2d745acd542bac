"""Small stand-ins for external services, with faults on demand, for tests and trials."""

from waxwingglade.standins.engine import EngineHistory, EngineStandin
from waxwingglade.standins.engine_batch import (
    EngineCore,
    EngineFaults,
    EngineSpeed,
    Job,
    JobRequest,
)
from waxwingglade.standins.engine_reports import ControlRecord, EngineRecord
from waxwingglade.standins.engine_text import answer_text
from waxwingglade.standins.platform import VM, PlatformStandin, VMState
from waxwingglade.standins.store import StoreStandin
from waxwingglade.standins.store_faults import Outage, StoreFaults, StoreLimits
from waxwingglade.standins.tool import DEFAULT_TOOLS, Effect, ToolFaults, ToolStandin

__all__ = [
    "DEFAULT_TOOLS",
    "VM",
    "ControlRecord",
    "Effect",
    "EngineCore",
    "EngineFaults",
    "EngineHistory",
    "EngineRecord",
    "EngineSpeed",
    "EngineStandin",
    "Job",
    "JobRequest",
    "Outage",
    "PlatformStandin",
    "StoreFaults",
    "StoreLimits",
    "StoreStandin",
    "ToolFaults",
    "ToolStandin",
    "VMState",
    "answer_text",
]
