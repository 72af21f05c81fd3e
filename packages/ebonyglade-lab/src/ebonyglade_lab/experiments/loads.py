"""Seeded loads of model requests."""

import random
from dataclasses import dataclass

BYTES_PER_TOKEN = 4
MAX_OUTPUT_TOKENS = 400


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a load.

    Attributes:
        at: seconds after the start.
        prompt: its text.
        tokens: prompt tokens.
        length: tokens of its answer.
        workspace: who sends it.
        patient: whether its route accepts waiting.
    """

    at: float
    prompt: str
    tokens: int
    length: int
    workspace: str = "physics"
    patient: bool = False


@dataclass(frozen=True, slots=True)
class Shape:
    """Sizes of the requests of a load.

    Attributes:
        prompt_median: median of the prompt tokens, which are lognormal.
        prompt_most: longest prompt, in tokens.
        length_mean: mean tokens of an answer.
        shared: share of the requests that begin with a common prefix.
        prefixes: number of the common prefixes.
        prefix_tokens: tokens of a common prefix.
    """

    prompt_median: float = 900.0
    prompt_most: int = 6000
    length_mean: float = 100.0
    shared: float = 0.4
    prefixes: int = 12
    prefix_tokens: int = 1024


def poisson(
    rng: random.Random,
    rate: float,
    seconds: float,
    shape: Shape,
    workspace: str = "physics",
    patient: bool = False,
) -> list[Arrival]:
    """Return requests that arrive independently of each other."""
    arrivals = []
    at = rng.expovariate(rate)
    while at < seconds:
        arrivals.append(_arrival(rng, at, shape, workspace, patient))
        at += rng.expovariate(rate)
    return arrivals


def _arrival(
    rng: random.Random, at: float, shape: Shape, workspace: str, patient: bool
) -> Arrival:
    tokens = int(
        min(shape.prompt_most, rng.lognormvariate(0, 0.7) * shape.prompt_median)
    )
    tokens = max(16, tokens)
    prefix = ""
    if rng.random() < shape.shared:
        number = rng.randrange(shape.prefixes)
        prefix = f"prefix {number} " * shape.prefix_tokens
        prefix = prefix[: min(shape.prefix_tokens, tokens - 8) * BYTES_PER_TOKEN]
    own = f"{rng.getrandbits(64):016x} "
    text = prefix + own * tokens
    length = int(rng.gammavariate(2.0, shape.length_mean / 2.0))
    length = min(MAX_OUTPUT_TOKENS, max(4, length))
    prompt = text[: tokens * BYTES_PER_TOKEN]
    return Arrival(at, prompt, tokens, length, workspace, patient)
