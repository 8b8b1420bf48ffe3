"""Callers' keys: hashing, grants and withdrawal."""
