"""Small stand-ins for the platform, model engines and a booking service."""
