"""Hashes of callers' keys; keys are stored and compared only as hashes."""

import hashlib
import secrets

KEY_PREFIX = "gw-"


def generate_key() -> str:
    """Return a random key, which is shown to its owner once and never stored."""
    return KEY_PREFIX + secrets.token_urlsafe(32)


def hash_key(key: str) -> str:
    """Return the digest under which a grant is stored.

    Keys are long and random, so they can't be guessed and need no slow password hash,
    whose cost each request would bear.
    """
    return hashlib.sha256(key.encode()).hexdigest()
