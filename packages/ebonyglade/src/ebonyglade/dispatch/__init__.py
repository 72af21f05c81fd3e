"""The entry's side of a request: filters, attempts and answers."""
