"""What becomes of a request whose attempt failed."""
