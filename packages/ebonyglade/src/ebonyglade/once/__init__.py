"""At most one execution of what may not be repeated."""
