"""Request handling in an entry: filters, attempts at agents, and answers."""
