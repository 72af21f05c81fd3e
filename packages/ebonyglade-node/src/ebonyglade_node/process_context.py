"""Creates the context of a process: identity, transport, clocks and randomness."""

import logging
import random
import secrets
import time

from ebonyglade.context import Context, Identity
from ebonyglade.events import Events
from ebonyglade.invariants import Invariants
from ebonyglade.ports import Clock
from ebonyglade.timer import TimerService
from ebonyglade_node.link import Link
from ebonyglade_node.metrics import Metrics

logger = logging.getLogger(__name__)

INCARNATION_BYTES = 8


def new_incarnation() -> str:
    """Return an id that distinguishes this start of the instance from others."""
    return secrets.token_hex(INCARNATION_BYTES)


def new_context(
    identity: Identity, link: Link, clock: Clock, metrics: Metrics
) -> Context:
    """Return the context of a process that sends through a link.

    An error in a timer's or an event's subscriber is logged and counted; it ends
    neither the process nor the calls of the other subscribers.
    """

    def log_error(error: Exception) -> None:
        metrics.count("subscriber_errors")
        logger.error("subscriber failed", exc_info=error)

    return Context(
        identity=identity,
        transport=link,
        clock=clock,
        wall_clock=time.time,
        rng=random.Random(secrets.randbits(128)),
        token_bytes=secrets.token_bytes,
        count=metrics.count,
        timers=TimerService(log_error),
        events=Events(log_error),
        invariants=Invariants(count=metrics.count),
    )
