"""Limits on the rate and burst of each workspace, enforced over the whole fleet."""
