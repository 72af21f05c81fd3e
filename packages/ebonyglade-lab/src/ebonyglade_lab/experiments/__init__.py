"""Measurements on the virtual clock, against baselines with the same seeds."""
