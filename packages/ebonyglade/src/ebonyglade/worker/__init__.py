"""The agent's side of a request: slots, leases and the jobs at the endpoint."""
