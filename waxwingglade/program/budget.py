"""Upper bounds of what calls use, and checks against a program's budget.

Before a call is sent, its worst case is reserved in the log.  The upper bound of a prompt's tokens
is the number of tokens that the engine reported for the history, plus the UTF-8 bytes of the new
messages, since a token is never shorter than a byte.
"""

from waxwingglade.base import Err, ErrorCode, Ok, Outcome, not_run
from waxwingglade.program.messages import Message, MessageRole, Usage
from waxwingglade.program.records import Amount
from waxwingglade.program.state import Account, ProgramState
from waxwingglade.settings import Budget, ProgramPolicy, ToolSettings

MESSAGE_OVERHEAD_TOKENS = 8
"""Maximum number of tokens that a chat template adds to a message."""


def max_prompt_tokens(state: ProgramState, messages: list[Message]) -> int:
    """Return an upper bound of the prompt's size in tokens."""
    recent = _tool_messages_since_model(state) if state.history_tokens else state.history
    new = sum(_max_message_tokens(message) for message in [*recent, *messages])
    return state.history_tokens + new


def amount_of_tokens(policy: ProgramPolicy, tokens: int) -> Amount:
    """Return a number of tokens with their price under a policy."""
    return Amount(tokens, tokens * policy.token_price_microcents)


def amount_of_usage(policy: ProgramPolicy, usage: Usage) -> Amount:
    """Return the tokens that an engine reported, with their price under a policy."""
    return amount_of_tokens(policy, usage.prompt_tokens + usage.output_tokens)


def amount_of_tool_call(tool: ToolSettings) -> Amount:
    """Return the price of a tool call as an amount; it uses no tokens."""
    return Amount(0, tool.price_microcents)


def max_text_tokens(text: str) -> int:
    """Return an upper bound of the tokens of generated text that is sent to another engine."""
    return len(text.encode()) + MESSAGE_OVERHEAD_TOKENS if text else 0


def check_turns(account: Account, budget: Budget) -> Outcome[None]:
    """Check that the budget allows one more turn."""
    if account.turns + 1 > budget.turns:
        return _exceeded(f"turns: {budget.turns} used")
    return Ok(None)


def check_amount(account: Account, budget: Budget, amount: Amount) -> Outcome[None]:
    """Check that the budget allows `amount` besides what is spent and reserved."""
    used = account.spent.plus(account.reserved).plus(amount)
    if used.tokens > budget.tokens:
        return _exceeded(f"tokens: {used.tokens} needed of {budget.tokens}")
    if used.money_microcents > budget.money_microcents:
        return _exceeded(f"money: {used.money_microcents} needed of {budget.money_microcents}")
    return Ok(None)


def check_time(state: ProgramState, budget: Budget, now: float) -> Outcome[None]:
    """Check that the program may still run at the wall time `now`, in seconds since 1970."""
    if now - state.created.created_at > budget.wall_s:
        return _exceeded(f"wall time: {budget.wall_s} s passed")
    return Ok(None)


def check_depth(state: ProgramState, budget: Budget) -> Outcome[None]:
    """Check that the budget allows the program a sub-agent."""
    if state.depth + 1 > budget.depth:
        return _exceeded(f"depth: {budget.depth} levels reached")
    return Ok(None)


def _exceeded(reason: str) -> Err:
    return not_run(ErrorCode.BUDGET_EXCEEDED, f"budget exceeded: {reason}")


def _max_message_tokens(message: Message) -> int:
    return len(message.content.encode()) + MESSAGE_OVERHEAD_TOKENS


def _tool_messages_since_model(state: ProgramState) -> list[Message]:
    """Return the tool messages after the last model call, which its token counts exclude."""
    recent: list[Message] = []
    for message in reversed(state.history):
        if message.role is not MessageRole.TOOL:
            break
        recent.append(message)
    return recent


__all__ = [
    "MESSAGE_OVERHEAD_TOKENS",
    "amount_of_tokens",
    "amount_of_tool_call",
    "amount_of_usage",
    "check_amount",
    "check_depth",
    "check_time",
    "check_turns",
    "max_prompt_tokens",
    "max_text_tokens",
]
