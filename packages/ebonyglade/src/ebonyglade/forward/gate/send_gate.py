"""The check that each request passes immediately before it is sent.

Seconds may lie between the choice of an endpoint and the sending: a prefill, or the
wait for memory, a lease, a permit or a connection. Whatever may have changed meanwhile
is asked here, in one table, which stands on the page docs/design/eligibility.md.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ebonyglade.forward.balancing.endpoint_loads import EndpointLoads
from ebonyglade.forward.call import ForwardCall
from ebonyglade.forward.eligibility.eligibility import Eligibility
from ebonyglade.forward.store.store_replica import StoreReplica
from ebonyglade.forward.types import Endpoint, Stage
from ebonyglade.ports import Clock
from ebonyglade.quarantine.evidence import CrashEvidence
from ebonyglade.verdict import Refusal, refuse

# With less time left a useful response is not possible and no attempt is sent.
MIN_REMAINING_S = 0.02


class Obstacle(Enum):
    """Why a request may not be sent to an endpoint now; the values are for logs."""

    NOT_LISTED = "not_listed"  # also if another process has its id since
    LEAVING = "leaving"
    EVACUATED_ZONE = "evacuated_zone"
    HOME_REGIONS = "home_regions"
    OTHER_STAGE = "other_stage"  # it changes its stage
    OTHER_SOFTWARE = "other_software"  # another version began the stream
    BACKOFF = "backoff"
    NO_SERVICE = "no_service"  # the configuration has the service no more
    CRASHES = "crashes"
    KEY = "key"
    DEADLINE = "deadline"


@dataclass(frozen=True, slots=True)
class SendGate:
    """Decides whether a request may be sent to an endpoint that was chosen before.

    Attributes:
        replica: local replica of the store with endpoints and configuration.
        eligibility: evacuated zones and home regions.
        loads: backoff of endpoints.
        crashes: evidence of requests that crash endpoints.
        clock: seconds.
        max_key_age_s: age of the configuration above which its keys are no longer
            accepted; None if they are accepted at any age.
    """

    replica: StoreReplica
    eligibility: Eligibility
    loads: EndpointLoads
    crashes: CrashEvidence
    clock: Clock
    max_key_age_s: float | None = None

    def obstacle(self, call: ForwardCall, endpoint: Endpoint) -> Obstacle | None:
        """Return why a request may not be sent to an endpoint now; None if it may."""
        for obstacle, applies in _OBSTACLES.items():
            if applies(self, call, endpoint):
                return obstacle
        return None

    def permits(self, call: ForwardCall, endpoint: Endpoint) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        return self.obstacle(call, endpoint) is None

    def refusal(self, call: ForwardCall) -> Refusal | None:
        """Refuse a request that may be sent to no endpoint, whichever is chosen."""
        return self._crash_refusal(call) or self._key_refusal(call)

    def keys_too_old(self) -> bool:
        """Return whether the configuration is too old for its keys to be accepted."""
        max_age_s = self.max_key_age_s
        return max_age_s is not None and self.replica.age(self.clock()) > max_age_s

    def _crash_refusal(self, call: ForwardCall) -> Refusal | None:
        now = self.clock()
        blocked_s = self.crashes.blocked_for(call.fingerprint, now)
        if blocked_s:
            return refuse("crashes_endpoints", retry_after=blocked_s)
        blocked_s = self.crashes.parts_blocked_for(call.shared_parts, now)
        if blocked_s:
            return refuse("prompt_part_crashes_endpoints", retry_after=blocked_s)
        return None

    def _key_refusal(self, call: ForwardCall) -> Refusal | None:
        """Refuse a request whose key was withdrawn, or can't be confirmed any more."""
        table = self.replica.table
        if call.workspace is None or table is None:
            return None
        if self.keys_too_old():
            return refuse("configuration_old")
        if call.metadata.key in table.workspaces_by_key:
            return None
        return refuse("key_withdrawn")

    def _listed(self, endpoint: Endpoint) -> Endpoint | None:
        """Return an endpoint as it is listed now; None if its process is not."""
        listed = self.replica.registry.endpoints.get(endpoint.id)
        same = listed is not None and listed.incarnation == endpoint.incarnation
        return listed if same else None

    def _is_not_listed(self, call: ForwardCall, endpoint: Endpoint) -> bool:
        return self._listed(endpoint) is None

    def _is_leaving(self, call: ForwardCall, endpoint: Endpoint) -> bool:
        return self._listed(endpoint).leaving

    def _is_evacuated(self, call: ForwardCall, endpoint: Endpoint) -> bool:
        return self.eligibility.is_evacuated(endpoint)

    def _is_not_at_home(self, call: ForwardCall, endpoint: Endpoint) -> bool:
        return not self.eligibility.permits(call, endpoint)

    def _has_other_stage(self, call: ForwardCall, endpoint: Endpoint) -> bool:
        return self._listed(endpoint).stage is not endpoint.stage

    def _has_other_software(self, call: ForwardCall, endpoint: Endpoint) -> bool:
        # Prompts are prefilled at any version; only events must be of one version.
        any_version = call.software is None or endpoint.stage is Stage.PREFILL
        return not any_version and self._listed(endpoint).software != call.software

    def _is_in_backoff(self, call: ForwardCall, endpoint: Endpoint) -> bool:
        return self.loads.in_backoff(endpoint.id, self.clock())

    def _has_no_service(self, call: ForwardCall, endpoint: Endpoint) -> bool:
        table = self.replica.table
        return table is not None and call.service.name not in table.services

    def _crashes_endpoints(self, call: ForwardCall, endpoint: Endpoint) -> bool:
        return self._crash_refusal(call) is not None

    def _has_no_key(self, call: ForwardCall, endpoint: Endpoint) -> bool:
        return self._key_refusal(call) is not None

    def _is_too_late(self, call: ForwardCall, endpoint: Endpoint) -> bool:
        return self.clock() + MIN_REMAINING_S > call.deadline


# In this order; the later ones read what the first one has found listed.
_OBSTACLES: dict[Obstacle, Callable[[SendGate, ForwardCall, Endpoint], bool]] = {
    Obstacle.NOT_LISTED: SendGate._is_not_listed,
    Obstacle.LEAVING: SendGate._is_leaving,
    Obstacle.EVACUATED_ZONE: SendGate._is_evacuated,
    Obstacle.HOME_REGIONS: SendGate._is_not_at_home,
    Obstacle.OTHER_STAGE: SendGate._has_other_stage,
    Obstacle.OTHER_SOFTWARE: SendGate._has_other_software,
    Obstacle.BACKOFF: SendGate._is_in_backoff,
    Obstacle.NO_SERVICE: SendGate._has_no_service,
    Obstacle.CRASHES: SendGate._crashes_endpoints,
    Obstacle.KEY: SendGate._has_no_key,
    Obstacle.DEADLINE: SendGate._is_too_late,
}
