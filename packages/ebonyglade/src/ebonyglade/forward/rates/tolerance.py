"""What the platform grants above the rates of workspaces, and how much is used."""

from dataclasses import dataclass

from ebonyglade.forward.types import Workspace

# If tokens may already have been spent, a bucket begins with this share of the burst
# overage and slack that buckets do not use (see `USED_OVERAGE_SHARE` and
# `USED_SLACK_SHARE`). The rest covers what entries admit between two heartbeats.
INITIAL_HEADROOM_SHARE = 0.5
# Shares of the published overage and slack that the bucket uses. The rest covers
# what entries admit between two heartbeats.
USED_OVERAGE_SHARE = 0.95
USED_SLACK_SHARE = 0.85


@dataclass(frozen=True, slots=True)
class RateTolerance:
    """What the platform grants above a workspace's rate and burst.

    It also says whether tokens can have been spent before the start.

    Attributes:
        overage: fraction by which rate and burst may be exceeded.
        slack: additional tokens in any window.
        first_start: whether the whole fleet starts for the first time, so that
            no tokens can have been spent yet.
    """

    overage: float = 0.0
    slack: float = 0.0
    first_start: bool = False

    def rate(self, workspace: Workspace) -> float:
        """Return the refill rate of a bucket in tokens per second."""
        return workspace.rate * (1 + USED_OVERAGE_SHARE * self.overage)

    def burst(self, workspace: Workspace) -> float:
        """Return the capacity of a bucket in tokens."""
        burst_with_overage = workspace.burst * (1 + USED_OVERAGE_SHARE * self.overage)
        return burst_with_overage + USED_SLACK_SHARE * self.slack

    def reserve(self, workspace: Workspace, colliding: float) -> float:
        """Return the tokens that stay in a bucket, for requests that collide.

        It is taken from what is granted above the burst, and not more than that.

        Args:
            workspace: the workspace.
            colliding: tokens that requests which collide may cost.
        """
        used = self.burst(workspace) - workspace.burst
        return min(used, max(0.0, colliding - self._unused(workspace)))

    def initial_level(self, workspace: Workspace) -> float:
        """Return the initial tokens of a bucket whose history is not known."""
        return INITIAL_HEADROOM_SHARE * self._unused(workspace)

    def _unused(self, workspace: Workspace) -> float:
        """Return the tokens granted above the burst that a bucket does not use."""
        unused_overage = workspace.burst * (1 - USED_OVERAGE_SHARE) * self.overage
        return unused_overage + (1 - USED_SLACK_SHARE) * self.slack
