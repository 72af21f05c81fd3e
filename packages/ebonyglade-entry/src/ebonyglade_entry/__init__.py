"""The daemon on the entry instances: serves callers over HTTP."""
