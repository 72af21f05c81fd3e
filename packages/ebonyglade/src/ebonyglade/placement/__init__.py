"""Chooses the endpoints that serve a request."""
