"""Tokens that workspaces got, against their rate and burst."""

from dataclasses import dataclass, field

TOLERANCE = 1e-3  # tokens


@dataclass(slots=True)
class Spending:
    """Finds a window of any length with more than rate x time + burst.

    Such a window exists exactly if a bucket that leaks at the rate ever holds
    more than the burst.

    Attributes:
        rate: tokens a second of each workspace.
        burst: tokens at once of each workspace.
        total: tokens by workspace.
    """

    rate: float
    burst: float
    total: dict[str, float] = field(default_factory=dict)
    _levels: dict[str, tuple[float, float]] = field(default_factory=dict)

    def add(self, workspace: str, tokens: float, now: float) -> float:
        """Note tokens and return by how many the bound is exceeded, or less."""
        level, last = self._levels.get(workspace, (0.0, now))
        level = max(0.0, level - self.rate * (now - last)) + tokens
        self._levels[workspace] = (level, now)
        self.total[workspace] = self.total.get(workspace, 0.0) + tokens
        return level - self.burst - TOLERANCE
