"""Runtime assertions of invariants.

In production a violation is counted and logged, and the program continues; tests
and long runs raise an error.
"""

import logging
from collections import Counter
from collections.abc import Callable

logger = logging.getLogger(__name__)


class InvariantViolated(AssertionError):
    """An invariant does not hold."""


class Invariants:
    """Counts violations by name; with `strict`, each one raises an error."""

    def __init__(
        self,
        strict: bool = False,
        count: Callable[[str, float], None] = lambda name, by: None,
    ) -> None:
        self._strict = strict
        self._count = count
        self._violations: Counter[str] = Counter()

    @property
    def violations(self) -> Counter[str]:
        """Violations so far, by name."""
        return self._violations

    def require(self, holds: bool, name: str, detail: str = "") -> None:
        """Record a violation of the invariant `name` unless it holds.

        Raises:
            InvariantViolated: it does not hold and `strict` is set.
        """
        if holds:
            return
        self._violations[name] += 1
        self._count(f"violated_{name}", 1)
        logger.error("invariant violated", extra={"invariant": name, "detail": detail})
        if self._strict:
            raise InvariantViolated(f"{name}: {detail}")
