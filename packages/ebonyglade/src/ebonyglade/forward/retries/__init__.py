"""What repeats of requests may be sent to endpoints."""
