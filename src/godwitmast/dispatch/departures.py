"""Servers that stated in their answers that they are leaving.

Load pattern: a server is replaced while the list of servers lags, or cannot be read. By its
entry it is ready, and it goes on getting its share until it exits and cuts what it runs.

What a server states of itself holds for that start of it, whatever the list says: the entry
may be older, and when it was written isn't known. It is not passed on to other routers, so
that no single router can take a pool's servers from all of them; each hears it with its own
next answer.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from godwitmast.types import BackendId

RETENTION_S = 600.0
"""How long a departure is kept without an entry in the list, which outages of the platform
may interrupt."""


class Departure(NamedTuple):
    """The start of a server that is leaving, and when the list last had the server."""

    incarnation: int
    listed_at: float


@dataclass
class Departures:
    """The departures that this router was told of by the servers themselves."""

    by_server: dict[BackendId, Departure] = field(default_factory=dict)

    def record_statement(
        self, backend_id: BackendId, incarnation: int, now: float
    ) -> bool:
        """Record that a server stated to be leaving; return whether that is new."""
        if self.is_leaving(backend_id, incarnation):
            return False
        self.by_server[backend_id] = Departure(incarnation, now)
        return True

    def is_leaving(self, backend_id: BackendId, incarnation: int) -> bool:
        departure = self.by_server.get(backend_id)
        return departure is not None and departure.incarnation == incarnation

    def update(self, listed: Mapping[BackendId, int], now: float) -> None:
        """Drop the departures of servers that started again, or have long been gone.

        `listed` has the incarnation of each server in the list.
        """
        kept = {}
        for backend_id, departure in self.by_server.items():
            if backend_id in listed:
                departure = departure._replace(listed_at=now)
            incarnation = listed.get(backend_id, departure.incarnation)
            is_recent = now < departure.listed_at + RETENTION_S
            if incarnation == departure.incarnation and is_recent:
                kept[backend_id] = departure
        self.by_server = kept
