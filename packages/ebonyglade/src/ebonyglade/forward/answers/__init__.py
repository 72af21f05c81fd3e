"""What endpoints' responses prove about the requests that they answer."""
