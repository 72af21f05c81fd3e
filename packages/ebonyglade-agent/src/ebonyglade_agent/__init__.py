"""The agent daemon, which runs beside an endpoint and alone sends requests to it."""
