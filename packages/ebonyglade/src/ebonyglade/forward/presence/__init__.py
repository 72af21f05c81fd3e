"""Which other entries may serve callers, and what this process may use beside them."""
