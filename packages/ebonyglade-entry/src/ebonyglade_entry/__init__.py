"""The entry daemon, which serves callers over HTTP."""
