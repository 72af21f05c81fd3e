"""Shared parts of the review's scripts: stand-ins, clients and processes."""
