"""Addresses of instances, from the published list and from their messages."""

from ebonyglade.ports import Transport


class Addresses:
    """Chooses between an instance's published address and its announced one.

    The published list may lag behind, so the address that an instance puts on
    its own messages takes precedence until its list entry changes. A late
    message from a previous incarnation does not change the address.
    """

    def __init__(self, transport: Transport) -> None:
        self._transport = transport
        self._listed: dict[str, str] = {}
        self._announced: dict[str, tuple[str, str]] = {}
        self._previous_incarnations: dict[str, str] = {}

    def set_listed(self, instance: str, address: str) -> None:
        """Use the address of a list entry if that address changed."""
        if self._listed.get(instance) != address:
            self._listed[instance] = address
            self._transport.set_address(instance, address)

    def set_announced(self, instance: str, incarnation: str, address: str) -> None:
        """Use the address that an instance put on its own message."""
        known = self._announced.get(instance)
        if not address or known == (incarnation, address):
            return
        if self._previous_incarnations.get(instance) == incarnation:
            return
        if known is not None and known[0] != incarnation:
            self._previous_incarnations[instance] = known[0]
        self._announced[instance] = (incarnation, address)
        self._transport.set_address(instance, address)

    def forget(self, instance: str) -> None:
        """Delete all state of an instance that left the fleet."""
        for table in (self._listed, self._announced, self._previous_incarnations):
            table.pop(instance, None)
