"""The conversation history of a running program."""

import xxhash

from bench.workload import ProgramPlan
from waxwingglade.decisions import BlockHash


class Session:
    """Conversation history of a running program, as blocks of its prompt."""

    def __init__(self, plan: ProgramPlan, block_tokens: int, parent: "Session | None") -> None:
        self.plan = plan
        self.block_tokens = block_tokens
        self.name = f"{plan.program_class}-prompt-{plan.prompt}"
        self.tokens = parent.tokens if parent else 0
        self.blocks: list[BlockHash] = list(parent.blocks) if parent else []
        if parent is None:
            self.extend(plan.shared_tokens)
        self.shared = parent.shared if parent else len(self.blocks)
        self.name = plan.program
        self.service_s = parent.service_s if parent else 0.0
        self.refusals = 0

    def extend(self, tokens: int) -> None:
        """Append a number of tokens to the history."""
        self.tokens += tokens
        while (len(self.blocks) + 1) * self.block_tokens <= self.tokens:
            text = f"{self.name} {len(self.blocks)}"
            self.blocks.append(BlockHash(xxhash.xxh3_64_intdigest(text.encode())))


__all__ = ["Session"]
