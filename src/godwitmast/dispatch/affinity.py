"""Sends prompts that open alike to the same servers, whose cache knows the opening.

Load pattern: a few prompt prefixes take most of the requests. Spread evenly, each
server reads each prefix again and its cache holds a little of everything. Bound to one
server without a limit, the hottest prefix overloads it while others idle.

Rendezvous hashing (Thaler and Ravishankar, 1998) gives each prefix an order of the
servers that all entries agree on without talking, and that changes little when servers
come and go. A server's place in the order counts only while its load is within
`LOAD_BOUND` of the mean, as in Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing
with Bounded Loads", 2016; the next in the order takes what does not fit.
"""

from collections.abc import Sequence

from xxhash import xxh3_64_intdigest

LOAD_BOUND = 1.25
"""The paper's bound of 1 + e with e of a quarter: with e small, prefixes move to other
servers at every small wave of load; with e large, the hot servers are late."""

LOAD_SLACK = 1.0
"""At small loads one request more than the mean must not move a prefix."""

CANDIDATES = 3
"""So many servers of the order are tried. A prefix needs more only when it takes more
than three servers' worth of load, and is then in the cache of most of them."""

MAX_ORDERS = 8192


class PrefixOrders:
    """The first servers in the order of each prefix, kept for prefixes seen lately."""

    def __init__(self) -> None:
        self.orders: dict[str, tuple[str, ...]] = {}

    def clear(self) -> None:
        """Forget the orders; call it when the servers changed."""
        self.orders.clear()

    def order(self, prefix: str, names: Sequence[str]) -> tuple[str, ...]:
        """Return the servers to try for a prefix, best first."""
        known = self.orders.get(prefix)
        if known is None:
            if len(self.orders) >= MAX_ORDERS:
                self.orders.pop(next(iter(self.orders)))
            known = self.orders[prefix] = rendezvous(prefix, names)
        return known


def rendezvous(key: str, names: Sequence[str]) -> tuple[str, ...]:
    """Return the `CANDIDATES` names that rank highest for a key."""
    ranked = sorted(
        names, key=lambda name: xxh3_64_intdigest(f"{key}\0{name}".encode())
    )
    return tuple(ranked[:CANDIDATES])


def within_bound(load: float, mean: float) -> bool:
    """Return whether a server of this load may take one more for its cache's sake."""
    return load + 1 <= mean * LOAD_BOUND + LOAD_SLACK
