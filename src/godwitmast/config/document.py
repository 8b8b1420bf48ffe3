"""The configuration document, which operators change by numbered patches."""

from typing import Annotated, Literal, NamedTuple

from annotated_types import Ge, Gt, Le

from godwitmast.types import Json

Positive = Annotated[float, Gt(0)]
Share = Annotated[float, Ge(0), Le(1)]


class RequestClass(NamedTuple):
    """A class of requests with its latency targets.

    Tier 1 is the highest. A class has at least one target: seconds to the first token,
    seconds between tokens, or seconds to the whole answer. `patience_s` is how long its
    callers wait for the first token before they disconnect, if that is known.
    `engine_priority` is the priority of its requests inside the engines, 0 first, if it
    differs from the tier.
    """

    tier: Annotated[int, Ge(1), Le(99)]
    first_token_s: Positive | None = None
    between_tokens_s: Positive | None = None
    completion_s: Positive | None = None
    patience_s: Positive | None = None
    turn_share: Share = 0.02
    attainment_goal: Share = 0.95
    engine_priority: Annotated[int, Ge(0)] | None = None

    @property
    def effective_engine_priority(self) -> int:
        """Return the priority that is sent to engines."""
        return self.tier if self.engine_priority is None else self.engine_priority


class Team(NamedTuple):
    """A team with its fair-share weight, its limits and its allowed classes and models.

    An empty `classes` or `models` allows all; a limit of None means unlimited.
    `offline_grace_s` is how long an availability zone that reaches neither platform nor
    peers still serves the team's keys; None means without a time limit.
    """

    weight: Positive = 1.0
    classes: frozenset[str] = frozenset()
    models: frozenset[str] = frozenset()
    requests_per_s: Positive | None = None
    tokens_per_s: Positive | None = None
    concurrency: Annotated[int, Gt(0)] | None = None
    offline_grace_s: Annotated[float, Ge(0)] | None = None


class KeyGrant(NamedTuple):
    """The permissions of an API key; the key itself is stored only as a hash."""

    team: str
    default_class: str
    classes: frozenset[str] = frozenset()
    models: frozenset[str] = frozenset()
    expires_at: float | None = None


class ColdStart(NamedTuple):
    """The request rate that a server can serve while it warms up after its start.

    For `start_s` it can serve `per_s` requests a second from all entries together, and
    at most `most` within one second.
    """

    per_s: Positive
    most: Positive
    start_s: Positive


class Model(NamedTuple):
    """A model that backend servers serve."""

    idempotent: bool = True
    max_output_tokens: Annotated[int, Gt(0)] = 1024
    weight_gb: Positive = 14.0
    fetches: bool = False
    """Its engines copy prompt prefixes from each other, far faster than by prefill."""
    cold_start: ColdStart | None = None


class Service(NamedTuple):
    """A plain HTTP service that is not an inference engine.

    Requests to a path in or below `idempotent_paths` may be retried whatever their
    method; elsewhere only GET and HEAD may.
    """

    idempotent_paths: frozenset[str] = frozenset()
    default_class: str | None = None
    cold_start: ColdStart | None = None


class Backend(NamedTuple):
    """A backend server; `pools` names the models and services that it serves.

    `places` is how many requests it runs concurrently; if None, the limit is estimated
    at run time. A server that registers itself may report how long it stays cold in
    `cold_s`, and a restart by a new `incarnation`. `version` is that of its software, if it
    states one.
    """

    url: str
    zone: str
    pools: frozenset[str]
    kind: Literal["on_demand", "cheap"] = "on_demand"
    checks_fences: bool = False
    leaving: bool = False
    places: Annotated[int, Gt(0)] | None = None
    cold_s: Annotated[float, Ge(0)] | None = None
    incarnation: int = 0
    version: str = ""


class CapacityPolicy(NamedTuple):
    """The operators' limits and goals for the number of a model's backend servers.

    An empty `zones` allows the zones in which the configuration has servers of the
    model. `cheap_share` is the largest share of cheap servers. The top `high_tiers`
    tiers must still meet their targets when a zone of cheap servers is lost. The two
    token rates are what one server delivers while it meets the targets; prices are in
    the unit of `budget_per_hour`.
    """

    min_servers: Annotated[int, Ge(0)] = 1
    max_servers: Annotated[int, Ge(0)] = 64
    cheap_share: Share = 0.6
    budget_per_hour: Positive | None = None
    min_on_demand: Annotated[int, Ge(0)] = 1
    high_tiers: Annotated[int, Ge(0)] = 2
    zones: frozenset[str] = frozenset()
    start_s: Positive = 180.0
    prompt_tokens_per_s: Positive = 12_000.0
    output_tokens_per_s: Positive = 1_400.0
    on_demand_per_hour: Positive = 1.0
    cheap_per_hour: Positive = 0.4


class Evacuation(NamedTuple):
    """An availability zone whose backend servers receive no new requests."""

    reason: str = ""


KIB = 1024
MIB = 1024 * KIB

HEAD_BYTES = 128 * KIB
"""The HTTP library takes up to 100 KiB for one head; informational answers come on top."""

BODY_BYTES = 8 * MIB
"""Answers have 800 bytes on average, and callers' own bodies 4 MiB at most; a VM of 160 MB
uses 42 MB, and holds a body twice for a moment."""

EVENT_BYTES = MIB
"""Events have 55 bytes to some kB."""


class AnswerLimits(NamedTuple):
    """Bounds in bytes on one answer of a backend server, and so on what a VM holds of it.

    `head_bytes` is for the head with the informational answers before it, `body_bytes`
    for an answer that is not streamed, or whose events are kept, `event_bytes` for one
    event of a stream.
    """

    head_bytes: Annotated[int, Ge(16 * KIB), Le(MIB)] = HEAD_BYTES
    body_bytes: Annotated[int, Ge(64 * KIB), Le(64 * MIB)] = BODY_BYTES
    event_bytes: Annotated[int, Ge(64 * KIB), Le(64 * MIB)] = EVENT_BYTES


Use = Literal["off", "auto", "on"]
"""Whether a decision is used; "auto": for pools whose servers state how fast they are."""


class FleetPolicy(NamedTuple):
    """Decisions that VMs make by what they measure together.

    `time_placement` places prompts by the time predicted for them, `outlier_sharing`
    ejects servers by the failures that all VMs see, `room_sharing` admits and orders
    requests by the room in the whole fleet.
    """

    time_placement: Use = "off"
    outlier_sharing: Use = "off"
    room_sharing: Use = "off"

    @property
    def shares(self) -> bool:
        """Return whether VMs may have to share measurements."""
        return any(use != "off" for use in self)


class Document(NamedTuple):
    """A whole configuration."""

    classes: dict[str, RequestClass]
    teams: dict[str, Team]
    keys: dict[str, KeyGrant] = {}
    models: dict[str, Model] = {}
    services: dict[str, Service] = {}
    backends: dict[str, Backend] = {}
    capacity: dict[str, CapacityPolicy] = {}
    evacuated: dict[str, Evacuation] = {}
    fleet: FleetPolicy = FleetPolicy()
    answers: AnswerLimits = AnswerLimits()


class NumberedConfig(NamedTuple):
    """An accepted configuration with its version number."""

    version: int
    document: Document
    raw: Json
