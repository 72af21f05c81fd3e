"""Memory of model endpoints: queues, grants and reservations."""
