"""Experiments: the decisions against their baselines, with fixed seeds."""
