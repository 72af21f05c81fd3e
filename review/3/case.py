"""Callers get successes that no worker has signed.

A faulty worker hands out wrong bytes in place of a few of its answers: they look like a
success, and bear no receipt.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lib import bookings
from lib.deployment import Record, run_case

RECORD = Path(__file__).resolve().parent / "record.txt"
WRONG = b"wrong bytes"


class FaultyWorker(bookings.FaultyWorker):
    """Sends wrong bytes in place of some of its answers."""

    async def respond(self, channel, head, arrival):
        """Send the answer, or wrong bytes without a receipt."""
        if not self.garbles_now():
            await super().respond(channel, head, arrival)
            return
        bookings.FaultyWorker.wrong += 1
        arrival.ended = "answered with wrong bytes"
        await channel.answer(200, {"X-Request-Id": arrival.id}, WRONG)


async def case(record: Record) -> bool:
    """Run the case; return whether the rule was broken."""
    played = await bookings.play(record, FaultyWorker)
    unsigned = [
        item
        for item in played.outcomes
        if 200 <= item.status < 300 and "x-response-signature" not in item.headers
    ]
    for item in unsigned:
        record.add(f"MIXED {item.id} got {item.status} unsigned: {item.body!r}")
    record.add(f"successes without a signature: {len(unsigned)}")
    return bool(unsigned)


if __name__ == "__main__":
    sys.exit(run_case(RECORD, case))
