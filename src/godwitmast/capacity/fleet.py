"""Rows that publish the ordered servers to the entries."""

from typing import NamedTuple

from godwitmast.config.document import Backend
from godwitmast.types import Json

HEAD_KEY = "fleet/head"
"""Row with the number of the published fleet; it is small, because entries poll it."""

SERVERS_KEY = "fleet/servers"
"""Row with every ordered server that serves, drains or leaves.

Entries read it when its number rises, instead of asking the platform for its fleet: 350
entries would request a list that one process has already checked, and that does not say
which servers drain. At 850 servers the row has 140 KiB, too much to be read every two
seconds.
"""


class PublishedServer(NamedTuple):
    """An ordered server as published to entries; a leaving one gets no new requests."""

    url: str
    zone: str
    kind: str
    pools: list[str]
    order_id: str
    leaving: bool = False
    draining_since: float | None = None


class FleetRow(NamedTuple):
    """The published fleet; its number only rises, across all holders of the lease."""

    number: int
    servers: dict[str, PublishedServer]


EMPTY_FLEET = FleetRow(0, {})


def dump_fleet(row: FleetRow) -> dict[str, Json]:
    """Return the head row and the servers row, which one transaction writes."""
    servers = {name: server._asdict() for name, server in row.servers.items()}
    return {
        HEAD_KEY: {"number": row.number},
        SERVERS_KEY: {"number": row.number, "servers": servers},
    }


def load_fleet(value: Json) -> FleetRow:
    """Return the fleet from the value of the servers row."""
    servers = {n: PublishedServer(**item) for n, item in value["servers"].items()}
    return FleetRow(value["number"], servers)


def merge_backends(
    configured: dict[str, Backend], fleet: FleetRow
) -> dict[str, Backend]:
    """Return the servers of `configured` and the ordered ones.

    `configured` holds the servers of the configuration and the listed ones; it wins on
    equal names.
    """
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
