"""The entry that sends requests directly to endpoints, not through agents."""
