"""Inputs and decisions of the capacity planner."""

from dataclasses import dataclass
from enum import Enum
from typing import Literal, NamedTuple

from godwitmast.types import BackendId, ClassName, PoolName, ZoneName

ServerKind = Literal["on_demand", "cheap"]


class ServerState(Enum):
    """Lifecycle state of a server."""

    ORDERED = "ordered"
    """Ordered, but not in the platform's list yet."""
    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    """Gets no new requests, so that it can be released without failing any."""
    LEAVING = "leaving"
    """Under notice of eviction: the platform takes it whether it is empty or not."""
    SILENT = "silent"
    """Listed by the platform as serving, but no entry gets an answer from it."""


class ServerView(NamedTuple):
    """A server as the latest reports show it; `running` counts its open requests.

    A server that is not `ordered` comes from the configuration: it counts as capacity,
    and only the operators remove it.
    """

    backend_id: BackendId
    zone: ZoneName
    kind: ServerKind
    state: ServerState
    running: int = 0
    ordered: bool = True


class ClassDemand(NamedTuple):
    """Demand of a class, in server time.

    `work` is the offered load: seconds of one fully used server per second. `backlog`
    is the work of the requests in the entries' queues, in seconds of one fully used
    server.
    """

    class_name: ClassName
    tier: int
    work: float
    backlog: float = 0.0


class PlanInput(NamedTuple):
    """Input of a plan for one pool.

    `age_s` is the time since the demand row of any entry last changed. `wall` is the
    time of day, used only to select slots of the daily profile.
    """

    now: float
    demand: list[ClassDemand]
    servers: list[ServerView]
    age_s: float = 0.0
    wall: float = 0.0


@dataclass(frozen=True, slots=True)
class Order:
    """Order one server from the platform."""

    pool: PoolName
    zone: ZoneName
    kind: ServerKind
    reason: str


@dataclass(frozen=True, slots=True)
class Drain:
    """Send a server no new requests; it is released once it runs none."""

    backend_id: BackendId
    reason: str


@dataclass(frozen=True, slots=True)
class Undrain:
    """Send a draining server requests again, which is cheaper than a new start."""

    backend_id: BackendId


@dataclass(frozen=True, slots=True)
class Release:
    """Return a server to the platform."""

    backend_id: BackendId


class OrderOutcome(Enum):
    """Outcome of an order."""

    DONE = "done"
    UNAVAILABLE = "unavailable"
    """The zone has no such server at present."""
    STALE = "stale"
    """Another process holds the lease."""
    NOT_SENT = "not_sent"
    """The order had no effect; it is sent again later."""
    UNKNOWN = "unknown"
    """The order may have had an effect; sending it again under its id settles that."""


Decision = Order | Drain | Undrain | Release
