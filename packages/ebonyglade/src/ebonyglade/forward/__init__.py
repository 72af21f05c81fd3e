"""Requests that an entry forwards unchanged and directly to an endpoint."""
