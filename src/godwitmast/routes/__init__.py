"""Routes: which class, pool and rules a request falls under by its host and path."""
