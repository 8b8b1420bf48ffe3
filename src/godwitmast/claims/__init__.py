"""At-most-once claims for calls that are not idempotent."""
