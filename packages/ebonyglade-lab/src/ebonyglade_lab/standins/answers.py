"""The deterministic answer of every stand-in engine to a prompt."""

import hashlib

MIN_TOKENS = 8
TOKENS_RANGE = 56


def answer_tokens(prompt: str, max_tokens: int) -> list[str]:
    """Return the tokens of the answer, the same on every engine."""
    seed = hashlib.sha256(prompt.encode()).digest()
    length = min(max_tokens, MIN_TOKENS + seed[0] % TOKENS_RANGE)
    return [_token(seed, index) for index in range(length)]


def _token(seed: bytes, index: int) -> str:
    digest = hashlib.sha256(seed + index.to_bytes(4, "big")).hexdigest()
    return f" {digest[:4]}"
