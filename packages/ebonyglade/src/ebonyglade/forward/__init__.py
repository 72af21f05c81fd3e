"""Forwarding of requests from an entry directly to an endpoint.

The method, the target and the body of a request are passed on unchanged.
"""
