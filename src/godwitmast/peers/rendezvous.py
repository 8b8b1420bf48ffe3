"""Hash-based choices that every node makes alike, without messages: rings, pollers."""

from collections.abc import Iterable
from functools import lru_cache

import xxhash


@lru_cache(maxsize=65_536)
def weight(scope: str, name: str) -> int:
    """Return the 64-bit hash of a name in a scope, the same on every node."""
    return xxhash.xxh64_intdigest(f"{scope}\0{name}".encode())


def short_hash(name: str) -> int:
    """Return a 32-bit hash that stands for a name on the wire."""
    return xxhash.xxh32_intdigest(name.encode())


def choose_pollers(subject: str, nodes: Iterable[str], count: int = 2) -> list[str]:
    """Return the nodes that poll `subject`, by rank; the first one publishes its load.

    Rendezvous hashing, or highest random weight (Thaler and Ravishankar, 1998): when a
    node fails only the subjects that it polled move, and every node with the same
    member list makes the same choice without messages.
    """
    return sorted(nodes, key=lambda node: weight(subject, node), reverse=True)[:count]
