"""Conversion of the platform's configuration and server rows to the router's types."""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from godwitmast.capacity.zonal import ZonalLimits
from godwitmast.config.document import (
    Backend,
    ColdStart,
    Document,
    FleetPolicy,
    KeyGrant,
    Model,
    NumberedConfig,
    RequestClass,
    Service,
    Team,
)
from godwitmast.decoding import decode_json, is_socket_address
from godwitmast.errors import ConfigInvalid, Undecodable
from godwitmast.keys.hashing import hash_key
from godwitmast.logs import RowLog
from godwitmast.platform.wire import (
    CONFIG_KEY,
    DRAINING,
    EVACUATE_PREFIX,
    IDEMPOTENT,
    READY,
    STREAMING,
    WireConfig,
    WireEngine,
    WireLimits,
    WireRoute,
    WireRowAge,
    WireServer,
    WireService,
    WireTenant,
)
from godwitmast.routes.table import Route, RouteTable, Split
from godwitmast.types import ClassName, PoolName, ZoneName

MAX_ENGINE_PRIORITY = 9
"""Largest priority number that engines accept; 0 is the most urgent."""

TIER_COUNT = 99
"""Number of tiers that a configuration of the router may have."""

MIN_COPY_TOKENS_PER_MS = 200.0
"""At this rate a copy takes a fraction of the time that any engine needs for prefill."""

MIN_PATIENCE_S, PATIENCE_FIRST_EVENT_FACTOR, PATIENCE_GAP_FACTOR = 2.0, 4.0, 8.0
"""By the platform's specification, callers disconnect from a stream after the longest of
two seconds, four times the target for the first event, and eight times the target for
the gap between events."""


class ColdBounds(NamedTuple):
    """Limit on the requests a second to one cold server.

    It is `factor` times the rate that the service states, plus `extra_requests`.
    """

    factor: float = 1.0
    extra_requests: float = 0.0


class Catalog(NamedTuple):
    """The operators' configuration, with what the router's document has no field for."""

    config: NumberedConfig
    routes: RouteTable
    limits: WireLimits
    team_priorities: dict[str, int]
    """Priority of each team that has one; it takes precedence over the route's."""
    ranks: "Ranks"
    order_limits: dict[PoolName, ZonalLimits]
    """Order limits of each service whose servers may be ordered."""


PRESSURE = "pressure"
"""Among the platform's rules: callers compete for too little room."""

SHARED_BY_STATED_SPEED = FleetPolicy("auto", "auto", "off")
SHARED_UNDER_PRESSURE = FleetPolicy("auto", "on", "on")
"""Where servers state no speed, prompts are placed by tokens: by predicted time, shared
parts of prompts were read again twice as often."""


def fleet_policy(invariants: Collection[str]) -> FleetPolicy:
    """Return what VMs decide together where these rules are in force."""
    if PRESSURE in invariants:
        return SHARED_UNDER_PRESSURE
    return SHARED_BY_STATED_SPEED


def read_config(
    content: bytes,
    bounds: ColdBounds = ColdBounds(),
    fleet: FleetPolicy = SHARED_BY_STATED_SPEED,
) -> Catalog:
    """Return the checked configuration, or raise ConfigInvalid."""
    try:
        wire = decode_json(content, WireConfig)
    except Undecodable as error:
        raise ConfigInvalid(str(error)) from None
    tenants = wire.tenants or []
    team_priorities = {t.name: t.priority for t in tenants if t.priority is not None}
    routes = [make_route(item, wire.tenants is None) for item in wire.routes]
    ranks = Ranks({route.priority for route in routes}, set(team_priorities.values()))
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
        fleet=fleet,
    )
    return Catalog(
        NumberedConfig(wire.version, document, None),
        RouteTable(routes),
        wire.limits,
        team_priorities,
        ranks,
        make_order_limits(wire.services),
    )


def copies_fast(engine: WireEngine) -> bool:
    """Return whether engines copy cached prompt parts faster than they prefill them."""
    bits = 8.0 * engine.kv_token_bytes
    return bits > 0 and engine.link_mbps * 1000 / bits > MIN_COPY_TOKENS_PER_MS


def make_cold_start(service: WireService, bounds: ColdBounds) -> ColdStart | None:
    """Return the limits for a service's cold servers, or None if it states none."""
    rate, start_s = service.cold_per_s, service.cold_start_s
    if not (rate > 0 and start_s > 0):
        return None
    return ColdStart(rate, rate * bounds.factor + bounds.extra_requests, start_s)


class Ranks:
    """Ranks of all pairs of a team's and a route's priority, 0 being the most urgent.

    A team's priority takes precedence over its route's. Most teams have the same one,
    and by it alone a long summary would be as urgent as a question; so the route's
    priority decides between teams of equal priority.
    """

    def __init__(self, routes: set[int], teams: set[int]) -> None:
        pairs = sorted(
            {(route, route) for route in routes}
            | {(team, route) for team in teams for route in routes}
        )
        pairs_per_tier = max(1.0, len(pairs) / TIER_COUNT)
        self.ranks = {
            pair: int(position / pairs_per_tier) for position, pair in enumerate(pairs)
        }

    def of(self, route: int, team: int | None) -> int:
        return self.ranks[(route if team is None else team, route)]

    def for_route(self, route: int) -> set[int]:
        """Return all ranks that requests of routes with this priority can have."""
        return {rank for pair, rank in self.ranks.items() if pair[1] == route}


def engine_priority(route_priority: int) -> int:
    """Return the priority that engines get for a route's requests, 0 the most urgent.

    It depends on the route's priority alone, so that inside an engine requests compare
    alike that come from VMs with other configurations, or began under an earlier one.
    """
    return min(max(route_priority, 0), MAX_ENGINE_PRIORITY)


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
    """Return the name of the class of a route's requests, from their rank and targets.

    Routes with equal targets share a class: one class for each route would create
    hundreds of queues for hundreds of routes with the same requirements.
    """
    shape = "stream" if wire.kind == STREAMING else "plain"
    gap = f"-gap{wire.gap_aim_ms:g}" if wire.gap_aim_ms else ""
    return ClassName(f"{shape}-aim{wire.slo_ms:g}{gap}-p{rank}")


def with_rank(name: ClassName, rank: int) -> ClassName:
    """Return the name of the class with the same targets at another rank."""
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
    target_s = route.slo_ms / 1000
    priority = engine_priority(route.priority)
    if route.kind != STREAMING:
        return RequestClass(1 + rank, completion_s=target_s, engine_priority=priority)
    gap_s = route.gap_aim_ms / 1000 if route.gap_aim_ms else None
    patience_s = max(
        MIN_PATIENCE_S,
        PATIENCE_FIRST_EVENT_FACTOR * target_s,
        PATIENCE_GAP_FACTOR * (gap_s or 0.0),
    )
    return RequestClass(
        1 + rank, target_s, gap_s, patience_s=patience_s, engine_priority=priority
    )


def make_order_limits(services: list[WireService]) -> dict[PoolName, ZonalLimits]:
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
    """Return the zones whose servers get no new work, from the keys of their rows."""
    return frozenset(
        ZoneName(key.removeprefix(EVACUATE_PREFIX))
        for key in rows
        if key.startswith(EVACUATE_PREFIX)
    )


def operator_row_order(key: str, content: bytes) -> tuple[int, ...] | None:
    """Return what orders the contents of an operator's row: the configuration's number."""
    age = read_age(content) if key == CONFIG_KEY else None
    return (age.version,) if age and isinstance(age.version, int) else None


def server_row_order(key: str, content: bytes) -> tuple[int, ...] | None:
    """Return what orders the contents of a server's row: its start, and its writes since."""
    age = read_age(content)
    return (age.born, age.sequence) if age and age.sequence is not None else None


def read_age(content: bytes) -> WireRowAge | None:
    try:
        return decode_json(content, WireRowAge)
    except Undecodable:
        return None


SERVER_ROW_LOG = RowLog("server_row_bad")


def read_servers(
    rows: Mapping[str, bytes], log: RowLog = SERVER_ROW_LOG
) -> dict[str, Backend]:
    """Return the registered servers by id, without those whose row cannot be read."""
    servers: dict[str, Backend] = {}
    for server_id, content in rows.items():
        server = read_server(server_id, content, log)
        if server is not None:
            servers[server_id] = server
    return servers


def read_server(server_id: str, content: bytes, log: RowLog) -> Backend | None:
    try:
        wire = decode_json(content, WireServer)
    except Undecodable as error:
        log.record(server_id, content, error)
        return None
    problem = find_problem(server_id, wire)
    if problem is not None:
        log.record(server_id, content, problem)
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
        version=wire.version,
    )


def find_problem(server_id: str, wire: WireServer) -> str | None:
    """Return why a row names no server to use, None if it names one."""
    if not is_header_value(server_id):
        return "the id cannot be sent in a header"
    if wire.state not in (READY, DRAINING):
        return f"unknown state {wire.state!r:.40}"
    if not is_socket_address(wire.address):
        return f"bad address {wire.address!r:.40}"
    return None


def is_header_value(text: str) -> bool:
    return text.isascii() and text.isprintable() and text == text.strip() != ""
