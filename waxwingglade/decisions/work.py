"""Input of the decisions: waiting calls, and reports of targets."""

from typing import NewType

import msgspec
import xxhash

from waxwingglade.base import ClassName, ProgramId, TargetId, TenantId, ToolName
from waxwingglade.settings import ProgramPolicy

Pool = NewType("Pool", str)
"""Name of a model or tool; the targets that serve it are interchangeable except for their cache."""

BlockHash = NewType("BlockHash", int)
"""Hash of a prompt up to and including one block; equal hashes mean equal prefixes."""


class Work(msgspec.Struct):
    """A call that needs a target.

    Parameters
    ----------
    program, tenant, program_class : ProgramId, TenantId, ClassName
        Program of the call, its tenant and its class.
    policy : ProgramPolicy
        Resolved configuration for the call.
    pool : Pool
        Model or tool of the call.
    created_at, deadline_at : float
        Start and deadline of the program, in seconds of the entry's clock.
    service_received_s : float
        Service time of the program so far, over all targets, in seconds.
    blocks : tuple of BlockHash
        Hash chain of the prompt (`hash_blocks`); empty for tools.
    prompt_tokens, expected_output_tokens : int
        Tokens of the prompt, and estimated tokens of the output; zero for tools.
    idempotent : bool
        Whether the call may be repeated; true for model calls.
    avoid : tuple of TargetId
        Targets at which the call has just failed.
    """

    program: ProgramId
    tenant: TenantId
    program_class: ClassName
    policy: ProgramPolicy
    pool: Pool
    created_at: float
    deadline_at: float
    service_received_s: float = 0.0
    blocks: tuple[BlockHash, ...] = ()
    prompt_tokens: int = 0
    expected_output_tokens: int = 0
    idempotent: bool = True
    avoid: tuple[TargetId, ...] = ()


class LoadReport(msgspec.Struct, frozen=True):
    """Load that a target reports.

    Parameters
    ----------
    running, waiting : int
        Calls in service, and calls in the target's own queue.
    cache_used : float
        Share of the prefix cache in use, between 0 and 1.
    age_s : float
        Seconds between the measurement and its entry into the table.
    """

    running: int
    waiting: int = 0
    cache_used: float = 0.0
    age_s: float = 0.0


class CacheEvents(msgspec.Struct, frozen=True):
    """A batch of changes of a target's prefix cache.

    Parameters
    ----------
    sequence : int
        Number of the batch; the sender numbers batches without gaps.
    stored, removed : list of BlockHash
        Blocks that were added and removed since the previous batch.
    """

    sequence: int
    stored: list[BlockHash] = []
    removed: list[BlockHash] = []


class Holding(msgspec.Struct, frozen=True):
    """A target that may have cache of a program."""

    program: ProgramId
    target: TargetId


def pool_of_tool(tool: ToolName) -> Pool:
    """Return the pool of the targets that serve `tool`; it differs from the pool of any model."""
    return Pool(f"tool:{tool}")


def hash_blocks(
    prompt: bytes, block_bytes: int, known: tuple[BlockHash, ...] = ()
) -> tuple[BlockHash, ...]:
    """Return the hash chain of the complete blocks in `prompt`.

    Parameters
    ----------
    prompt : bytes
        Encoded prompt, from its start.
    block_bytes : int
        Bytes in a block; an incomplete block at the end has no hash.
    known : tuple of BlockHash
        Hash chain of a prefix of the prompt, which is not computed again.
    """
    chain = list(known)
    seed = chain[-1] if chain else 0
    for start in range(len(chain) * block_bytes, len(prompt) - block_bytes + 1, block_bytes):
        seed = xxhash.xxh3_64_intdigest(prompt[start : start + block_bytes], seed)
        chain.append(BlockHash(seed))
    return tuple(chain)
