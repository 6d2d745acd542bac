"""Strategies for the values that operators and targets write to the store."""

import hypothesis.strategies as st
import msgspec

from tests.fuzz.builders import damaged, json_values

TARGET = {
    "service": "engines",
    "address": "10.0.0.1:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
    "born": 1_700_000_000_000,
}
ROUTE = {
    "name": "turns",
    "host": "shop.example",
    "path_prefix": "/turns/",
    "kind": "streaming",
    "timeout_ms": 2000,
    "target_latency_ms": 200,
    "target_gap_ms": 100,
    "priority": 1,
    "service": "engines",
    "traffic_split": [{"service": "engines", "weight": 9}, {"service": "b", "weight": 1}],
    "max_attempts": 2,
    "retention_s": 60.0,
}
ENGINE = {"slots": 8, "kv_capacity": 100_000, "stride": 10, "pin_ms": 50}
SERVICE = {"name": "engines", "health_path": "/health", "max_conns": 100, "engine": ENGINE}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 1_000_000,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
ACCOUNT = {"name": "shop", "api_keys": ["k"], "priority": 1, "rate_per_s": 9.5, "burst": 3}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [SERVICE],
    "limits": LIMITS,
    "tenants": [ACCOUNT],
}

large_numbers = st.sampled_from(
    [b"9" * digits for digits in (10, 19, 20, 39, 309, 401, 5000)]
    + [b"-" + b"9" * 20, b"1e308", b"1e400", b"1" * 300 + b".5", b"5e-324", b"NaN", b"Infinity"]
)
odd_texts = st.text(max_size=12) | st.sampled_from(
    [
        "",
        " ",
        "x" * 5000,
        "a\r\nX: 1",
        "a\0",
        "\u2028",
        "\u65e5\u672c",
        "a ",
        "10.0.0.1:" + "1" * 5000,
    ]
)
deep_values = st.integers(1, 3000).map(lambda depth: b"[" * depth + b"]" * depth)
odd_values = large_numbers | deep_values | (odd_texts | json_values).map(msgspec.json.encode)
"""Encoded JSON, or what is nearly that."""


@st.composite
def with_odd_value(draw, data: object) -> bytes:
    """Draw the encoded data with the value of one field, at any depth, replaced by an odd one."""

    def encode(node: object, is_replaced: bool) -> bytes:
        if is_replaced and (not isinstance(node, dict | list) or draw(st.integers(0, 9)) == 0):
            return draw(odd_values)
        if isinstance(node, dict):
            chosen = draw(st.sampled_from(sorted(node)))
            parts = (
                msgspec.json.encode(key) + b":" + encode(value, is_replaced and key == chosen)
                for key, value in node.items()
            )
            return b"{" + b",".join(parts) + b"}"
        if isinstance(node, list):
            return b"[" + b",".join(encode(value, is_replaced) for value in node) + b"]"
        return msgspec.json.encode(node)

    return encode(data, True)


def stored(data: object) -> st.SearchStrategy[bytes]:
    """Return a strategy for values that resemble the encoded data, or are entirely different."""
    return (
        st.binary(max_size=80)
        | json_values.map(msgspec.json.encode)
        | deep_values.map(lambda value: value[: len(value) // 2])
        | damaged(msgspec.json.encode(data))
        | with_odd_value(data)
    )


target_keys = odd_texts.map(lambda name: f"servers/{name}") | st.just("servers/i-1")
target_values = stored(TARGET)
configuration_values = stored(CONFIGURATION) | odd_texts.map(
    lambda name: msgspec.json.encode({**CONFIGURATION, "tenants": [{**ACCOUNT, "name": name}]})
)

__all__ = [
    "TARGET",
    "configuration_values",
    "odd_texts",
    "odd_values",
    "stored",
    "target_keys",
    "target_values",
]
