"""Idempotency tickets: at most one execution of a call that may not be repeated."""
