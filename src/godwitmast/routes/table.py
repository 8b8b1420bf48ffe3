"""Chooses the route of a request by its host and the longest prefix of its path."""

from collections.abc import Iterable
from typing import NamedTuple

from godwitmast.types import ClassName, PoolName


class Split(NamedTuple):
    """A pool's part of a route's requests, by weight."""

    pool: PoolName
    weight: float


class Route(NamedTuple):
    """What holds for the requests of a host below a prefix.

    `timeout_s` is the longest that a caller is kept waiting. A route that is `public`
    takes requests without a key. `attempts` counts the servers that may run a request.
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
        """Return a pool by the weights, for a `draw` from 0 up to 1."""
        left = draw * sum(split.weight for split in self.splits)
        for split in self.splits:
            left -= split.weight
            if left < 0:
                return split.pool
        return self.splits[-1].pool


class RouteTable:
    """All routes, looked up in time that grows with the path and not with them."""

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self.hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self.hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix, each of which ends with a slash."""
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
