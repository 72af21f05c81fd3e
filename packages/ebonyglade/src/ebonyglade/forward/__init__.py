"""Requests that are forwarded as they came, straight from entry to endpoint."""
