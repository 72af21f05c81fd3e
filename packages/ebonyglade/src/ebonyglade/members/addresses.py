"""Where instances take messages: what the list says and what they say."""

from ebonyglade.ports import Transport


class Addresses:
    """Decides between the published address and the one of an envelope.

    The list lags, so what an instance says itself counts until the list's own
    entry changes; a late message of a process that was replaced does not.
    """

    def __init__(self, transport: Transport) -> None:
        self._transport = transport
        self._listed: dict[str, str] = {}
        self._direct: dict[str, tuple[str, str]] = {}
        self._past: dict[str, str] = {}

    def listed(self, instance: str, address: str) -> None:
        """Take the address of a list entry, unless it is as before."""
        if self._listed.get(instance) != address:
            self._listed[instance] = address
            self._transport.learn(instance, address)

    def direct(self, instance: str, incarnation: str, address: str) -> None:
        """Take the address that an instance put on its own message."""
        known = self._direct.get(instance)
        if not address or known == (incarnation, address):
            return
        if self._past.get(instance) == incarnation:
            return
        if known is not None and known[0] != incarnation:
            self._past[instance] = known[0]
        self._direct[instance] = (incarnation, address)
        self._transport.learn(instance, address)

    def forget(self, instance: str) -> None:
        """Drop everything about an instance that left."""
        for table in (self._listed, self._direct, self._past):
            table.pop(instance, None)
