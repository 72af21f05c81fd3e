"""What this entry knows of free memory at decode endpoints."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ebonyglade.forward.types import Endpoint, PromptSize, Service
from ebonyglade.wire.fleet import EngineState

# Part of the expected answer that is reserved with the prompt. Runs that began
# earlier end earlier and free their memory while this one grows.
ANSWER_PART = 0.8
# Part of the most tokens that is expected where the caller gives no estimate.
UNHINTED_PART = 0.5
FULL_S = 0.1  # an endpoint that had no room is asked again after this time
TOLD_S = 1.0  # age after which what an agent told is worth nothing


def expected_answer(prompt: PromptSize) -> int:
    """Return the tokens that an answer is expected to have."""
    if prompt.expected_tokens is None:
        return int(UNHINTED_PART * prompt.max_tokens)
    return min(prompt.expected_tokens, prompt.max_tokens)


def reservation(prompt: PromptSize, service: Service) -> int:
    """Return the tokens to reserve for a request."""
    wanted = prompt.prompt_tokens + int(ANSWER_PART * expected_answer(prompt))
    return min(wanted, service.engine.memory_tokens)


@dataclass(slots=True)
class _Known:
    """One endpoint's memory.

    Attributes:
        mine: tokens of this entry's own requests there.
        full_until: when it is worth asking again.
        told: what its agent told, and when that was so.
    """

    mine: int = 0
    full_until: float = 0.0
    told: EngineState | None = None
    told_at: float = float("-inf")


@dataclass(slots=True)
class MemoryBook:
    """Free memory of decode endpoints, by this entry's own account."""

    _known: dict[str, _Known] = field(default_factory=dict)

    def heard(self, state: EngineState, now: float) -> None:
        """Take what the agent beside an endpoint told."""
        known = self._of(state.endpoint)
        known.told, known.told_at = state, now - state.age_s

    def taken(self, endpoint: str, tokens: int) -> None:
        """Note a request at an endpoint."""
        self._of(endpoint).mine += tokens

    def given_back(self, endpoint: str, tokens: int) -> None:
        """Note that a request is over."""
        known = self._of(endpoint)
        known.mine -= tokens
        known.full_until = 0.0

    def full(self, endpoint: str, now: float) -> None:
        """Note that an endpoint had no room."""
        self._of(endpoint).full_until = now + FULL_S

    def order(self, endpoints: Iterable[Endpoint], now: float) -> list[Endpoint]:
        """Return the endpoints worth asking, the emptiest first."""
        worth = [item for item in endpoints if self._of(item.id).full_until <= now]
        return sorted(worth, key=lambda item: self._use(item.id, now))

    def keep(self, endpoints: Iterable[str]) -> None:
        """Forget all other endpoints."""
        kept = set(endpoints)
        for name in [name for name in self._known if name not in kept]:
            if not self._known[name].mine:
                del self._known[name]

    def _use(self, endpoint: str, now: float) -> float:
        known = self._of(endpoint)
        if known.told is not None and now - known.told_at < TOLD_S:
            return -known.told.free_tokens
        return known.mine

    def _of(self, endpoint: str) -> _Known:
        known = self._known.get(endpoint)
        if known is None:
            known = self._known[endpoint] = _Known()
        return known
