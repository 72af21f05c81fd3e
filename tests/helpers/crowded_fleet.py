"""An entry of the own interface as a process of its own, for crowds of callers."""

from contextlib import contextmanager
from dataclasses import dataclass

from ebonyglade_lab.fleet import KEY, FleetSize
from ebonyglade_lab.processes import prepare_processes
from helpers.crowds import Target, Watch, answer_status, descriptors

ENTRY = "entry-1"
AUTHORIZATION = f"Authorization: Bearer {KEY}"
SIZE = FleetSize(entries=1, prefill=1, decode=1, service=1)


@dataclass
class CrowdedFleetEntry:
    """The entry and its addresses.

    Attributes:
        watch: what its process holds.
        callers: address for callers.
        status: address of its local status server.
    """

    watch: Watch
    callers: str
    status: str

    async def serves(self):
        """Return whether ordinary requests are answered at both addresses."""
        booking = Target("/bookings", key=AUTHORIZATION)
        booked = await answer_status(
            self.callers, lambda: booking.head("Content-Length: 4") + b"seat"
        )
        asked = [(self.callers, "/readyz"), (self.status, "/metrics")]
        statuses = [
            await answer_status(address, lambda path=path: _get(path))
            for address, path in asked
        ]
        return [booked, *statuses] == [201, 200, 200]


def _get(path):
    return Target(path, key="").head(method="GET")


@contextmanager
def crowded_fleet_entry(folder, open_files=None, **http):
    """Yield an entry that runs; `http` are settings of its section of that name."""
    processes = prepare_processes(folder, SIZE, {"http": http})
    try:
        with descriptors(open_files):
            processes.start_all()
        entry = processes.plan.of_role("entry")[0]
        yield CrowdedFleetEntry(
            Watch(processes.running[ENTRY].pid),
            entry.url.removeprefix("http://"),
            entry.status_url.removeprefix("http://"),
        )
    finally:
        processes.stop_all()
