"""Servers of pools that have lost all of their entries in the list."""

from typing import NamedTuple

from godwitmast.config.document import Backend


class RemovedServer(NamedTuple):
    """A server whose entry left the list, and until when it may be used without."""

    backend: Backend
    until: float


class LastServers:
    """Keeps the servers of an empty pool for `keep_s` after their entries were removed.

    The platform removes the entry of a server that it does not hear from, also if just the
    link between the two is cut, and writes it again once it hears from the server. If no
    entry of a pool is left, each of its requests would be refused, although its servers
    answer. A server that has left goes on serving for longer than `keep_s`.
    """

    def __init__(self, keep_s: float = 0.0) -> None:
        self.keep_s = keep_s
        self.removed: dict[str, RemovedServer] = {}
        self.kept: dict[str, Backend] = {}
        """Servers that are used without an entry at the moment."""

    def update(
        self, before: dict[str, Backend], listed: dict[str, Backend], now: float
    ) -> None:
        """Record a new list of servers in place of the one before."""
        for name, backend in before.items():
            if name not in listed and not backend.leaving:
                self.removed[name] = RemovedServer(backend, now + self.keep_s)
        self.removed = {
            name: server
            for name, server in self.removed.items()
            if name not in listed and now < server.until
        }
        served: set[str] = set()
        for backend in listed.values():
            if not backend.leaving:
                served |= backend.pools
        self.kept = {
            name: server.backend
            for name, server in self.removed.items()
            if not served >= server.backend.pools
        }

    def has_expired(self, now: float) -> bool:
        """Return whether a server is kept that may not be used any more."""
        return any(now >= self.removed[name].until for name in self.kept)
