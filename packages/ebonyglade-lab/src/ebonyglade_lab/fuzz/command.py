"""Runs many seeds, several of them in parallel, and prints a summary."""

import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from ebonyglade.errors import UserError
from ebonyglade_lab.fuzz.driver import Result, run_seed

MAX_SHOWN_VIOLATIONS = 3  # violations that are printed with their traces


def fuzz(seeds: str = "0:20", steps: int = 1000, jobs: int = 2) -> bool:
    """Run seeds and print a summary and the first violations.

    Args:
        seeds: "A:B" for the seeds from A up to B - 1; or one seed.
        steps: steps of each seed; a step applies one rule and lets virtual time pass.
        jobs: seeds that run in parallel.

    Returns:
        True if no check failed.
    """
    seed_range = _parse_seeds(str(seeds))
    began = time.monotonic()
    results = list(_run_seeds(seed_range, steps, jobs))
    failed = [result for result in results if result.violation]
    for result in failed[:MAX_SHOWN_VIOLATIONS]:
        print(_format_violation(run_seed(result.seed, steps, verbose=True)))
    _print_summary(results, failed, time.monotonic() - began)
    return not failed


def _parse_seeds(text: str) -> range:
    first, _, last = text.partition(":")
    try:
        return range(int(first), int(last or int(first) + 1))
    except ValueError:
        raise UserError(f"seeds must be A:B or one number, not {text!r}") from None


def _run_seeds(seeds: range, steps: int, jobs: int) -> Iterator[Result]:
    if jobs == 1:
        yield from (run_seed(seed, steps) for seed in seeds)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(partial(run_seed, steps=steps), seeds)


def _format_violation(result: Result) -> str:
    """Return the violation of a seed and the trace events about it, as text."""
    lines = [f"seed {result.seed}, step {result.steps}: {result.violation}"]
    return "\n".join([*lines, *result.trace, ""])


def _print_summary(results: list[Result], failed: list[Result], seconds: float) -> None:
    counts = sum((result.counts for result in results), Counter())
    for name, count in sorted(counts.items()):
        print(f"{count:10d}  {name}")
    steps = sum(result.steps for result in results)
    slowest = max(result.slowest_free for result in results)
    print(f"{len(results)} seeds, {steps} steps, {seconds:.1f} s")
    print(f"engine memory of a finished request was held for at most {slowest:.2f} s")
    for result in failed:
        print(f"FAILED seed {result.seed} step {result.steps}: {result.violation}")
    print(f"{len(failed)} seeds failed" if failed else "no check failed")
