"""Routes: the class, pool and rules of a request, by its host and path."""
