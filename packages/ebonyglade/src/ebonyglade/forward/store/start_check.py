"""Whether a process that has just started may use the configuration that it read.

A store that came back from an older copy lists an older configuration, with keys that
were withdrawn since. Only the other members know that it is outdated.
"""

from dataclasses import dataclass

# For the first heartbeat of another member; after it the process goes on alone.
MAX_WAIT_S = 1.0


@dataclass(slots=True)
class StartCheck:
    """Compares the configuration at the start with that of another member.

    Attributes:
        started_at: when the process started, in seconds.
        passed: whether nothing has to be compared any more; set from the start if no
            other member can be known.
    """

    started_at: float
    passed: bool

    def record_stated(self, own: int, stated: int) -> None:
        """Record the configuration version that another member states.

        Args:
            own: version in force here; 0 if none is known.
            stated: version in force at the member.
        """
        if 0 < own >= stated:
            self.passed = True

    def is_open(self, now: float) -> bool:
        """Return whether requests have to wait for the comparison."""
        self.passed = self.passed or now - self.started_at >= MAX_WAIT_S
        return not self.passed
