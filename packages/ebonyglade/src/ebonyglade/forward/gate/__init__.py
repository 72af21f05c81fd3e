"""What is asked again immediately before a request is sent to an endpoint."""
