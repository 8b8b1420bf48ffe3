"""The row that tells entries of ordered servers, and what they make of it."""

from typing import NamedTuple

from godwitmast.config.document import Backend
from godwitmast.types import Json

FLEET_KEY = "fleet/head"
"""One row with every ordered server that serves, drains or leaves.

Entries read this one row in place of the platform's fleet: 350 of them would ask for
a list that one process has already checked, and could not know what is draining.
"""


class PublishedServer(NamedTuple):
    """An ordered server as entries need it; `leaving` gets no new work."""

    url: str
    zone: str
    kind: str
    pools: list[str]
    order_id: str
    leaving: bool = False
    draining_since: float | None = None


class FleetRow(NamedTuple):
    """The published fleet; numbers only rise, over all holders of the lease."""

    number: int
    servers: dict[str, PublishedServer]


EMPTY = FleetRow(0, {})


def dump_fleet(row: FleetRow) -> Json:
    return {
        "number": row.number,
        "servers": {name: server._asdict() for name, server in row.servers.items()},
    }


def load_fleet(value: Json) -> FleetRow:
    servers = {n: PublishedServer(**item) for n, item in value["servers"].items()}
    return FleetRow(value["number"], servers)


def merge_backends(
    configured: dict[str, Backend], fleet: FleetRow
) -> dict[str, Backend]:
    """Return the operators' servers and the ordered ones; a name is the operators'."""
    ordered = {
        name: Backend(
            server.url,
            server.zone,
            frozenset(server.pools),
            "cheap" if server.kind == "cheap" else "on_demand",
            leaving=server.leaving,
        )
        for name, server in fleet.servers.items()
    }
    return ordered | configured
