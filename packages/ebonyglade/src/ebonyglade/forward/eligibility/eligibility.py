"""Filter of the endpoints that may get a request, for each send.

An endpoint in an evacuated zone gets nothing. A request whose route or workspace has
home regions is sent to endpoints in these regions only. The filter applies when
candidates are listed, and again immediately before a request is sent, since it may have
waited.
"""

import logging
from collections.abc import Mapping
from dataclasses import dataclass, field

from ebonyglade.forward.call import ForwardCall
from ebonyglade.forward.eligibility.home_regions import HomeRegions, home_regions
from ebonyglade.forward.store.store_replica import StoreReplica
from ebonyglade.forward.types import Endpoint, Stage
from ebonyglade.ports import Clock
from ebonyglade.verdict import Refusal, refuse

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Eligibility:
    """Decides which endpoints may get a request.

    Attributes:
        replica: local replica of the store with the evacuated zones and home regions.
        clock: seconds.
        regions: region of each availability zone, as far as known.
    """

    replica: StoreReplica
    clock: Clock
    regions: Mapping[str, str] = field(default_factory=dict)

    def is_evacuated(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is in an evacuated zone."""
        return endpoint.zone in self.replica.evacuations.zones

    def homes(self, call: ForwardCall) -> HomeRegions:
        """Return the home regions of a request by the configuration in force."""
        return home_regions(call, self.replica.table)

    def restricts(self, call: ForwardCall) -> bool:
        """Return whether a request may be sent to some endpoints only."""
        return bool(self.replica.evacuations.zones) or self.homes(call) is not None

    def permits(self, call: ForwardCall, endpoint: Endpoint) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        return bool(self.eligible(call, [endpoint]))

    def eligible(self, call: ForwardCall, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return those of some endpoints that a request may be sent to now."""
        evacuated = self.replica.evacuations.zones
        homes = self.homes(call)
        if evacuated:
            endpoints = [item for item in endpoints if item.zone not in evacuated]
        if homes is None:
            return endpoints
        regions = self.regions
        found = [item for item in endpoints if regions.get(item.zone) in homes]
        return [item for item in found if self._may_hold_cache(call, item)]

    def cache_region(self, call: ForwardCall, decode: Endpoint) -> str | None:
        """Return the region in which the KV cache of a request's prompt must stay.

        Args:
            call: the request.
            decode: the endpoint that is to decode it.

        Returns:
            None for any region.
        """
        if self.homes(call) is None:
            return None
        return self.regions.get(decode.zone)

    def refusal(self, call: ForwardCall, listed: list[Endpoint]) -> Refusal | None:
        """Refuse a request that may be sent to none of the listed endpoints.

        Returns:
            None if there is an eligible endpoint, or if none is listed.
        """
        if not listed or self.eligible(call, listed):
            return None
        evacuated = all(self.is_evacuated(item) for item in listed)
        refusal = refuse("zone_evacuated" if evacuated else "no_endpoint_in_region")
        homes = self.homes(call)
        logger.info(
            "no eligible endpoint",
            extra={
                "request": call.id,
                "code": refusal.code,
                "service": call.service.name,
                "endpoints": len(listed),
                "evacuated": ",".join(sorted(self.replica.evacuations.zones)),
                "home_regions": "any" if homes is None else ",".join(sorted(homes)),
                "retry_after": refusal.retry_after,
                **self.replica.log_fields(self.clock()),
            },
        )
        return refusal

    def _may_hold_cache(self, call: ForwardCall, endpoint: Endpoint) -> bool:
        """Return whether the KV cache need not leave its region for an endpoint."""
        if endpoint.stage is not Stage.PREFILL or call.cache_region is None:
            return True
        return self.regions.get(endpoint.zone) == call.cache_region
