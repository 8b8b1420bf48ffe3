"""Choices that every node makes alike without asking: rings and pollers."""

from collections.abc import Iterable
from functools import lru_cache

import xxhash


@lru_cache(maxsize=65_536)
def weight(scope: str, name: str) -> int:
    """Return a number that is the same on every node for the same names."""
    return xxhash.xxh64_intdigest(f"{scope}\0{name}".encode())


def short_hash(name: str) -> int:
    """Return four bytes for a name, to be looked up in a configuration."""
    return xxhash.xxh32_intdigest(name.encode())


def choose_pollers(subject: str, nodes: Iterable[str], count: int = 2) -> list[str]:
    """Return the nodes that poll `subject`, the first of them the teller.

    Highest random weight (Thaler and Ravishankar, 1998): when a node goes, only what
    it polled moves, and every node that has the same members agrees without a word.
    """
    return sorted(nodes, key=lambda node: weight(subject, node), reverse=True)[:count]
