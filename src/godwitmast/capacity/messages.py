"""What the capacity decisions are told, and what they ask for."""

from dataclasses import dataclass
from enum import Enum
from typing import Literal, NamedTuple

from godwitmast.types import BackendId, ClassName, PoolName, ZoneName

ServerKind = Literal["on_demand", "cheap"]


class ServerState(Enum):
    """Where an ordered server is in its life."""

    ORDERED = "ordered"
    """Asked for; the platform has not shown it yet."""
    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    """Gets no new work, so that it can be released without harm."""
    LEAVING = "leaving"
    """The platform gave notice: it goes whether it is empty or not."""
    SILENT = "silent"
    """The platform says that it serves, and no entry gets an answer from it."""


class ServerView(NamedTuple):
    """A server as the newest reports have it; `running` counts its open requests.

    One that is not `ordered` stands in the configuration: it counts as capacity, and
    is the operators' own to take away.
    """

    backend_id: BackendId
    zone: ZoneName
    kind: ServerKind
    state: ServerState
    running: int = 0
    ordered: bool = True


class ClassDemand(NamedTuple):
    """What callers ask of a class, in servers' time.

    `work` is seconds of one whole server asked for in each second; `backlog` is
    seconds of one whole server that wait in the entries' queues.
    """

    class_name: ClassName
    tier: int
    work: float
    backlog: float = 0.0


class View(NamedTuple):
    """Everything that a plan for one pool is made from.

    `age_s` is how old the oldest report in it is. `wall` is the time of day, which
    decides nothing but where in the daily profile a figure is kept.
    """

    now: float
    demand: list[ClassDemand]
    servers: list[ServerView]
    age_s: float = 0.0
    wall: float = 0.0


@dataclass(frozen=True, slots=True)
class Order:
    """Ask the platform for one server."""

    pool: PoolName
    zone: ZoneName
    kind: ServerKind
    reason: str


@dataclass(frozen=True, slots=True)
class Drain:
    """Give a server no new work; it is released once it is empty."""

    backend_id: BackendId
    reason: str


@dataclass(frozen=True, slots=True)
class Undrain:
    """Give a draining server work again: cheaper than a start from nothing."""

    backend_id: BackendId


@dataclass(frozen=True, slots=True)
class Release:
    """Give a server back."""

    backend_id: BackendId


class OrderOutcome(Enum):
    """What the platform made of an order."""

    DONE = "done"
    UNAVAILABLE = "unavailable"
    """There is no such server to be had in that zone now."""
    STALE = "stale"
    """Another process holds the lease."""
    NOT_SENT = "not_sent"
    """Nothing took effect; the same order is sent again later."""
    UNKNOWN = "unknown"
    """It may have taken effect; the same order, under its id, settles that."""


Decision = Order | Drain | Undrain | Release
