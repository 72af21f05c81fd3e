"""Who is there: health of peers and the published list."""
