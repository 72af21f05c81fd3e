"""Rate limits of workspaces over all entries."""
