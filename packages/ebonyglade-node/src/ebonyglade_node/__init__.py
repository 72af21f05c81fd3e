"""Code shared by both daemons: settings, transport, logs, metrics, platform watch."""
