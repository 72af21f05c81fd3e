"""Decides how a request continues after a failed attempt."""
