"""What both daemons share: settings, links, logs, metrics and platform watch."""
