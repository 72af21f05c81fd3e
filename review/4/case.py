"""A booking that has run is answered 503, which promises that it has not.

A faulty worker runs a few bookings and hands out wrong bytes in place of its answers:
a 503 that does not say that the request was not run.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lib import bookings
from lib.deployment import Record, run_case

RECORD = Path(__file__).resolve().parent / "record.txt"
PROMISES = (408, 421, 429, 503)


class FaultyWorker(bookings.FaultyWorker):
    """Sends wrong bytes in place of some of its answers."""

    async def respond(self, channel, head, arrival):
        """Send the answer, or a 503 without a receipt and without `X-Not-Executed`."""
        if not self.garbles_now():
            await super().respond(channel, head, arrival)
            return
        bookings.FaultyWorker.wrong += 1
        arrival.ended = "answered with wrong bytes"
        await channel.answer(503, {"X-Request-Id": arrival.id}, b"wrong bytes")


async def case(record: Record) -> bool:
    """Run the case; return whether the rule was broken."""
    played = await bookings.play(record, FaultyWorker)
    refused = [
        item
        for item in played.outcomes
        if item.id in played.bookings
        and item.status in PROMISES
        and played.runs(item.id)
    ]
    for item in refused:
        where = " and ".join(played.runs(item.id))
        record.add(f"REFUSED booking {item.id} got {item.status}; it ran at {where}")
    record.add(f"bookings refused that had run: {len(refused)}")
    return bool(refused)


if __name__ == "__main__":
    sys.exit(run_case(RECORD, case))
