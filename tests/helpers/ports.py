"""TCP ports for servers that tests start."""

import os
import socket
from itertools import count

# Above the ports of process fleets and below the ephemeral ports: a connection may take
# one of these between the choice of a port and its use.
FIRST_PORT = 30_000
WORKERS = 9
PORTS_PER_WORKER = 300

_worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
_first = FIRST_PORT + _worker % WORKERS * PORTS_PER_WORKER
# Runs beside each other begin at different ports.
_numbers = count(os.getpid() * 37)


def free_port():
    """Return a free port that no other worker of this run chooses."""
    for _ in range(PORTS_PER_WORKER):
        port = _first + next(_numbers) % PORTS_PER_WORKER
        with socket.socket() as opened:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                opened.bind(("", port))
            except OSError:
                continue
            return port
    raise RuntimeError("all ports of this worker are in use")
