"""Requests that crash endpoints: found, isolated and refused."""
