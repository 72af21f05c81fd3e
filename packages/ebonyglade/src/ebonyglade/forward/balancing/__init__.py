"""Choice among endpoints by their load."""
