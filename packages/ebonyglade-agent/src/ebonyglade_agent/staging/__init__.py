"""The agent of a deployment where entries send requests directly to endpoints."""
