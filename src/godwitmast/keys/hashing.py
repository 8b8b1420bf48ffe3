"""Callers' keys as they are stored and compared: by hash only."""

import hashlib
import secrets

KEY_PREFIX = "gw-"


def new_key() -> str:
    """Return a fresh key, which is shown to its owner once and never stored."""
    return KEY_PREFIX + secrets.token_urlsafe(32)


def hash_key(key: str) -> str:
    """Return the digest under which a grant is stored.

    Keys are long and random, so a plain digest does: there is nothing to guess that
    a slow hash would protect, and each request pays for this one.
    """
    return hashlib.sha256(key.encode()).hexdigest()
