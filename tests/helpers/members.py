"""Contexts of processes on the simulated network."""

import random

from ebonyglade.context import Context, Identity
from ebonyglade_lab.virtual.network import VirtualTransport


def member_context(process, network):
    """Return the context of a process whose instance id is also its address."""
    return Context(
        identity=Identity(process.instance, process.incarnation, "z"),
        transport=VirtualTransport(process, network),
        clock=process.clock,
        wall_clock=process.clock,
        rng=random.Random(process.instance),
    )
