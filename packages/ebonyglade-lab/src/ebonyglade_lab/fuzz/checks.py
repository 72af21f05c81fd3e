"""Limits that the oracle checks against, and switches of single checks."""

# Time until a configuration change is in force on an instance without faults.
MAX_PROPAGATION_S = 4.0
# Time until a withdrawn key is no longer accepted.
MAX_KEY_WITHDRAWAL_S = 4.0
# Time after which an endpoint that is listed as leaving gets no new work.
MAX_LEAVING_NOTICE_S = 5.0
# Time by which an answer may come after its deadline.
MAX_DEADLINE_OVERRUN_S = 1.0
# A request must not be cut off if no instance had a fault for its whole duration
# and this long before it.
MIN_FAULT_FREE_S = 12.0
# Exclusive upper limit of endpoint crashes that one repeated request may cause.
MAX_POISON_CRASHES = 6

# Time until the engine memory of a request that nobody waits for is free, while the
# agent runs and reaches its engine: see docs/design/engine-memory.md. It adds up the
# lease, two of the agent's timer periods, two periods in which the agent asks the
# engine for the jobs that it holds, and the delay of a late message.
LEASE_S = 3.0
TICK_S = 0.25
HELD_JOBS_POLL_S = 0.5
LATE_MESSAGE_S = 0.5
MEMORY_FREE_S = LEASE_S + 2 * TICK_S + 2 * HELD_JOBS_POLL_S + LATE_MESSAGE_S

# Switches of checks. A check is switched on together with the mechanism that the
# product needs to pass it.
CHECK_NOT_RUN_OF_ALL_ATTEMPTS = True
# Whether a lost connection may lose the messages of one direction only.
ONE_WAY_CONNECTION_LOSS = True
CHECK_REPEATED_BOOKINGS = True
CHECK_RATES = True
CHECK_POISON = True
CHECK_STREAMS_OF_WITHDRAWN_KEYS = True
CHECK_RESTARTED_REVISION = True
