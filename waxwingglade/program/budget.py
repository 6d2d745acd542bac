"""Reservations against a program's budget.

Before a call is sent, its worst case is reserved in the log.  The bound on a prompt's tokens is the
tokens that the engine reported for the history so far plus the UTF-8 bytes of what is new: a
token is never shorter than a byte.
"""

from waxwingglade.base import Err, ErrorCode, Ok, Outcome, not_run
from waxwingglade.program.messages import Message, MessageRole, Usage
from waxwingglade.program.records import Amount
from waxwingglade.program.state import Account, ProgramState
from waxwingglade.settings import Budget, ProgramPolicy, ToolSettings

MESSAGE_OVERHEAD_TOKENS = 8
"""Tokens that a chat template may add around one message."""


def max_prompt_tokens(state: ProgramState, messages: list[Message]) -> int:
    """Return an upper bound of the prompt's size in tokens."""
    recent = _tool_messages_since_model(state) if state.history_tokens else state.history
    new = sum(_message_bound(message) for message in [*recent, *messages])
    return state.history_tokens + new


def amount_of_tokens(policy: ProgramPolicy, tokens: int) -> Amount:
    """Return the amount for a number of tokens at the price of a policy."""
    return Amount(tokens, tokens * policy.token_price_microcents)


def amount_of_usage(policy: ProgramPolicy, usage: Usage) -> Amount:
    """Return the amount for what an engine reported."""
    return amount_of_tokens(policy, usage.prompt_tokens + usage.output_tokens)


def amount_of_tool_call(tool: ToolSettings) -> Amount:
    """Return the price of a tool call."""
    return Amount(0, tool.price_microcents)


def max_text_tokens(text: str) -> int:
    """Return an upper bound of the tokens in generated text that is sent back to an engine."""
    return len(text.encode()) + MESSAGE_OVERHEAD_TOKENS if text else 0


def check_turns(account: Account, budget: Budget) -> Outcome[None]:
    """Say whether one more turn fits the budget."""
    if account.turns + 1 > budget.turns:
        return _exceeded(f"turns: {budget.turns} used")
    return Ok(None)


def check_amount(account: Account, budget: Budget, amount: Amount) -> Outcome[None]:
    """Say whether `amount` still fits the budget."""
    used = account.spent.plus(account.reserved).plus(amount)
    if used.tokens > budget.tokens:
        return _exceeded(f"tokens: {used.tokens} needed of {budget.tokens}")
    if used.money_microcents > budget.money_microcents:
        return _exceeded(f"money: {used.money_microcents} needed of {budget.money_microcents}")
    return Ok(None)


def check_time(state: ProgramState, budget: Budget, now: float) -> Outcome[None]:
    """Say whether the program may still run at wall time `now`, in seconds since 1970."""
    if now - state.created.created_at > budget.wall_s:
        return _exceeded(f"wall time: {budget.wall_s} s passed")
    return Ok(None)


def check_depth(state: ProgramState, budget: Budget) -> Outcome[None]:
    """Say whether the program may have a sub-agent."""
    if state.depth + 1 > budget.depth:
        return _exceeded(f"depth: {budget.depth} levels reached")
    return Ok(None)


def _exceeded(reason: str) -> Err:
    return not_run(ErrorCode.BUDGET_EXCEEDED, f"budget exceeded: {reason}")


def _message_bound(message: Message) -> int:
    return len(message.content.encode()) + MESSAGE_OVERHEAD_TOKENS


def _tool_messages_since_model(state: ProgramState) -> list[Message]:
    """Return the messages that joined the history after the last model call's report."""
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
