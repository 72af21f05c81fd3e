"""Stand-ins for the outside systems, the demo, loads and experiments."""
