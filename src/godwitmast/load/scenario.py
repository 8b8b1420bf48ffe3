"""What a scenario says: servers, classes, teams, load, faults and checks."""

from dataclasses import dataclass
from typing import NamedTuple

from godwitmast.standins.engine_model import EngineSpeed

MODEL = "godwit-lm"

MODEL_ENGINE = EngineSpeed(
    step_s=0.02, sequence_s=0.0006, prompt_tokens_per_s=8_000.0, max_batch=8
)
"""A small engine: 8 sequences at about 25 ms between tokens. Small batches keep a
play quick; what waits, and for how long, depends on load over capacity alone."""


class EngineSpec(NamedTuple):
    """One engine of the scenario."""

    name: str
    zone: str
    cheap: bool = False


class Source(NamedTuple):
    """A stream of requests of one class from one team.

    `share` is the source's part of the whole load; its rate follows from the load
    over capacity that the scenario asks for.
    """

    team: str
    class_name: str
    share: float
    prompt_tokens: float
    answer_tokens: float
    prefixes: int = 0
    prefix_tokens: int = 0


class Resend(NamedTuple):
    """How callers come back after a refusal."""

    tries: int = 0
    heed_retry_after: bool = True
    wait_s: float = 1.0


class Phase(NamedTuple):
    """From `begin_s` to `end_s`, the sources of `class_name` send `factor` times more.

    An empty class name means every class.
    """

    begin_s: float
    end_s: float
    factor: float
    class_name: str = ""


@dataclass(frozen=True, slots=True)
class Straggle:
    """An engine runs at `speed` of its own, and its load report gets old."""

    at_s: float
    engine: str
    speed: float
    report_lag_s: float


@dataclass(frozen=True, slots=True)
class Crash:
    """An engine loses its work and is gone for a while."""

    at_s: float
    engine: str
    down_s: float


@dataclass(frozen=True, slots=True)
class Evict:
    """The cheap engines of a zone get notice, and are gone after it."""

    at_s: float
    zone: str
    notice_s: float


@dataclass(frozen=True, slots=True)
class Poison:
    """A team sends a request that crashes its engine, and sends it again and again."""

    at_s: float
    team: str
    class_name: str
    every_s: float
    times: int


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """A team's key is withdrawn."""

    at_s: float
    team: str


Fault = Straggle | Crash | Evict | Poison | WithdrawKey


class Check(NamedTuple):
    """A measure of the result with its bound; `name` narrows the measure."""

    text: str
    measure: str
    name: str
    at_least: float | None = None
    at_most: float | None = None


class Scenario(NamedTuple):
    """A whole scenario."""

    name: str
    engines: tuple[EngineSpec, ...]
    classes: dict[str, dict[str, float]]
    teams: dict[str, float]
    sources: tuple[Source, ...]
    load: float = 0.5
    run_s: float = 300.0
    drain_s: float = 60.0
    entries: int = 3
    phases: tuple[Phase, ...] = ()
    faults: tuple[Fault, ...] = ()
    resend: Resend = Resend()
    checks: tuple[Check, ...] = ()
    speed: EngineSpeed = MODEL_ENGINE

    @property
    def zones(self) -> list[str]:
        return sorted({engine.zone for engine in self.engines})


def request_cost_s(source: Source, speed: EngineSpeed) -> float:
    """Return the time that a request takes of an engine whose batch is full."""
    token_s = speed.step_s / speed.max_batch + speed.sequence_s
    return (
        source.prompt_tokens / speed.prompt_tokens_per_s
        + source.answer_tokens * token_s
    )


def requests_per_s(scenario: Scenario) -> float:
    """Return the rate of all sources together that makes `load` times capacity."""
    whole = sum(source.share for source in scenario.sources)
    cost = sum(
        source.share / whole * request_cost_s(source, scenario.speed)
        for source in scenario.sources
    )
    return scenario.load * len(scenario.engines) / cost
