"""Fleet membership: peer health, addresses and the relay topology."""
