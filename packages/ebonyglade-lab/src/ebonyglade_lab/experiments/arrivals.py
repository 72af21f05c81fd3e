"""Generates the arrivals of model requests from a seed."""

import random
from dataclasses import dataclass

BYTES_PER_TOKEN = 4
MAX_OUTPUT_TOKENS = 400


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a load.

    Attributes:
        at: seconds after the start of the load.
        prompt: text of the prompt.
        prompt_tokens: length of the prompt, in tokens.
        answer_tokens: length of the answer, in tokens.
        workspace: workspace that sends the request.
        patient: whether its route accepts waiting.
    """

    at: float
    prompt: str
    prompt_tokens: int
    answer_tokens: int
    workspace: str = "physics"
    patient: bool = False


@dataclass(frozen=True, slots=True)
class RequestSizes:
    """Distribution of the sizes of the requests of a load.

    Attributes:
        median_prompt_tokens: median of the prompt tokens, which are lognormal.
        max_prompt_tokens: longest prompt, in tokens.
        mean_answer_tokens: mean tokens of an answer, which are gamma distributed.
        shared_prefix_share: share of the requests that begin with a common prefix.
        prefix_count: number of different common prefixes.
        prefix_tokens: tokens of a common prefix.
    """

    median_prompt_tokens: float = 900.0
    max_prompt_tokens: int = 6000
    mean_answer_tokens: float = 100.0
    shared_prefix_share: float = 0.4
    prefix_count: int = 12
    prefix_tokens: int = 1024


def poisson_arrivals(
    rng: random.Random,
    rate: float,
    seconds: float,
    sizes: RequestSizes,
    workspace: str = "physics",
    patient: bool = False,
) -> list[Arrival]:
    """Return the requests of a Poisson process with `rate` arrivals a second."""
    arrivals = []
    at = rng.expovariate(rate)
    while at < seconds:
        arrivals.append(_arrival(rng, at, sizes, workspace, patient))
        at += rng.expovariate(rate)
    return arrivals


def _arrival(
    rng: random.Random, at: float, sizes: RequestSizes, workspace: str, patient: bool
) -> Arrival:
    tokens = int(
        min(
            sizes.max_prompt_tokens,
            rng.lognormvariate(0, 0.7) * sizes.median_prompt_tokens,
        )
    )
    tokens = max(16, tokens)
    prefix = ""
    if rng.random() < sizes.shared_prefix_share:
        number = rng.randrange(sizes.prefix_count)
        prefix = f"prefix {number} " * sizes.prefix_tokens
        prefix = prefix[: min(sizes.prefix_tokens, tokens - 8) * BYTES_PER_TOKEN]
    own = f"{rng.getrandbits(64):016x} "
    text = prefix + own * tokens
    length = int(rng.gammavariate(2.0, sizes.mean_answer_tokens / 2.0))
    length = min(MAX_OUTPUT_TOKENS, max(4, length))
    prompt = text[: tokens * BYTES_PER_TOKEN]
    return Arrival(at, prompt, tokens, length, workspace, patient)
