"""Where a request would be sent now, and why."""
