"""Exclusive leases on groups, voted for by the published instances in memory."""
