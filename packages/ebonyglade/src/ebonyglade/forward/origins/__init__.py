"""Which software version began a stream that callers may take up."""
