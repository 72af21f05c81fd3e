"""Seeded runs of the product's decision code under faults, checked by an oracle."""
