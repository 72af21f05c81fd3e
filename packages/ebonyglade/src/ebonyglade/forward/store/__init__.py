"""Replica of the platform's store, and how members keep it in sync."""
