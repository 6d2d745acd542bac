"""Settings that a process reads at start, and the resolved policy of a program."""

from waxwingglade.settings.decisions import DecisionSettings
from waxwingglade.settings.load import load_settings, parse_settings, read_yaml
from waxwingglade.settings.policy import Budget, CutPolicy, ProgramPolicy, Urgency
from waxwingglade.settings.process import (
    CallerKey,
    DurabilitySettings,
    LimitSettings,
    ListenSettings,
    OperatorKey,
    PeerSettings,
    PlatformSettings,
    ProcessSettings,
    Role,
    SamplingSettings,
    StoreSettings,
    TargetKind,
    TargetOrderSettings,
    TargetSettings,
    ToolSettings,
    WeightStoreSettings,
)

__all__ = [
    "Budget",
    "CallerKey",
    "CutPolicy",
    "DecisionSettings",
    "DurabilitySettings",
    "LimitSettings",
    "ListenSettings",
    "OperatorKey",
    "PeerSettings",
    "PlatformSettings",
    "ProcessSettings",
    "ProgramPolicy",
    "Role",
    "SamplingSettings",
    "StoreSettings",
    "TargetKind",
    "TargetOrderSettings",
    "TargetSettings",
    "ToolSettings",
    "Urgency",
    "WeightStoreSettings",
    "load_settings",
    "parse_settings",
    "read_yaml",
]
