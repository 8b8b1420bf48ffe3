"""The configuration document: what operators number, patch and put in force."""

from typing import Annotated, Literal, NamedTuple

from annotated_types import Ge, Gt, Le

from godwitmast.types import Json

Positive = Annotated[float, Gt(0)]
Share = Annotated[float, Ge(0), Le(1)]


class RequestClass(NamedTuple):
    """A class of requests with its targets.

    Tier 1 is the highest. A class names at least one target: seconds to the first
    token, seconds between tokens, or seconds to the whole answer. `patience_s` is how
    long its callers wait for the first token before they leave, if that is known.
    `engine_priority` is what engines order its requests by, 0 first, where that is not
    the tier.
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
    def order_in_engines(self) -> int:
        """Return the priority that engines are told."""
        return self.tier if self.engine_priority is None else self.engine_priority


class Team(NamedTuple):
    """A team with its weight, its limits and what it may use.

    An empty `classes` or `models` allows all; a limit of None is no limit.
    `offline_grace_s` is how long an availability zone that is cut off from platform
    and peers still serves the team's keys; None is for as long as it is cut off.
    """

    weight: Positive = 1.0
    classes: frozenset[str] = frozenset()
    models: frozenset[str] = frozenset()
    requests_per_s: Positive | None = None
    tokens_per_s: Positive | None = None
    concurrency: Annotated[int, Gt(0)] | None = None
    offline_grace_s: Annotated[float, Ge(0)] | None = None


class KeyGrant(NamedTuple):
    """What a key lets its caller do; the key itself is stored only as a hash."""

    team: str
    default_class: str
    classes: frozenset[str] = frozenset()
    models: frozenset[str] = frozenset()
    expires_at: float | None = None


class ColdStart(NamedTuple):
    """How a server warms up after its start.

    For `start_s` it bears `per_s` requests a second of all entries together, and never
    more than `most` in one second.
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
    """Its engines copy parts of prompts from each other, far faster than they read."""
    cold_start: ColdStart | None = None


class Service(NamedTuple):
    """A plain service beside the engines.

    A path that is one of `idempotent_paths` or below one may be repeated whatever its
    method; all else but GET and HEAD may not.
    """

    idempotent_paths: frozenset[str] = frozenset()
    default_class: str | None = None
    cold_start: ColdStart | None = None


class Backend(NamedTuple):
    """A backend server; `pools` names the models and services that it serves.

    `places` is how many requests it runs at a time; without it that is learned. What
    lists itself may say how long it stays cold, and by its incarnation that it restarted.
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


class CapacityIntention(NamedTuple):
    """What operators want of the number of backend servers for a model.

    An empty `zones` allows those where the configuration has servers of the model.
    `cheap_share` is the most that may be cheap, `high_tiers` how many tiers from the
    top must stay inside their targets when a zone of cheap servers is lost. The two
    speeds are what one server gives while it keeps to the targets; prices are in the
    unit of `budget_per_hour`.
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
    """An availability zone whose backend servers get no new work."""

    reason: str = ""


class Document(NamedTuple):
    """A whole configuration."""

    classes: dict[str, RequestClass]
    teams: dict[str, Team]
    keys: dict[str, KeyGrant] = {}
    models: dict[str, Model] = {}
    services: dict[str, Service] = {}
    backends: dict[str, Backend] = {}
    capacity: dict[str, CapacityIntention] = {}
    evacuated: dict[str, Evacuation] = {}


class NumberedConfig(NamedTuple):
    """A configuration that was accepted, with its number."""

    version: int
    document: Document
    raw: Json
