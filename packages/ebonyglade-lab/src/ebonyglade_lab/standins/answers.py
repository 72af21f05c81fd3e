"""The answer that every stand-in engine gives to a prompt."""

import hashlib

SHORTEST_TOKENS = 8
SPREAD_TOKENS = 56


def answer_tokens(prompt: str, max_tokens: int) -> list[str]:
    """Return the tokens of the answer, the same on every engine."""
    seed = hashlib.sha256(prompt.encode()).digest()
    length = min(max_tokens, SHORTEST_TOKENS + seed[0] % SPREAD_TOKENS)
    return [_token(seed, index) for index in range(length)]


def _token(seed: bytes, index: int) -> str:
    digest = hashlib.sha256(seed + index.to_bytes(4, "big")).hexdigest()
    return f" {digest[:4]}"
