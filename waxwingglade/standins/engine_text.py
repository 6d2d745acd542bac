"""Deterministic answers of the engine stand-in.

An answer depends only on the model and the conversation.  So a resumed answer must equal the
uninterrupted one, and a check can detect an answer to a wrong history.
"""

import re

import xxhash

from waxwingglade.program.messages import Message, MessageRole

TOKEN_CHARACTERS = 4
BLOCK_TOKENS = 16
BLOCK_CHARACTERS = TOKEN_CHARACTERS * BLOCK_TOKENS
POSITION_BYTES = 8
FIRST_LETTERS = "bdfghjklmnprstvz"
VOWELS = "aeiouyäö"
LAST_LETTERS = "dlmnrst€"
LENGTH_REQUEST = re.compile(r"tokens=(\d{1,6})")


def render(messages: list[Message]) -> str:
    """Return the text of a conversation in the engine's input format."""
    return "".join(f"<{each.role.value}>{each.content}\n" for each in messages)


def render_prompt(messages: list[Message], answer: str = "") -> str:
    """Return a conversation followed by the start of its next answer.

    It is a prefix of the next turn's conversation, so the cache has the blocks of that prefix.
    """
    return f"{render(messages)}<{MessageRole.ASSISTANT.value}>{answer}"


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text; an incomplete token counts."""
    return -(-len(text) // TOKEN_CHARACTERS)


def answer_length(messages: list[Message], shortest: int, longest: int) -> int:
    """Return the number of tokens of the complete answer.

    ``tokens=N`` in the last message requests a length.
    """
    requested = LENGTH_REQUEST.search(messages[-1].content) if messages else None
    if requested is not None:
        return int(requested[1])
    seed = xxhash.xxh3_64_intdigest(render(messages).encode())
    return shortest + seed % (longest - shortest + 1)


def answer_seed(model: str, messages: list[Message]) -> int:
    """Return the seed of the tokens of an answer."""
    return xxhash.xxh3_64_intdigest(f"{model}\n{render(messages)}".encode())


def answer_token(seed: int, position: int) -> str:
    """Return the token at a position; every token has `TOKEN_CHARACTERS` characters."""
    number = xxhash.xxh3_64_intdigest(position.to_bytes(POSITION_BYTES, "big"), seed)
    first = FIRST_LETTERS[number % len(FIRST_LETTERS)]
    vowel = VOWELS[(number >> 8) % len(VOWELS)]
    last = LAST_LETTERS[(number >> 16) % len(LAST_LETTERS)]
    return f"{first}{vowel}{last} "


def answer_text(model: str, messages: list[Message], tokens: int) -> str:
    """Return the first `tokens` tokens of the expected answer, for checks."""
    seed = answer_seed(model, messages)
    return "".join(answer_token(seed, position) for position in range(tokens))


def block_hashes(text: str) -> list[str]:
    """Return the chained hashes of the full blocks of a text."""
    hashes = []
    chained = 0
    for start in range(0, len(text) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        block = text[start : start + BLOCK_CHARACTERS].encode()
        chained = xxhash.xxh3_64_intdigest(block, chained)
        hashes.append(f"{chained:016x}")
    return hashes


__all__ = [
    "BLOCK_TOKENS",
    "TOKEN_CHARACTERS",
    "answer_length",
    "answer_seed",
    "answer_text",
    "answer_token",
    "block_hashes",
    "count_tokens",
    "render",
    "render_prompt",
]
