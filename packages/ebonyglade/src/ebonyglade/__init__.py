"""Core library of a request router for pools of prefill and decode engines.

Nothing here opens a socket, reads a wall clock or starts a timer: clocks,
randomness and transports are passed in, so that the same code runs in the
daemons, on a virtual clock and inside other programs.
"""

__version__ = "0.1.0"
