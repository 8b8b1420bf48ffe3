"""The table that finds a request's route by host and longest path prefix."""

from collections.abc import Iterable
from typing import NamedTuple

from godwitmast.types import ClassName, PoolName


class Split(NamedTuple):
    """A pool that receives a weighted share of a route's requests."""

    pool: PoolName
    weight: float


class Route(NamedTuple):
    """The rules for requests to a host whose path starts with a prefix.

    `timeout_s` is the longest time until the caller has its final answer. A `public`
    route accepts requests without a key. `attempts` limits the servers that may run a
    request.
    """

    name: str
    host: str
    prefix: str
    class_name: ClassName
    priority: int
    splits: tuple[Split, ...]
    timeout_s: float
    attempts: int = 1
    public: bool = False
    streams: bool = False
    idempotent: bool = False
    resumable: bool = False

    def choose_pool(self, draw: float) -> PoolName:
        """Return a pool by weight, for a random `draw` in [0, 1)."""
        left = draw * sum(split.weight for split in self.splits)
        for split in self.splits:
            left -= split.weight
            if left < 0:
                return split.pool
        return self.splits[-1].pool


class RouteTable:
    """All routes; the time of a look-up depends on the path, not on their number."""

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self.hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self.hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix; prefixes end with a slash."""
        prefixes = self.hosts.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
