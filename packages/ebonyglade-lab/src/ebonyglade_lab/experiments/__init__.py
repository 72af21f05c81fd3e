"""Experiments that print a table and record it under docs/measurements."""
