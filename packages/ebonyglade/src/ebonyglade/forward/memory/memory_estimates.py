"""Estimates of the free memory at decode endpoints, and of what requests need."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ebonyglade.forward.types import Endpoint, PromptSize, Service
from ebonyglade.wire.fleet import EngineState

# Share of the expected answer that is reserved with the prompt. Runs that started
# earlier end earlier and free their memory while this one grows.
RESERVED_ANSWER_SHARE = 0.8
# Share of the maximum tokens that is expected if the caller gives no estimate.
DEFAULT_ANSWER_SHARE = 0.5
# Part of the answer that is reserved at the endpoint if its agent has granted memory
# for the whole run.
INITIAL_ANSWER_TOKENS = 256
RESERVE_RETRY_S = 0.1  # after a failed reservation at an endpoint, until it is retried
MEMORY_REPORT_MAX_AGE_S = 1.0  # agents' reports that are older are ignored


def expected_answer_tokens(prompt: PromptSize) -> int:
    """Return the expected tokens of an answer."""
    if prompt.expected_tokens is None:
        return int(DEFAULT_ANSWER_SHARE * prompt.max_tokens)
    return min(prompt.expected_tokens, prompt.max_tokens)


def reservation_tokens(prompt: PromptSize, service: Service) -> int:
    """Return the tokens to reserve for a request."""
    wanted = prompt.prompt_tokens + int(
        RESERVED_ANSWER_SHARE * expected_answer_tokens(prompt)
    )
    return min(wanted, service.engine.memory_tokens)


def initial_tokens(prompt_tokens: int, answer_tokens: int) -> int:
    """Return the tokens to reserve at an endpoint whose agent has granted memory.

    The agent has checked that the whole run fits, so that only its beginning is
    reserved, and never more than was granted.
    """
    return prompt_tokens + min(INITIAL_ANSWER_TOKENS, answer_tokens)


@dataclass(slots=True)
class _EndpointMemory:
    """One endpoint's memory.

    Attributes:
        own_tokens: tokens of this entry's own requests there.
        retry_at: when the endpoint may be asked again.
        reported: newest report of its agent.
        reported_at: time that the report is of.
    """

    own_tokens: int = 0
    retry_at: float = 0.0
    reported: EngineState | None = None
    reported_at: float = float("-inf")


@dataclass(slots=True)
class MemoryEstimates:
    """Estimated memory of decode endpoints, from own requests and agents' reports."""

    _by_endpoint: dict[str, _EndpointMemory] = field(default_factory=dict)

    def update_from_agent(self, state: EngineState, now: float) -> None:
        """Record the report of the agent beside an endpoint."""
        known = self._memory_of(state.endpoint)
        known.reported, known.reported_at = state, now - state.age_s

    def add_own(self, endpoint: str, tokens: int) -> None:
        """Add the tokens of a request at an endpoint."""
        self._memory_of(endpoint).own_tokens += tokens

    def remove_own(self, endpoint: str, tokens: int) -> None:
        """Subtract the tokens of a request that has ended."""
        known = self._memory_of(endpoint)
        known.own_tokens -= tokens
        known.retry_at = 0.0

    def defer(self, endpoint: str, now: float) -> None:
        """Record that a reservation failed; the endpoint is not asked for a while."""
        self._memory_of(endpoint).retry_at = now + RESERVE_RETRY_S

    def by_free_memory(
        self, endpoints: Iterable[Endpoint], now: float
    ) -> list[Endpoint]:
        """Return the endpoints to ask now, those with the most free memory first."""
        worth_asking = [
            item for item in endpoints if self._memory_of(item.id).retry_at <= now
        ]
        return sorted(worth_asking, key=lambda item: self._sort_key(item.id, now))

    def is_full(self, endpoint: Endpoint, tokens: int, now: float) -> bool:
        """Return whether an endpoint reported no room for a request of this size."""
        known = self._memory_of(endpoint.id)
        report = known.reported
        if report is None or now - known.reported_at >= MEMORY_REPORT_MAX_AGE_S:
            return False
        return (
            report.queued > 0
            or report.running >= endpoint.slots
            or report.free_tokens < tokens
        )

    def retain(self, endpoints: Iterable[str]) -> None:
        """Forget all other endpoints without requests of this entry."""
        kept = set(endpoints)
        for name in [name for name in self._by_endpoint if name not in kept]:
            if not self._by_endpoint[name].own_tokens:
                del self._by_endpoint[name]

    def _sort_key(self, endpoint: str, now: float) -> float:
        """Return a sort key: lower for the endpoint that should be asked first.

        Endpoints with a recent report come first, the one with the most free memory
        first; then those without one, the one with the fewest tokens of this entry's
        own requests first.
        """
        known = self._memory_of(endpoint)
        if (
            known.reported is not None
            and now - known.reported_at < MEMORY_REPORT_MAX_AGE_S
        ):
            return -known.reported.free_tokens
        return known.own_tokens

    def _memory_of(self, endpoint: str) -> _EndpointMemory:
        known = self._by_endpoint.get(endpoint)
        if known is None:
            known = self._by_endpoint[endpoint] = _EndpointMemory()
        return known
