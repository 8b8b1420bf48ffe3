"""Data model of a scenario: engines, classes, teams, load, faults and checks."""

from dataclasses import dataclass
from typing import NamedTuple

from godwitmast.standins.engine_model import EngineSpeed

MODEL = "godwit-lm"

MODEL_ENGINE = EngineSpeed(
    step_s=0.02, sequence_s=0.0006, prompt_tokens_per_s=8_000.0, max_batch=8
)
"""A small engine: 8 sequences at about 25 ms between tokens. Small batches make a
simulation fast; queues and waits depend only on the ratio of load to capacity."""


class EngineSpec(NamedTuple):
    """An engine of the scenario."""

    name: str
    zone: str
    cheap: bool = False


class Source(NamedTuple):
    """A stream of requests of one class from one team.

    `share` is its share of the total load; its rate follows from the scenario's ratio
    of load to capacity.
    """

    team: str
    class_name: str
    share: float
    prompt_tokens: float
    answer_tokens: float
    prefixes: int = 0
    prefix_tokens: int = 0


class Resend(NamedTuple):
    """How callers resend refused requests."""

    tries: int = 0
    heed_retry_after: bool = True
    wait_s: float = 1.0


class Phase(NamedTuple):
    """From `begin_s` to `end_s`, the rate of `class_name` is multiplied by `factor`.

    An empty class name means every class.
    """

    begin_s: float
    end_s: float
    factor: float
    class_name: str = ""


@dataclass(frozen=True, slots=True)
class Straggle:
    """An engine runs at `speed` times its normal speed, with late load reports."""

    at_s: float
    engine: str
    speed: float
    report_lag_s: float


@dataclass(frozen=True, slots=True)
class Crash:
    """An engine loses its work and restarts after `down_s`."""

    at_s: float
    engine: str
    down_s: float


@dataclass(frozen=True, slots=True)
class Evict:
    """The cheap engines of a zone are evicted after `notice_s`."""

    at_s: float
    zone: str
    notice_s: float


@dataclass(frozen=True, slots=True)
class Poison:
    """A team sends a request that crashes its engine `times` times."""

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
    """A bound on a measure of the score; `name` is the class, team or code measured."""

    text: str
    measure: str
    name: str
    at_least: float | None = None
    at_most: float | None = None


class Scenario(NamedTuple):
    """A scenario, with the checks of its score."""

    name: str
    engines: tuple[EngineSpec, ...]
    classes: dict[str, dict[str, float]]
    teams: dict[str, float]
    sources: tuple[Source, ...]
    load: float = 0.5
    run_s: float = 300.0
    drain_s: float = 60.0
    entries: int = 3
    table_delay_s: float | None = None
    """If entries report crashes through a table instead of links, how late."""
    phases: tuple[Phase, ...] = ()
    faults: tuple[Fault, ...] = ()
    resend: Resend = Resend()
    checks: tuple[Check, ...] = ()
    speed: EngineSpeed = MODEL_ENGINE

    @property
    def zones(self) -> list[str]:
        return sorted({engine.zone for engine in self.engines})


def request_cost_s(source: Source, speed: EngineSpeed) -> float:
    """Return the engine time that a request takes when the batch is full."""
    token_s = speed.step_s / speed.max_batch + speed.sequence_s
    return (
        source.prompt_tokens / speed.prompt_tokens_per_s
        + source.answer_tokens * token_s
    )


def requests_per_s(scenario: Scenario) -> float:
    """Return the total rate of all sources at `load` times the engines' capacity."""
    total_share = sum(source.share for source in scenario.sources)
    cost = sum(
        source.share / total_share * request_cost_s(source, scenario.speed)
        for source in scenario.sources
    )
    return scenario.load * len(scenario.engines) / cost
