"""The entry that forwards requests directly to endpoints, without agents."""
