"""Finds, isolates and refuses requests that crash endpoints."""
