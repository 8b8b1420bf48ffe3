"""The operator's configuration and the servers' own rows, as the product's types."""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from godwitmast.config.document import (
    Backend,
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
    IDEMPOTENT,
    READY,
    STREAMING,
    WireConfig,
    WireLimits,
    WireRoute,
    WireServer,
    WireTenant,
)
from godwitmast.routes.table import Route, RouteTable, Split
from godwitmast.types import ClassName, PoolName

LOWEST_PRIORITY = 9


class Catalog(NamedTuple):
    """A configuration of the operator's, with what the product's has no place for."""

    config: NumberedConfig
    routes: RouteTable
    limits: WireLimits
    priorities: dict[str, int]
    """The priority of each team that has one, which goes before its route's."""


def read_config(content: bytes) -> Catalog:
    """Return the checked configuration, or raise ConfigInvalid."""
    try:
        wire = msgspec.json.decode(content, type=WireConfig)
    except msgspec.DecodeError as error:
        raise ConfigInvalid(str(error)) from None
    tenants = wire.tenants or []
    priorities = {t.name: t.priority for t in tenants if t.priority is not None}
    routes = [make_route(item, wire.tenants is None) for item in wire.routes]
    document = Document(
        classes=make_classes(wire.routes, set(priorities.values())),
        teams={tenant.name: Team() for tenant in tenants},
        keys=make_keys(tenants),
        models={item.name: Model() for item in wire.services if item.engine},
        services={item.name: Service() for item in wire.services if not item.engine},
    )
    return Catalog(
        NumberedConfig(wire.version, document, None),
        RouteTable(routes),
        wire.limits,
        priorities,
    )


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
        class_name(wire, wire.priority),
        wire.priority,
        tuple(splits),
        wire.timeout_ms / 1000,
        wire.attempts,
        wire.public or without_keys,
        streams,
        wire.kind == IDEMPOTENT or resumable,
        resumable,
    )


def class_name(wire: WireRoute, priority: int) -> ClassName:
    """Return the class of a route's requests: alike in rank and aims, alike in name.

    A class a route would make hundreds of queues of hundreds of routes that want the
    same.
    """
    shape = "stream" if wire.kind == STREAMING else "plain"
    gap = f"-gap{wire.gap_aim_ms:g}" if wire.gap_aim_ms else ""
    return ClassName(f"{shape}-aim{wire.slo_ms:g}{gap}-p{priority}")


def with_priority(name: ClassName, priority: int) -> ClassName:
    """Return the class of the same aims at another priority."""
    return ClassName(f"{name.rpartition('-p')[0]}-p{priority}")


def make_classes(
    routes: list[WireRoute], priorities: set[int]
) -> dict[str, RequestClass]:
    """Return a class for each kind of route at its own and each team's priority."""
    classes: dict[str, RequestClass] = {}
    for route in routes:
        for priority in {route.priority, *priorities}:
            name = class_name(route, priority)
            if name not in classes:
                classes[name] = make_class(route, priority)
    return classes


def make_class(route: WireRoute, priority: int) -> RequestClass:
    tier = 1 + min(priority, LOWEST_PRIORITY)
    aim_s = route.slo_ms / 1000
    if route.kind != STREAMING:
        return RequestClass(tier, completion_s=aim_s)
    gap_s = route.gap_aim_ms / 1000 if route.gap_aim_ms else None
    return RequestClass(tier, first_token_s=aim_s, between_tokens_s=gap_s)


def make_keys(tenants: list[WireTenant]) -> dict[str, KeyGrant]:
    return {
        hash_key(key): KeyGrant(tenant.name, "")
        for tenant in tenants
        for key in tenant.api_keys
    }


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
    )
