"""Exclusive leases on groups, granted in memory by votes of listed instances."""
