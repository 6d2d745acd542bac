"""The resolved configuration of one program.

The operators' configuration is a tree (firm, customer, program class, program).  Resolving a path
in the tree gives one `ProgramPolicy`.  A call uses the policy with which it started until it ends.
"""

from enum import Enum

import msgspec


class Urgency(Enum):
    """Scheduling class: how soon a program has to finish."""

    URGENT = "urgent"
    NORMAL = "normal"
    ROUTINE = "routine"


class CutPolicy(Enum):
    """Which zones can run a program while its home zone is partitioned from the others.

    HOME stores a majority of the log's copies in the home zone, so that this zone can continue the
    program.  SPREAD stores all copies except the owner's in other zones, so that those can.
    """

    HOME = "home"
    SPREAD = "spread"


class Budget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Upper bounds for a program together with all of its sub-agents.

    Parameters
    ----------
    tokens : int
        Prompt and generated tokens.
    money_microcents : int
        Price of model calls and tool calls, in millionths of a cent.
    turns : int
        Number of model calls and tool calls.
    depth : int
        Number of levels of sub-agents below the program.
    wall_s : float
        Seconds of wall time from creation to end.
    """

    tokens: int = 200_000
    money_microcents: int = 500_000_000
    turns: int = 100
    depth: int = 3
    wall_s: float = 3600.0


class ProgramPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resolved configuration of one program.

    Parameters
    ----------
    urgency : Urgency
        Scheduling class.
    weight : float
        Relative share of the tenant among tenants with calls of the same urgency.
    latency_weight : float
        Between 0 (only wasted cache counts) and 1 (only program latency counts).
    deadline_s : float
        Seconds from creation within which the program should end.
    queue_patience_s : float
        Minimum seconds that a call may wait for a target, even after the program's deadline.
    model_timeout_s, tool_timeout_s : float
        Seconds after which an attempt at a model or tool call times out.
    queue_limit : int
        Maximum number of a tenant's calls that may wait at one entry.
    max_output_tokens : int
        Maximum number of generated tokens of a call whose caller sets no limit.
    token_price_microcents : int
        Price of one token, prompt or generated, in millionths of a cent.
    cut_policy : CutPolicy
        Which zones continue the program while its home zone is partitioned.
    budget : Budget
        Upper bounds of what the program may use.
    """

    urgency: Urgency = Urgency.NORMAL
    weight: float = 1.0
    latency_weight: float = 0.7
    deadline_s: float = 120.0
    queue_patience_s: float = 20.0
    model_timeout_s: float = 60.0
    tool_timeout_s: float = 20.0
    queue_limit: int = 1000
    max_output_tokens: int = 256
    token_price_microcents: int = 100
    cut_policy: CutPolicy = CutPolicy.HOME
    budget: Budget = Budget()
