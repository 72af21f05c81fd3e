"""Rate and burst of workspaces over the whole fleet."""
