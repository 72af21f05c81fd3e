"""Decisions and coordination parts of a router for prefill and decode pools.

Nothing here opens a socket, reads a wall clock or starts a timer: clocks,
randomness and transports are passed in, so that the same code runs under the
daemons, under a virtual clock and inside other programs.
"""

__version__ = "0.1.0"
