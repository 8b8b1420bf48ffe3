"""Pending orders, and the fleet that results from them and the platform's list.

Each order is recorded as an intent in the table before it is sent, under an id that is
never reused. If its answer is lost, it is sent again under the same id, which the
platform counts once, until its outcome is known. So neither a lost answer nor a new
lease holder orders a second server.
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

MIN_DRAIN_S = 10.0
"""Minimum time between drain and release. Entries apply a new row within two seconds,
and a request sent before that has reached the server by then."""

SILENT_DRAIN_TIMEOUT_S = 300.0
"""A draining server that does not report its running requests is released after this
time. It exceeds the duration of any answer; without it an engine that hangs would be
paid for indefinitely."""


@dataclass
class OrderBook:
    """Pending intents, published fleet, and running requests of draining servers."""

    pending: dict[str, Intent] = field(default_factory=dict)
    published: FleetRow = FleetRow(0, {})
    running_requests: dict[str, int | None] = field(default_factory=dict)
    """Running and waiting requests of each draining server; None if it did not
    answer."""
    unrecorded: Intent | None = None
    """The intent whose record may still arrive in the table, if there is one."""
    intent_count: int = 0
    row_number: int = 0
    is_write_uncertain: bool = False
    """The outcome of the last write of a fleet row is unknown; it may be in the
    table."""
    row_version: int = 0
    """Version of the fleet's row in the table, as last known."""

    def resume(self, intents: list[Intent], published: FleetRow) -> None:
        """Load the state that the previous lease holder left."""
        self.pending = {i.intent_id: i for i in intents if i.outcome is None}
        self.published = published
        self.row_number = published.number

    def next_row(self, servers: dict[str, PublishedServer]) -> FleetRow:
        """Return a row with a new number.

        A row whose write has an unknown outcome keeps its number to itself.
        """
        self.row_number += 1
        return FleetRow(self.row_number, servers)

    def make_intent(self, decision: Order | Release, fence: int) -> Intent | None:
        """Return the decision's intent; None for an unknown or released server."""
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
                if server is None or self.is_releasing(decision.backend_id):
                    return None
                body = {
                    "action": "release",
                    "backend_id": decision.backend_id,
                    "of_order": server.order_id,
                }
        self.intent_count += 1
        return Intent(f"{fence}-{self.intent_count}", fence, body)

    def is_releasing(self, backend_id: str) -> bool:
        return any(
            i.order.get("backend_id") == backend_id for i in self.pending.values()
        )

    def add_pending(self, intent: Intent) -> None:
        self.pending[intent.intent_id] = intent

    def remove_pending(self, intent_id: str) -> None:
        self.pending.pop(intent_id, None)

    def make_row(self, fleet: list[FleetServer]) -> FleetRow:
        """Return the row to publish; it has a new number if anything changed.

        Starting servers are left out: entries would take a refused connection for a
        failure, and eject the server before its first request.
        """
        servers = {
            item.backend_id: self.to_published(item)
            for item in fleet
            if item.state in ("serving", "leaving")
        }
        if servers == self.published.servers and not self.is_write_uncertain:
            return self.published
        return self.next_row(servers)

    def to_published(self, item: FleetServer) -> PublishedServer:
        old = self.published.servers.get(item.backend_id)
        same = old is not None and old.order_id == item.order_id
        draining_since = old.draining_since if old is not None and same else None
        return PublishedServer(
            item.url,
            item.zone,
            item.kind,
            item.pools,
            item.order_id,
            leaving=item.state == "leaving" or draining_since is not None,
            draining_since=draining_since,
        )

    def set_draining(self, decision: Drain | Undrain, wall: float) -> FleetRow:
        """Return the row with a server marked as draining, or the mark removed."""
        servers = self.published.servers
        server = servers.get(decision.backend_id)
        if server is None:
            return self.published
        draining_since = wall if isinstance(decision, Drain) else None
        changed = server._replace(
            leaving=draining_since is not None, draining_since=draining_since
        )
        return self.next_row({**servers, decision.backend_id: changed})

    def list_servers(
        self,
        pool: str,
        fleet: list[FleetServer],
        configured: dict[str, Backend],
        wall: float,
    ) -> list[ServerView]:
        """Return a pool's servers: listed by the platform, ordered, or configured."""
        listed_order_ids = {item.order_id for item in fleet}
        servers = [
            ServerView(
                BackendId(item.backend_id),
                ZoneName(item.zone),
                parse_kind(item.kind),
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
            if intent.intent_id not in listed_order_ids:
                servers.append(
                    ServerView(
                        BackendId(f"order/{intent.intent_id}"),
                        ZoneName(order["zone"]),
                        parse_kind(order["kind"]),
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
        """Return the number of requests that delay the release of a server.

        It is 1 if the number is unknown, or if MIN_DRAIN_S has not passed.
        """
        server = self.published.servers.get(backend_id)
        if server is None or server.draining_since is None:
            return 0
        if wall - server.draining_since < MIN_DRAIN_S:
            return 1
        running = self.running_requests.get(backend_id)
        if running is not None:
            return running
        return 0 if wall - server.draining_since > SILENT_DRAIN_TIMEOUT_S else 1


def parse_kind(kind: str) -> ServerKind:
    return "cheap" if kind == "cheap" else "on_demand"
