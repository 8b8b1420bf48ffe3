"""The configuration document: what operators number, patch and put in force."""

from collections.abc import Container, Iterable, Iterator
from typing import Annotated, Any, Literal, NamedTuple

from pydantic import Field, TypeAdapter, ValidationError

from godwitmast.errors import ConfigInvalid
from godwitmast.settings import describe
from godwitmast.types import Json

Positive = Annotated[float, Field(gt=0)]
Share = Annotated[float, Field(ge=0, le=1)]


class RequestClass(NamedTuple):
    """A class of requests with its targets.

    Tier 1 is the highest. A class names at least one target: seconds to the first
    token, seconds between tokens, or seconds to the whole answer. `patience_s` is how
    long its callers wait for the first token before they leave, if that is known.
    `engine_priority` is what engines order its requests by, 0 first, where that is not
    the tier.
    """

    tier: Annotated[int, Field(ge=1, le=99)]
    first_token_s: Positive | None = None
    between_tokens_s: Positive | None = None
    completion_s: Positive | None = None
    patience_s: Positive | None = None
    turn_share: Share = 0.02
    attainment_goal: Share = 0.95
    engine_priority: Annotated[int, Field(ge=0)] | None = None

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
    concurrency: Annotated[int, Field(gt=0)] | None = None
    offline_grace_s: Annotated[float, Field(ge=0)] | None = None


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
    max_output_tokens: Annotated[int, Field(gt=0)] = 1024
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
    places: Annotated[int, Field(gt=0)] | None = None
    cold_s: Annotated[float, Field(ge=0)] | None = None
    incarnation: int = 0


class CapacityIntention(NamedTuple):
    """What operators want of the number of backend servers for a model.

    An empty `zones` allows those where the configuration has servers of the model.
    `cheap_share` is the most that may be cheap, `high_tiers` how many tiers from the
    top must stay inside their targets when a zone of cheap servers is lost. The two
    speeds are what one server gives while it keeps to the targets; prices are in the
    unit of `budget_per_hour`.
    """

    min_servers: Annotated[int, Field(ge=0)] = 1
    max_servers: Annotated[int, Field(ge=0)] = 64
    cheap_share: Share = 0.6
    budget_per_hour: Positive | None = None
    min_on_demand: Annotated[int, Field(ge=0)] = 1
    high_tiers: Annotated[int, Field(ge=0)] = 2
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


ADAPTER = TypeAdapter(Document)
ITEM_ADAPTERS: dict[str, TypeAdapter[Any]] = {
    "classes": TypeAdapter(RequestClass),
    "teams": TypeAdapter(Team),
    "keys": TypeAdapter(KeyGrant),
    "models": TypeAdapter(Model),
    "services": TypeAdapter(Service),
    "backends": TypeAdapter(Backend),
    "capacity": TypeAdapter(CapacityIntention),
    "evacuated": TypeAdapter(Evacuation),
}
"""The items of each section of a document."""


def parse_document(raw: Json) -> Document:
    """Return the checked document, or raise ConfigInvalid naming every problem."""
    try:
        document = ADAPTER.validate_python(raw)
    except ValidationError as error:
        raise ConfigInvalid(describe(error)) from None
    problems = find_problems(document)
    if problems:
        raise ConfigInvalid("; ".join(problems))
    return document


def parse_change(before: Document, raw: Json, patch: Json) -> Document:
    """Return `parse_document(raw)`, where `patch` led from `before` to `raw`.

    Only what the patch names is checked for its shape. With thousands of teams the
    whole would hold up every request of the process for a tenth of a second at each
    change.
    """
    if not isinstance(patch, dict) or not patch.keys() <= ITEM_ADAPTERS.keys():
        return parse_document(raw)
    changed: dict[str, dict[str, Json]] = {}
    for section, items in patch.items():
        if not isinstance(items, dict):
            return parse_document(raw)
        kept = dict(getattr(before, section))
        for name in items:
            kept.pop(name, None)
            if name in raw[section]:
                try:
                    item = ITEM_ADAPTERS[section].validate_python(raw[section][name])
                except ValidationError:
                    # The whole check names the place of each problem.
                    return parse_document(raw)
                kept[name] = item
        changed[section] = kept
    document = before._replace(**changed)
    problems = find_problems(document)
    if problems:
        raise ConfigInvalid("; ".join(problems))
    return document


def find_problems(document: Document) -> list[str]:
    """Return what contradicts itself in a document of the right shape."""
    problems = [
        f"classes.{name}: names no target"
        for name, item in document.classes.items()
        if (item.first_token_s, item.between_tokens_s, item.completion_s) == (None,) * 3
    ]
    shares = sum(item.turn_share for item in document.classes.values())
    if shares > 1:
        problems.append(f"classes: turn shares add up to {shares:.3g}, over 1")
    for name, team in document.teams.items():
        problems += unknown(f"teams.{name}.classes", team.classes, document.classes)
        problems += unknown(f"teams.{name}.models", team.models, document.models)
    for digest, grant in document.keys.items():
        place = f"keys.{digest[:12]}"
        problems += unknown(f"{place}.team", {grant.team}, document.teams)
        problems += unknown(
            f"{place}.default_class", {grant.default_class}, document.classes
        )
        problems += unknown(f"{place}.classes", grant.classes, document.classes)
        problems += unknown(f"{place}.models", grant.models, document.models)
    pools = document.models.keys() | document.services.keys()
    for name, backend in document.backends.items():
        problems += unknown(f"backends.{name}.pools", backend.pools, pools)
    problems += unknown("capacity", document.capacity, document.models)
    return problems


def unknown(place: str, names: Iterable[str], known: Container[str]) -> Iterator[str]:
    """Give a problem for each of `names` that is not among `known`.

    `known` is asked and never copied: it may hold thousands of teams, and this runs
    once for each key.
    """
    for name in sorted(names):
        if name not in known:
            yield f"{place}: {name!r} is not configured"
