"""Published configuration: document models, store, indexes and relay."""
