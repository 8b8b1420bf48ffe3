"""The operator's configuration and the servers' own rows, as the product's types."""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from godwitmast.capacity.zonal import ZonalLimits
from godwitmast.config.document import (
    Backend,
    ColdStart,
    Document,
    KeyGrant,
    Model,
    NumberedConfig,
    RequestClass,
    Service,
    Team,
)
from godwitmast.errors import ConfigInvalid
from godwitmast.keys.hashing import hash_key
from godwitmast.logs import log_event
from godwitmast.platform.wire import (
    DRAINING,
    EVACUATE_PREFIX,
    IDEMPOTENT,
    READY,
    STREAMING,
    WireConfig,
    WireEngine,
    WireLimits,
    WireRoute,
    WireServer,
    WireService,
    WireTenant,
)
from godwitmast.routes.table import Route, RouteTable, Split
from godwitmast.types import ClassName, PoolName, ZoneName

LOWEST_PRIORITY = 9
"""The largest number that engines take."""

TIERS = 99
"""As many as a configuration of the product's can have."""

FAST_TOKENS_PER_MS = 200.0
"""Copied at this rate, a part arrives several times sooner than any engine reads it."""

PATIENCE_S, PATIENCE_AIMS, PATIENCE_GAPS = 2.0, 4.0, 8.0
"""Callers leave a stream after the longest of two seconds, four times the aim for its
first event, and eight times that for the pause between events, as the platform says."""


class ColdBounds(NamedTuple):
    """What a cold server gets in one second at most.

    That is `over` times the rate that its service bears, and `slack` requests more.
    """

    over: float = 1.0
    slack: float = 0.0


class Catalog(NamedTuple):
    """A configuration of the operator's, with what the product's has no place for."""

    config: NumberedConfig
    routes: RouteTable
    limits: WireLimits
    priorities: dict[str, int]
    """The priority of each team that has one, which goes before its route's."""
    ranks: "Ranks"
    fleets: dict[PoolName, ZonalLimits]
    """What may be ordered of each service whose servers may be ordered at all."""


def read_config(content: bytes, bounds: ColdBounds = ColdBounds()) -> Catalog:
    """Return the checked configuration, or raise ConfigInvalid."""
    try:
        wire = msgspec.json.decode(content, type=WireConfig)
    except msgspec.DecodeError as error:
        raise ConfigInvalid(str(error)) from None
    tenants = wire.tenants or []
    priorities = {t.name: t.priority for t in tenants if t.priority is not None}
    routes = [make_route(item, wire.tenants is None) for item in wire.routes]
    ranks = Ranks({route.priority for route in routes}, set(priorities.values()))
    document = Document(
        classes=make_classes(wire.routes, ranks),
        teams={tenant.name: Team() for tenant in tenants},
        keys=make_keys(tenants),
        models={
            item.name: Model(
                fetches=copies_fast(item.engine),
                cold_start=make_cold_start(item, bounds),
            )
            for item in wire.services
            if item.engine
        },
        services={
            item.name: Service(cold_start=make_cold_start(item, bounds))
            for item in wire.services
            if not item.engine
        },
    )
    return Catalog(
        NumberedConfig(wire.version, document, None),
        RouteTable(routes),
        wire.limits,
        priorities,
        ranks,
        make_fleets(wire.services),
    )


def copies_fast(engine: WireEngine) -> bool:
    """Return whether engines copy parts of prompts faster than they read them."""
    bits = 8.0 * engine.kv_token_bytes
    return bits > 0 and engine.link_mbps * 1000 / bits > FAST_TOKENS_PER_MS


def make_cold_start(service: WireService, bounds: ColdBounds) -> ColdStart | None:
    """Return what a service's cold servers bear; None if it names no bound."""
    rate, start_s = service.cold_per_s, service.cold_start_s
    if not (rate > 0 and start_s > 0):
        return None
    return ColdStart(rate, rate * bounds.over + bounds.slack, start_s)


class Ranks:
    """The order of all pairs of a team's and a route's priority, 0 first.

    A team's priority goes before its route's. Where all teams have the same, as they
    mostly do, the routes' would be lost, and a long summary be as urgent as a question;
    so it decides between requests of equal teams.
    """

    def __init__(self, routes: set[int], teams: set[int]) -> None:
        pairs = sorted(
            {(route, route) for route in routes}
            | {(team, route) for team in teams for route in routes}
        )
        crowd = max(1.0, len(pairs) / TIERS)
        self.ranks = {pair: int(place / crowd) for place, pair in enumerate(pairs)}

    def of(self, route: int, team: int | None) -> int:
        return self.ranks[(route if team is None else team, route)]

    def for_route(self, route: int) -> set[int]:
        """Return every rank that a request of a route can have."""
        return {rank for pair, rank in self.ranks.items() if pair[1] == route}


def engine_priority(route_priority: int) -> int:
    """Return what an engine orders a route's requests by, 0 first.

    It depends on nothing else, so that VMs that hold other configurations, and streams
    that began under an earlier one, are ordered alike inside an engine.
    """
    return min(max(route_priority, 0), LOWEST_PRIORITY)


def make_route(wire: WireRoute, without_keys: bool) -> Route:
    splits = [Split(PoolName(s.service), s.weight) for s in wire.split]
    if not splits and wire.service is not None:
        splits = [Split(PoolName(wire.service), 1.0)]
    if not splits:
        raise ConfigInvalid(f"routes: {wire.name!r} names no service")
    streams = wire.kind == STREAMING
    resumable = streams and wire.resumable
    return Route(
        wire.name,
        wire.host,
        wire.prefix,
        class_name(wire, 0),
        wire.priority,
        tuple(splits),
        wire.timeout_ms / 1000,
        wire.attempts,
        wire.public or without_keys,
        streams,
        wire.kind == IDEMPOTENT or resumable,
        resumable,
    )


def class_name(wire: WireRoute, rank: int) -> ClassName:
    """Return the class of a route's requests: alike in rank and aims, alike in name.

    A class a route would make hundreds of queues of hundreds of routes that want the
    same.
    """
    shape = "stream" if wire.kind == STREAMING else "plain"
    gap = f"-gap{wire.gap_aim_ms:g}" if wire.gap_aim_ms else ""
    return ClassName(f"{shape}-aim{wire.slo_ms:g}{gap}-p{rank}")


def with_rank(name: ClassName, rank: int) -> ClassName:
    """Return the class of the same aims at another rank."""
    return ClassName(f"{name.rpartition('-p')[0]}-p{rank}")


def make_classes(routes: list[WireRoute], ranks: Ranks) -> dict[str, RequestClass]:
    """Return a class for each kind of route at each of its ranks."""
    classes: dict[str, RequestClass] = {}
    for route in routes:
        for rank in ranks.for_route(route.priority):
            name = class_name(route, rank)
            if name not in classes:
                classes[name] = make_class(route, rank)
    return classes


def make_class(route: WireRoute, rank: int) -> RequestClass:
    aim_s = route.slo_ms / 1000
    priority = engine_priority(route.priority)
    if route.kind != STREAMING:
        return RequestClass(1 + rank, completion_s=aim_s, engine_priority=priority)
    gap_s = route.gap_aim_ms / 1000 if route.gap_aim_ms else None
    patience_s = max(PATIENCE_S, PATIENCE_AIMS * aim_s, PATIENCE_GAPS * (gap_s or 0.0))
    return RequestClass(
        1 + rank, aim_s, gap_s, patience_s=patience_s, engine_priority=priority
    )


def make_fleets(services: list[WireService]) -> dict[PoolName, ZonalLimits]:
    return {
        PoolName(item.name): ZonalLimits(
            item.scale_limits.min,
            item.scale_limits.max,
            item.scale_limits.boot_time_s,
            item.scale_limits.spot_price,
            {ZoneName(z): p for z, p in item.scale_limits.zone_prices.items()},
        )
        for item in services
        if item.scale_limits is not None
    }


def make_keys(tenants: list[WireTenant]) -> dict[str, KeyGrant]:
    return {
        hash_key(key): KeyGrant(tenant.name, "")
        for tenant in tenants
        for key in tenant.api_keys
    }


def read_evacuations(rows: Mapping[str, bytes]) -> frozenset[ZoneName]:
    """Return the zones whose servers are to get no new work, by their rows' names."""
    return frozenset(
        ZoneName(key.removeprefix(EVACUATE_PREFIX))
        for key in rows
        if key.startswith(EVACUATE_PREFIX)
    )


def read_servers(rows: Mapping[str, bytes]) -> dict[str, Backend]:
    """Return the servers that their rows name; a row that cannot be read names none."""
    servers: dict[str, Backend] = {}
    for server_id, content in rows.items():
        server = read_server(server_id, content)
        if server is not None:
            servers[server_id] = server
    return servers


def read_server(server_id: str, content: bytes) -> Backend | None:
    try:
        wire = msgspec.json.decode(content, type=WireServer)
    except msgspec.DecodeError as error:
        log_event("server_row_bad", server=server_id, error=str(error))
        return None
    host, _, port = wire.address.rpartition(":")
    named = host and port.isdecimal() and wire.batch_slots > 0
    if wire.state not in (READY, DRAINING) or not named:
        log_event("server_row_bad", server=server_id, state=wire.state)
        return None
    return Backend(
        f"http://{wire.address}",
        wire.zone,
        frozenset([wire.service]),
        "cheap" if wire.spot else "on_demand",
        leaving=wire.state == DRAINING,
        places=wire.batch_slots,
        cold_s=max(0.0, wire.cold_left_ms / 1000),
        incarnation=wire.born,
    )
