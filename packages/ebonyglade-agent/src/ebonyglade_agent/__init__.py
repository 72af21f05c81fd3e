"""The agent daemon, which runs beside an endpoint.

Unless it runs as `stage`, only the agent sends requests to the endpoint.
"""
