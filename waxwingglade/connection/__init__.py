"""Connections to the store, to peers and to targets."""

from waxwingglade.connection.engine import stream_completion
from waxwingglade.connection.engine_control import (
    cache_events,
    cancel,
    export_cache,
    held_programs,
    import_cache,
    read_load,
    read_state,
    release,
    send_order,
)
from waxwingglade.connection.engine_events import (
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    EngineDelta,
    EngineDone,
    EngineEvent,
    EngineFailed,
    EngineLoad,
    EngineOrder,
    EngineRequest,
    EngineState,
    OrderKind,
    StreamTimeouts,
)
from waxwingglade.connection.http import HttpClient, HttpClientSettings
from waxwingglade.connection.store import StoreClient
from waxwingglade.connection.store_budget import Purpose
from waxwingglade.connection.store_messages import (
    DeleteEvent,
    KeyValue,
    Lease,
    Listing,
    PutEvent,
    ResyncEvent,
    WatchEvent,
)
from waxwingglade.connection.tool import ToolAnswer, ask_outcome, call_tool

__all__ = [
    "CacheEvent",
    "CacheEventKind",
    "CacheEvents",
    "DeleteEvent",
    "EngineDelta",
    "EngineDone",
    "EngineEvent",
    "EngineFailed",
    "EngineLoad",
    "EngineOrder",
    "EngineRequest",
    "EngineState",
    "HttpClient",
    "HttpClientSettings",
    "KeyValue",
    "Lease",
    "Listing",
    "OrderKind",
    "Purpose",
    "PutEvent",
    "ResyncEvent",
    "StoreClient",
    "StreamTimeouts",
    "ToolAnswer",
    "WatchEvent",
    "ask_outcome",
    "cache_events",
    "call_tool",
    "cancel",
    "export_cache",
    "held_programs",
    "import_cache",
    "read_load",
    "read_state",
    "release",
    "send_order",
    "stream_completion",
]
