"""Converts the records of the stand-ins to events of a history."""

import json
import urllib.request
from typing import Any

from tests.prove.cluster import ENGINES, TOOL_PRICES, ProofCluster
from waxwingglade.base import CallId, ProgramId, TargetId, ToolName, monotonic
from waxwingglade.proof.history import CacheReported, EffectSeen, GenerationSeen, History
from waxwingglade.settings import ProgramPolicy

TIMEOUT_S = 10.0
TOKEN_PRICE = ProgramPolicy().token_price_microcents
IDEMPOTENT_TOOLS = frozenset({"lookup"})
FINISHED = frozenset({"done", "stop", "length"})
REFUSED = "refused"


def get(url: str) -> Any:
    """Return the JSON at a URL."""
    with urllib.request.urlopen(url, timeout=TIMEOUT_S) as answer:
        return json.load(answer)


def cached_programs(cluster: ProofCluster) -> dict[TargetId, list[ProgramId]]:
    """Return the programs for which each engine holds cache memory."""
    return {
        TargetId(name): get(f"{cluster.urls[name]}/v1/cache/held")["programs"] for name in ENGINES
    }


def collect(cluster: ProofCluster, history: History) -> None:
    """Add effects, generations and the final state of the engines' caches."""
    for effect in get(f"{cluster.urls['tool-1']}/standin/history")["effects"]:
        history.record(_effect(effect))
    for name in ENGINES:
        for request in get(f"{cluster.urls[name]}/standin/history")["requests"]:
            if request["outcome"] != REFUSED:
                history.record(_generation(TargetId(name), request))
    for target, programs in cached_programs(cluster).items():
        history.record(CacheReported(monotonic(), target, programs))


def _effect(record: dict[str, Any]) -> EffectSeen:
    program, call = record["key"].rsplit(".", 1)
    return EffectSeen(
        at=record["at"],
        arrived=record["arrived"],
        target=TargetId("tool-1"),
        tool=ToolName(record["tool"]),
        program=ProgramId(program),
        call=CallId(call),
        idempotent=record["tool"] in IDEMPOTENT_TOOLS,
        result=record["result"],
        fencing=record["fencing"],
        price_microcents=TOOL_PRICES[record["tool"]],
    )


def _generation(target: TargetId, record: dict[str, Any]) -> GenerationSeen:
    _, call, _, _ = record["request_id"].rsplit(".", 3)
    return GenerationSeen(
        at=record["arrived"],
        ended=record["ended"],
        target=target,
        program=ProgramId(record["program"]),
        call=CallId(call),
        request_id=record["request_id"],
        conversation=record["seed"],
        prompt_tokens=record["prompt_tokens"],
        output_tokens=record["output_tokens"],
        finished=record["outcome"] in FINISHED,
        resume_matches=record["resume_matches"],
        price_microcents=TOKEN_PRICE * (record["prompt_tokens"] + record["output_tokens"]),
    )
