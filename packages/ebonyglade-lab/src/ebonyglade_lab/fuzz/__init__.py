"""Seeded runs of the real decisions under faults, judged by a simple oracle."""
