"""The entry where requests are forwarded as they came."""
