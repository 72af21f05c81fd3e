"""The daemon beside each endpoint: the only one that sends to it."""
