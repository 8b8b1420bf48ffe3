"""The orders that are out, and the fleet that they and the platform add up to.

Every order is an intent in the table before it leaves, with an id that is never used
twice. One whose answer was lost is sent again under the same id, which the platform
counts once, until its outcome is known; so neither a lost answer nor a new holder of
the lease orders a second server.
"""

from dataclasses import dataclass, field

from godwitmast.capacity.fleet import FleetRow, PublishedServer
from godwitmast.capacity.messages import (
    Drain,
    Order,
    Release,
    ServerKind,
    ServerState,
    ServerView,
    Undrain,
)
from godwitmast.config.document import Backend
from godwitmast.lease.intents import Intent
from godwitmast.platform_api.messages import FleetServer
from godwitmast.types import BackendId, Json, ZoneName

DRAIN_LEAST_S = 10.0
"""A drained server is released no sooner: entries take the new row within two
seconds, and a request that was on its way by then has reached the server."""

SILENT_DRAIN_S = 300.0
"""A drained server that does not say what runs is released after this: past any
answer's time, and without it an engine that hangs is paid for ever."""


@dataclass
class OrderBook:
    """What was ordered, what drains, and what is published."""

    pending: dict[str, Intent] = field(default_factory=dict)
    published: FleetRow = FleetRow(0, {})
    running: dict[str, int | None] = field(default_factory=dict)
    """Open requests of draining servers; None where a server did not say."""
    numbers: int = 0
    row_number: int = 0
    unsure: bool = False
    """A row was written and no answer came: it may stand in the table."""

    def resume(self, intents: list[Intent], published: FleetRow) -> None:
        """Go on where the last holder of the lease stopped."""
        self.pending = {i.intent_id: i for i in intents if i.outcome is None}
        self.published = published
        self.row_number = published.number

    def next_row(self, servers: dict[str, PublishedServer]) -> FleetRow:
        """Return a row under a number that no row of unknown outcome has."""
        self.row_number += 1
        return FleetRow(self.row_number, servers)

    def intend(self, decision: Order | Release, fence: int) -> Intent | None:
        """Return the intent of a decision, or None if one like it is out already."""
        match decision:
            case Order():
                body = {
                    "action": "order",
                    "zone": decision.zone,
                    "kind": decision.kind,
                    "pools": [decision.pool],
                }
            case Release():
                server = self.published.servers.get(decision.backend_id)
                if server is None or self.releasing(decision.backend_id):
                    return None
                body = {
                    "action": "release",
                    "backend_id": decision.backend_id,
                    "of_order": server.order_id,
                }
        self.numbers += 1
        return Intent(f"{fence}-{self.numbers}", fence, body)

    def releasing(self, backend_id: str) -> bool:
        return any(
            i.order.get("backend_id") == backend_id for i in self.pending.values()
        )

    def recorded(self, intent: Intent) -> None:
        self.pending[intent.intent_id] = intent

    def settled(self, intent_id: str) -> None:
        self.pending.pop(intent_id, None)

    def publish(self, fleet: list[FleetServer]) -> FleetRow:
        """Return the row that entries are to have; its number rises if it changed.

        A server that is starting is not in it: entries would take a refused
        connection for a broken server and eject it before its first request.
        """
        servers = {
            item.backend_id: self.show(item)
            for item in fleet
            if item.state in ("serving", "leaving")
        }
        if servers == self.published.servers and not self.unsure:
            return self.published
        return self.next_row(servers)

    def show(self, item: FleetServer) -> PublishedServer:
        old = self.published.servers.get(item.backend_id)
        same = old is not None and old.order_id == item.order_id
        since = old.draining_since if old is not None and same else None
        return PublishedServer(
            item.url,
            item.zone,
            item.kind,
            item.pools,
            item.order_id,
            leaving=item.state == "leaving" or since is not None,
            draining_since=since,
        )

    def drained(self, decision: Drain | Undrain, wall: float) -> FleetRow:
        """Return the row with a server marked, or no longer marked, as draining."""
        servers = self.published.servers
        server = servers.get(decision.backend_id)
        if server is None:
            return self.published
        since = wall if isinstance(decision, Drain) else None
        changed = server._replace(leaving=since is not None, draining_since=since)
        return self.next_row({**servers, decision.backend_id: changed})

    def view(
        self,
        pool: str,
        fleet: list[FleetServer],
        configured: dict[str, Backend],
        wall: float,
    ) -> list[ServerView]:
        """Return a pool's servers: the platform's, the orders that it does not show
        yet, and the operators' own.
        """
        shown = {item.order_id for item in fleet}
        servers = [
            ServerView(
                BackendId(item.backend_id),
                ZoneName(item.zone),
                kind_of(item.kind),
                self.state_of(item),
                self.open_requests(item.backend_id, wall),
            )
            for item in fleet
            if pool in item.pools
        ]
        for intent in self.pending.values():
            order: Json = intent.order
            if order["action"] != "order" or pool not in order["pools"]:
                continue
            if intent.intent_id not in shown:
                servers.append(
                    ServerView(
                        BackendId(f"order/{intent.intent_id}"),
                        ZoneName(order["zone"]),
                        kind_of(order["kind"]),
                        ServerState.ORDERED,
                    )
                )
        for name, backend in configured.items():
            if pool in backend.pools and not backend.leaving:
                servers.append(
                    ServerView(
                        BackendId(name),
                        ZoneName(backend.zone),
                        backend.kind,
                        ServerState.SERVING,
                        ordered=False,
                    )
                )
        return servers

    def state_of(self, item: FleetServer) -> ServerState:
        published = self.published.servers.get(item.backend_id)
        match item.state:
            case "leaving":
                return ServerState.LEAVING
            case "starting":
                return ServerState.STARTING
        if published is not None and published.draining_since is not None:
            return ServerState.DRAINING
        return ServerState.SERVING

    def open_requests(self, backend_id: str, wall: float) -> int:
        """Return how many requests hold a server back from release."""
        server = self.published.servers.get(backend_id)
        if server is None or server.draining_since is None:
            return 0
        if wall - server.draining_since < DRAIN_LEAST_S:
            return 1
        running = self.running.get(backend_id)
        if running is not None:
            return running
        return 0 if wall - server.draining_since > SILENT_DRAIN_S else 1


def kind_of(kind: str) -> ServerKind:
    return "cheap" if kind == "cheap" else "on_demand"
