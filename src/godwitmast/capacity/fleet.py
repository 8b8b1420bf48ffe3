"""The row that tells entries of ordered servers, and what they make of it."""

from typing import NamedTuple

from godwitmast.config.document import Backend
from godwitmast.types import Json

HEAD_KEY = "fleet/head"
"""The number of the fleet row: entries ask for this often, as it is small."""

SERVERS_KEY = "fleet/servers"
"""One row with every ordered server that serves, drains or leaves.

Entries read it when its number rose, in place of the platform's fleet: 350 of them
would ask for a list that one process has already checked, and could not know what is
draining. At 850 servers it has 140 KiB, too much to be read every two seconds.
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


def dump_fleet(row: FleetRow) -> dict[str, Json]:
    """Return both rows, which are written together."""
    servers = {name: server._asdict() for name, server in row.servers.items()}
    return {
        HEAD_KEY: {"number": row.number},
        SERVERS_KEY: {"number": row.number, "servers": servers},
    }


def load_fleet(value: Json) -> FleetRow:
    """Return the fleet in the value of the servers' row."""
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
