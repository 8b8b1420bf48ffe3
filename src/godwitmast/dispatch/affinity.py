"""Prefix affinity: prompts with the same prefix go to the same servers, which have it
cached.

Load pattern: a few prompt prefixes account for most of the requests. If they are spread
evenly, each server prefills each prefix again and its cache holds a little of
everything. If each prefix is bound to one server without a limit, the most frequent one
overloads its server while others idle.

Rendezvous hashing (Thaler and Ravishankar, 1998) gives each prefix an order of the
servers that all entries agree on without communicating, and that changes little when
servers are added or removed. A server is used in that order only while its load is
within `LOAD_BOUND` of the mean, as in Mirrokni, Thorup and Zadimoghaddam, "Consistent
Hashing with Bounded Loads", 2016; the next one in the order gets what exceeds it.
"""

from collections.abc import Sequence

from xxhash import xxh3_64_intdigest

LOAD_BOUND = 1.25
"""The paper's bound of 1 + e with e = 1/4: with a small e, prefixes move to other
servers at every small change of load; with a large one, requests on the servers of
frequent prefixes are late."""

LOAD_SLACK = 1.0
"""At small loads one request more than the mean must not move a prefix."""

MAX_CANDIDATES = 3
"""Servers of the order that are tried. A prefix needs more only if its requests fill
more than three servers, and then most servers have it cached."""

MAX_ORDERS = 8192


class PrefixOrders:
    """The first servers in the order of each prefix, cached for recently used
    prefixes."""

    def __init__(self) -> None:
        self.orders: dict[str, tuple[str, ...]] = {}

    def clear(self) -> None:
        """Forget the orders; to be called when the servers change."""
        self.orders.clear()

    def order(self, prefix: str, names: Sequence[str]) -> tuple[str, ...]:
        """Return the servers to try for a prefix, best first."""
        ranked = self.orders.get(prefix)
        if ranked is None:
            if len(self.orders) >= MAX_ORDERS:
                self.orders.pop(next(iter(self.orders)))
            ranked = self.orders[prefix] = rendezvous(prefix, names)
        return ranked


def rendezvous(key: str, names: Sequence[str]) -> tuple[str, ...]:
    """Return the `MAX_CANDIDATES` names that rank highest for a key."""
    ranked = sorted(
        names, key=lambda name: xxh3_64_intdigest(f"{key}\0{name}".encode())
    )
    return tuple(ranked[:MAX_CANDIDATES])


def within_bound(load: float, mean: float) -> bool:
    """Return whether a server with this load may get one more request for its cached
    prefix."""
    return load + 1 <= mean * LOAD_BOUND + LOAD_SLACK
