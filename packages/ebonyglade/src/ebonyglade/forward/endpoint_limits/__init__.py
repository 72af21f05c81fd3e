"""How the limits that endpoints state are kept over the fleet."""
