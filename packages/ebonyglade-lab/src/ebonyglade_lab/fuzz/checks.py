"""Bounds of the oracle's checks, and which of them have their mechanism."""

# Seconds within which a change is in force at an undisturbed process.
IN_FORCE_S = 4.0
# Seconds within which a withdrawn key stops working.
KEY_STOPS_S = 4.0
# Seconds after which a leaving endpoint gets nothing new.
LEAVING_S = 5.0
# Seconds by which an answer may overrun its deadline.
LATE_ANSWER_S = 1.0
# Seconds without faults after which a request must not be cut off.
SETTLED_S = 12.0
# Most endpoints that one repeated request may crash.
POISON_DEATHS = 6

# Seconds after which memory of a request that is gone is free, while the agent
# runs and reaches its engine: see docs/design/engine-memory.md.
LEASE_S = 3.0
TICK_S = 0.25
ASK_S = 0.5
LATE_MESSAGE_S = 0.5
MEMORY_FREE_S = LEASE_S + 2 * TICK_S + 2 * ASK_S + LATE_MESSAGE_S

# Checks whose mechanism has not landed; each is turned on with it.
CHECK_VERDICT_OVER_ATTEMPTS = True
# Whether only one direction of a connection may go silent.
ONE_WAY_SILENCE = True
CHECK_REPEATS_RUN_ONCE = True
CHECK_RATES = True
CHECK_POISON = True
CHECK_STREAMS_OF_WITHDRAWN_KEYS = True
CHECK_RESTARTED_REVISION = True
