"""Stand-ins for external systems, the demo, the fuzzer and experiments."""
