"""Processor time of the check before each send, at a number of listed endpoints.

Run with `python tests/benchmarks/send_gate.py [endpoints]`.
"""

import sys
import time
import timeit
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from ebonyglade.forward.types import Workspace
from helpers.forwarding import (
    MODEL,
    at,
    attempt_sender,
    configuration,
    decode,
    forward_call,
    prompt,
)

CALLS = 2000
REPEATS = 7


def main():
    """Print the microseconds of a check, the least and the median of some repeats."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 300
    endpoints = [decode(f"d{number}", software="v1") for number in range(count)]
    sender = attempt_sender(None, time.monotonic, *endpoints)
    workspace = Workspace("w", ("key",))
    sender.replica.apply([configuration(1, count + 100)], at(count + 100))
    call = forward_call(time.monotonic, MODEL, prompt=prompt())
    call.deadline += 3600.0
    call.workspace, call.software = workspace, "v1"
    assert sender.gate.permits(call, endpoints[-1])
    seconds = timeit.repeat(
        lambda: sender.gate.permits(call, endpoints[-1]), number=CALLS, repeat=REPEATS
    )
    micros = sorted(item / CALLS * 1e6 for item in seconds)
    print(f"{count} endpoints: {micros[0]:.2f} us least, {micros[REPEATS // 2]:.2f} us")


if __name__ == "__main__":
    main()
