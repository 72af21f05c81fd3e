"""Which endpoints may get a request at all."""
