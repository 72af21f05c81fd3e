"""The slack of the retry limit, of which one process of each zone grants a share."""

from dataclasses import dataclass, field

from ebonyglade.forward.retries.retry_budget import USED_SHARE, RetryBudgetLimits
from ebonyglade.retry.budget import RetryBudget

SAVED_SHARE = 0.5  # of the share; the rest comes with time


@dataclass(slots=True)
class RetrySlack:
    """Retries that this process grants to entries, by service.

    They come evenly with time, from nothing on when this process begins to grant them:
    processes that grant one after the other do not know what those before them granted,
    and together grant no more than one that does so all the time.

    Attributes:
        limits: the published limit.
        first_start: whether the whole fleet starts for the first time, so that nothing
            can have been granted yet.
        share: share of the fleet's slack that this process grants now, from 0 to 1.
    """

    limits: RetryBudgetLimits
    first_start: bool = False
    share: float = 0.0
    _granting_since: float = 0.0
    _budgets: dict[str, RetryBudget] = field(default_factory=dict)
    _begins_full: bool = field(init=False)

    def __post_init__(self) -> None:
        self._begins_full = self.first_start

    def set_share(self, share: float, now: float) -> None:
        """Set the share that this process grants from now on."""
        if not self.share and share:
            self._granting_since = now
        if self.share and not share:
            self._budgets.clear()
            self._begins_full = False
        self.share = share

    def take(self, service: str, now: float) -> bool:
        """Grant one retry; False if none is left."""
        return bool(self.share) and self._budget(service).spend(now)

    def give_back(self, service: str) -> None:
        """Take back a retry that was granted and not used."""
        if service in self._budgets:
            self._budgets[service].give_back()

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        granted = USED_SHARE * self.limits.slack * self.share
        if budget is None:
            budget = self._budgets[service] = RetryBudget(
                per_request=0.0,
                saved=granted if self._begins_full else 0.0,
                refilled_at=self._granting_since,
            )
        budget.max_saved = SAVED_SHARE * granted
        budget.min_per_s = (granted - budget.max_saved) / self.limits.window_s
        return budget
