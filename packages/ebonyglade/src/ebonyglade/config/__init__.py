"""Published configuration: its models, its store and the view in force."""
