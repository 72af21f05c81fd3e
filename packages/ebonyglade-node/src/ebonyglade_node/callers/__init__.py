"""Callers' HTTP connections: listening, limits, and closing in order."""
