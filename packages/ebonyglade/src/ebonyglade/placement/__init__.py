"""Choice of the endpoints that serve a request."""
